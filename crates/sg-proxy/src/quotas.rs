//! Client accounts' quotas: tokens that this instance lends and borrows.

use rand::seq::SliceRandom;
use sg_place::{
    quota,
    search::{Search, Shortage, Step},
};
use sg_types::prelude::*;

use crate::{Core, core::Signal};

/// Maximum time that a request waits for a token from another instance, about two round trips to
/// another region.
const BORROW_TIMEOUT: Span = Span::from_millis(180);
/// Maximum number of instances that are asked for a token per request, unless tokens are direct.
const MAX_HOLDERS_ASKED: u32 = 2;

/// Tokens that another instance lends, or its reply that it has none.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Loan {
    /// The lender.
    pub from: id::Instance,
    /// Number of tokens.
    pub tokens: u32,
    /// Time of the ask, if the tokens are direct.
    pub asked_at: Option<Instant>,
}

impl<D> Core<D> {
    /// Returns the other instances that hold a part of the account's quota.
    #[must_use]
    pub fn holders(&self, account: &id::Account) -> Vec<id::Instance> {
        let bounds = self.quota_bounds(account);
        bounds.map_or_else(Vec::new, |bounds| {
            self.state.lock().holders(account, bounds)
        })
    }

    /// Takes up to `wanted` tokens of `account` out of this instance's share to lend, and returns
    /// their number. Returns `None` if this instance holds no part of the budget.
    pub fn lend_tokens(&self, account: &id::Account, wanted: u32, is_direct: bool) -> Option<u32> {
        let bounds = self.quota_bounds(account)?;
        let now = self.timer.now();
        let mut state = self.state.lock();
        let fraction = state.quota_fraction(account, bounds);
        let share = state.share(account, bounds, now);
        if fraction <= 0.0 {
            return None;
        }
        Some(match is_direct {
            true => share.lend_direct(wanted),
            false => share.lend(wanted, bounds, fraction),
        })
    }

    /// Adds borrowed tokens to this instance's share.
    pub fn add_borrowed_tokens(&self, account: &id::Account, loan: Loan) {
        let now = self.timer.now();
        let uses_direct = self.uses_direct_tokens();
        if let Some(bounds) = self.quota_bounds(account) {
            let mut state = self.state.lock();
            let share = state.share(account, bounds, now);
            match loan.asked_at {
                Some(asked_at) => share.credit_direct(loan.tokens, asked_at, now),
                None if uses_direct && loan.tokens == 0 => (),
                None => share.credit_loan(loan.tokens, now),
            }
            if uses_direct {
                share.record_reply(loan.from, loan.tokens == 0, now);
            }
        }
        self.tokens_credited.notify_waiters();
    }

    /// Returns whether waiting requests ask for direct tokens.
    pub(crate) fn uses_direct_tokens(&self) -> bool {
        let catalog = self.catalog();
        catalog.is_some_and(|catalog| catalog.has_large_responses())
    }

    /// Waits for a direct token of `account` from other instances, but not beyond `until`.
    ///
    /// # Errors
    /// Returns why none was available in time.
    pub(crate) async fn borrow_direct(
        &self,
        account: &id::Account,
        bounds: quota::Bounds,
        until: Instant,
    ) -> Result<(), Shortage> {
        let deadline = until.min(self.timer.now() + BORROW_TIMEOUT);
        let mut search = {
            let state = self.state.lock();
            let mut holders = state.holders(account, bounds);
            holders.shuffle(&mut rand::rng());
            Search::new(holders, &state.location, deadline)
        };
        loop {
            let credited = self.tokens_credited.notified();
            tokio::pin!(credited);
            credited.as_mut().enable();
            let now = self.timer.now();
            let step = {
                let mut state = self.state.lock();
                let share = state.share(account, bounds, now);
                if share.take_counted_token() {
                    return Ok(());
                }
                search.next_step(share, now)
            };
            match step {
                Step::Ask(holder) => self.send_signal(Signal::BorrowToken {
                    account: account.clone(),
                    holder,
                    asked_at: Some(now),
                }),
                // The next iteration detects a timeout.
                Step::Wait(until) => drop(self.timer.until(until, credited).await),
                Step::Refuse(shortage) => return Err(shortage),
            }
        }
    }

    /// Waits for a token of `account` from other instances. Returns `false` if none was available
    /// in time.
    pub(crate) async fn borrow_token(&self, account: &id::Account, bounds: quota::Bounds) -> bool {
        let deadline = self.timer.now() + BORROW_TIMEOUT;
        let mut asked = 0;
        loop {
            let credited = self.tokens_credited.notified();
            tokio::pin!(credited);
            credited.as_mut().enable();
            let now = self.timer.now();
            {
                let mut state = self.state.lock();
                let share = state.share(account, bounds, now);
                if share.take_counted_token() {
                    return true;
                }
                if now >= deadline {
                    share.record_failed_wait(now);
                    return false;
                }
                if !share.may_borrow(now) {
                    return false;
                }
                if asked < MAX_HOLDERS_ASKED && now >= next_ask_at(deadline, asked) {
                    let mut holders = state.holders(account, bounds);
                    if holders.is_empty() {
                        return false;
                    }
                    let index = rand::random_range(0..holders.len());
                    asked += 1;
                    self.send_signal(Signal::BorrowToken {
                        account: account.clone(),
                        holder: holders.swap_remove(index),
                        asked_at: None,
                    });
                }
            }
            let wake = deadline.min(next_ask_at(deadline, asked));
            // The next iteration detects a timeout.
            let _ = self
                .timer
                .until(wake.max(now + Span::from_millis(1)), credited)
                .await;
        }
    }

    fn quota_bounds(&self, account: &id::Account) -> Option<quota::Bounds> {
        quota_bounds(self.catalog()?.accounts.get(account)?)
    }
}

/// Returns when to ask the next instance for a token: the first one at once, the others at equal
/// intervals of the wait.
fn next_ask_at(deadline: Instant, asked: u32) -> Instant {
    if asked >= MAX_HOLDERS_ASKED {
        return deadline;
    }
    let remaining = BORROW_TIMEOUT.mul_f64(1.0 - f64::from(asked) / f64::from(MAX_HOLDERS_ASKED));
    deadline - remaining
}

/// Returns the fleet-wide quota of an account, if it has one.
pub(crate) fn quota_bounds(account: &sg_catalog::Account) -> Option<quota::Bounds> {
    Some(quota::Bounds {
        rate: account.rate?.as_f64(),
        burst: f64::from(account.burst),
    })
}
