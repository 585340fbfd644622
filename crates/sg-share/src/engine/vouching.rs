//! Confirms claims by the votes of peers.
//!
//! A voter vouches for a holder only while the voter's own claim is confirmed, and only for the
//! newest claim that the voter knows. The voter learns of newer claims from the store, from
//! claimants and from its first read as a holder, which happens after its predecessor can no longer
//! vouch. A majority that vouches for the old holder and a majority that promised not to vouch for
//! it therefore cannot both consist of votes by the same slots.

use sg_types::prelude::*;

use super::{Engine, Fault, Peer, REMEMBERED, Sent};
use crate::{
    Action, Message,
    claim::Claim,
    message::Term,
    panel,
    tenure::{Stage, Tenure},
};

/// The number of confirmation requests per validity period.
const PER_VALIDITY: f64 = 3.0;

impl Engine {
    /// Returns the slots that this instance votes with now. A slot whose release is being written
    /// is excluded, because its next holder may vote before this instance learns of the new claim.
    fn votes(&self, now: Instant) -> Vec<Slot> {
        if let Some(Fault::VouchAs(slot)) = self.options.fault {
            return vec![slot];
        }
        let (validity, outage) = (self.options.validity, self.options.outage);
        self.tenures
            .iter()
            .filter(|tenure| !tenure.releasing && now < tenure.until(validity, outage))
            .map(|tenure| tenure.claim.slot)
            .collect()
    }

    /// Records the votes of this instance's other slots for its own claims.
    pub(super) fn vote_for_self(&mut self, now: Instant) {
        let votes = self.votes(now);
        for tenure in &mut self.tenures {
            for voter in &votes {
                tenure.vote(*voter, now);
            }
            if let Stage::Promises { promised, .. } = &mut tenure.stage {
                promised.extend(votes.iter().copied());
            }
        }
        if let Some(trial) = &mut self.trial {
            trial.promised.extend(votes);
        }
    }

    /// Asks the voters of all claims for confirmation, several times per validity period.
    pub(super) fn confirm(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let period = self.options.validity.mul_f64(1.0 / PER_VALIDITY);
        let waits = self
            .confirmed_at
            .is_some_and(|last| now.since(last) < period);
        if waits || self.tenures.is_empty() {
            return;
        }
        self.confirmed_at = Some(now);
        let number = self.next();
        self.remember(Sent { number, at: now });
        let mut asked: IndexSet<_> = self
            .tenures
            .iter()
            .flat_map(Tenure::voters)
            .filter_map(|voter| self.registry.holder(voter))
            .filter(|holder| **holder != self.me.instance)
            .cloned()
            .collect();
        if self
            .tenures
            .iter()
            .any(|t| t.claim.slots < panel::LEAST_SLOTS)
        {
            // A claim without voters stays alive only if other instances receive messages from this
            // one.
            let members = self.members.clone();
            asked.extend(panel::contacts(
                &self.me.instance,
                members,
                self.options.seed,
            ));
        }
        let active = self.tenures.iter().filter(|tenure| tenure.is_active());
        let terms: Vec<_> = active.map(Tenure::term).collect();
        actions.extend(asked.into_iter().map(|to| Action::Send {
            to,
            message: Message::Confirm {
                n: number,
                s: terms.clone(),
            },
        }));
    }

    fn remember(&mut self, sent: Sent) {
        if self.confirms.len() == REMEMBERED {
            self.confirms.pop_front();
        }
        self.confirms.push_back(sent);
    }

    pub(super) fn on_confirm(
        &mut self,
        from: &Peer,
        n: u64,
        terms: &[Term],
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let votes = self.votes(now);
        let mut counted = Vec::new();
        let mut newer = Vec::new();
        for term in terms {
            match self.registry.claims.get(&term.slot) {
                Some(known) if is_newer(&known.claim, from, term) => {
                    newer.push(known.claim.clone());
                }
                _ => counted.push(*term),
            }
        }
        if votes.is_empty() && newer.is_empty() {
            return;
        }
        actions.push(Action::Send {
            to: from.instance.clone(),
            message: Message::Vouch {
                n,
                s: counted,
                v: votes,
                x: newer,
            },
        });
    }

    pub(super) fn on_vouch(
        &mut self,
        n: u64,
        terms: &[Term],
        votes: &[Slot],
        newer: &[Claim],
        now: Instant,
    ) {
        let Some(sent) = self.confirms.iter().find(|sent| sent.number == n).copied() else {
            self.counters.stale_messages += 1;
            return;
        };
        for tenure in &mut self.tenures {
            if terms.contains(&tenure.term()) {
                for voter in votes {
                    tenure.vote(*voter, sent.at);
                }
            }
        }
        for claim in newer {
            self.learn(claim, now);
        }
    }

    /// Records a claim learned from a peer, and drops the held slot that the claim replaces.
    fn learn(&mut self, claim: &Claim, now: Instant) {
        self.registry.learn(claim, now);
        self.drop_replaced(now);
    }

    pub(super) fn on_yield(
        &mut self,
        from: &Peer,
        claim: &Claim,
        trial: bool,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        if !trial {
            self.learn(claim, now);
        }
        let votes = self.votes(now);
        let lost = self
            .registry
            .is_silent(claim.slot, self.options.silence.mul_f64(0.5), now);
        let agrees = if trial {
            lost && self.registry.term(claim.slot) < claim.term
        } else {
            self.registry.claims.get(&claim.slot).is_some_and(|known| {
                known.claim.term == claim.term && known.claim.incarnation == claim.incarnation
            })
        };
        let mine = self.tenures.iter().any(|t| t.claim.slot == claim.slot);
        if votes.is_empty() || !agrees || mine {
            return;
        }
        actions.push(Action::Send {
            to: from.instance.clone(),
            message: Message::Yielded {
                s: Term {
                    slot: claim.slot,
                    term: claim.term,
                },
                trial,
                v: votes,
            },
        });
    }

    pub(super) fn on_yielded(&mut self, term: Term, trial: bool, votes: &[Slot]) {
        if trial {
            if let Some(trial) = self.trial.as_mut().filter(|trial| trial.term() == term) {
                trial.promised.extend(votes.iter().copied());
            }
            return;
        }
        for tenure in &mut self.tenures {
            if tenure.term() != term {
                continue;
            }
            if let Stage::Promises { promised, .. } = &mut tenure.stage {
                promised.extend(votes.iter().copied());
            }
        }
    }
}

/// Whether a known claim contradicts the holder's statement that it holds the slot in `term`.
fn is_newer(claim: &Claim, holder: &Peer, term: &Term) -> bool {
    claim.term > term.term || (claim.term == term.term && claim.incarnation != holder.incarnation)
}
