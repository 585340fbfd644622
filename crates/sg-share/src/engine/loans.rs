//! Exchanges loan requests, grants and nudges with peers for all budgets.

use sg_types::prelude::*;

use super::{Engine, Fault, Peer, SentRequest};
use crate::{
    Action, Message, budget,
    ledger::Lender,
    message::{LoanGrant, LoanRequest},
};

/// The time to wait for an answer before the next request is sent to the same peer.
const ANSWER_TIMEOUT: Span = Span::from_secs(1);
/// The minimum time between nudges to the same peer.
const MIN_NUDGE_INTERVAL: Span = Span::from_millis(25);

/// The state of the exchange with one peer.
#[derive(Debug, Default)]
pub(super) struct Contact {
    /// Request that is not answered yet.
    pending: Option<SentRequest>,
    /// Budgets to include in the next request even if no request is due for them.
    forced_budgets: IndexSet<budget::Id>,
}

impl Engine {
    /// Updates the demand of all budgets, requests loans, returns idle ones and nudges borrowers.
    pub(super) fn update_loans(&mut self, now: Instant, actions: &mut Vec<Action>) {
        for ledger in self.ledgers.values_mut() {
            ledger.demand.update(now);
        }
        self.newest_requests
            .retain(|peer, _| self.ledgers.values().any(|ledger| ledger.involves(peer)));
        self.nudged_at
            .retain(|_, last| now.since(*last) < ANSWER_TIMEOUT);
        self.request_loans(now, actions);
        self.nudge_borrowers(now, actions);
    }

    /// Sends a request to each contact for the budgets that need one.
    pub(super) fn request_loans(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let context = self.ledger_context();
        for ledger in self.ledgers.values_mut() {
            ledger.begin_round(now, context);
        }
        let contacts: Vec<_> = self.contacts.keys().cloned().collect();
        for contact in contacts {
            self.send_request(&contact, now, actions);
        }
    }

    /// Sends one request to a contact for all budgets that need one.
    fn send_request(&mut self, to: &id::Instance, now: Instant, actions: &mut Vec<Action>) {
        let context = self.ledger_context();
        let incarnation = self.registry.last_incarnation(to).unwrap_or_default();
        let Some(contact) = self.contacts.get_mut(to) else {
            return;
        };
        if contact
            .pending
            .is_some_and(|sent| now.since(sent.at) < ANSWER_TIMEOUT)
        {
            return;
        }
        let forced = std::mem::take(&mut contact.forced_budgets);
        let peer = Peer {
            instance: to.clone(),
            incarnation,
        };
        let requests: Vec<LoanRequest> = self
            .ledgers
            .iter_mut()
            .filter_map(|(id, ledger)| {
                ledger.prepare_request(id, &peer, forced.contains(id), now, context)
            })
            .collect();
        if requests.is_empty() {
            return;
        }
        let number = self.next_request_number();
        if let Some(contact) = self.contacts.get_mut(to) {
            contact.pending = Some(SentRequest { number, at: now });
        }
        actions.push(Action::Send {
            to: to.clone(),
            message: Message::Borrow {
                request: number,
                loans: requests,
            },
        });
    }

    /// Handles a borrower's request. A request is ignored if its number is not greater than that of
    /// the last one handled.
    pub(super) fn on_borrow(
        &mut self,
        from: &Peer,
        request: u64,
        requests: &[LoanRequest],
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        if self
            .newest_requests
            .get(from)
            .is_some_and(|last| *last >= request)
        {
            self.counters.stale_messages += 1;
            return;
        }
        let context = self.ledger_context();
        if now >= context.valid_until {
            return;
        }
        self.newest_requests.insert(from.clone(), request);
        let lender = Lender {
            instance: &self.local.instance,
            seed: self.options.seed,
        };
        let mut grants = Vec::new();
        for loan in requests {
            if let Some(ledger) = self.ledgers.get_mut(&loan.id) {
                grants.push(ledger.lend(from, loan, &lender, now, context));
            }
        }
        actions.push(Action::Send {
            to: from.instance.clone(),
            message: Message::Lend {
                request,
                loans: grants,
            },
        });
        let ids: Vec<_> = requests.iter().map(|loan| loan.id.clone()).collect();
        self.send_nudges(&ids, Some(from), now, actions);
    }

    /// Handles a lender's answer. An answer to any request but the newest is ignored.
    pub(super) fn on_lend(
        &mut self,
        from: &Peer,
        request: u64,
        grants: &[LoanGrant],
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let context = self.ledger_context();
        let accepts_stale = self.options.fault == Some(Fault::AcceptStale);
        let Some(contact) = self.contacts.get_mut(&from.instance) else {
            return;
        };
        let answered = contact.pending.filter(|sent| sent.number == request);
        let sent = match answered {
            Some(sent) => sent.at,
            None if accepts_stale => now,
            None => {
                self.counters.stale_messages += 1;
                return;
            }
        };
        contact.pending = None;
        for grant in grants {
            let ledger = self.ledgers.get_mut(&grant.id);
            if ledger.is_some_and(|ledger| ledger.apply_grant(from, grant, sent, now, context)) {
                contact.forced_budgets.insert(grant.id.clone());
            }
        }
        if !contact.forced_budgets.is_empty() {
            self.send_request(&from.instance, now, actions);
        }
    }

    /// Handles a nudge by sending a new request to the lender.
    pub(super) fn on_nudge(
        &mut self,
        from: &Peer,
        ids: Vec<budget::Id>,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let Some(contact) = self.contacts.get_mut(&from.instance) else {
            return;
        };
        contact.forced_budgets.extend(ids);
        self.send_request(&from.instance, now, actions);
    }

    /// Sends nudges for all budgets.
    pub(super) fn nudge_borrowers(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let ids: Vec<_> = self.ledgers.keys().cloned().collect();
        self.send_nudges(&ids, None, now, actions);
    }

    /// Asks borrowers to send a new request if they hold too much or may receive more, except the
    /// borrower that this instance is answering.
    fn send_nudges(
        &mut self,
        ids: &[budget::Id],
        except: Option<&Peer>,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        if !self.is_confirmed(now) {
            return;
        }
        let lender = Lender {
            instance: &self.local.instance,
            seed: self.options.seed,
        };
        let mut nudges: IndexMap<id::Instance, Vec<budget::Id>> = IndexMap::new();
        for id in ids {
            let Some(ledger) = self.ledgers.get(id) else {
                continue;
            };
            for peer in ledger.borrowers_to_nudge(&lender, now) {
                if Some(&peer) != except {
                    nudges.entry(peer.instance).or_default().push(id.clone());
                }
            }
        }
        for (to, budgets) in nudges {
            let last_nudge = self.nudged_at.get(&to).copied().unwrap_or_default();
            if last_nudge != Instant::START && now.since(last_nudge) < MIN_NUDGE_INTERVAL {
                continue;
            }
            self.nudged_at.insert(to.clone(), now);
            let message = Message::Nudge { budgets };
            actions.push(Action::Send { to, message });
        }
    }
}
