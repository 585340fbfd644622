//! Confirms claims by the votes of peers.
//!
//! A voter vouches for a holder only while the voter's own claim is confirmed, and only for the
//! newest claim that the voter knows. The voter learns of newer claims from the store, from
//! claimants and from its first read as a holder, which happens after its predecessor can no longer
//! vouch. No slot therefore both vouches for an old holder and promises not to. Any two majorities of
//! the same voters share a slot, so the old holder loses its majority once a majority has promised.

use sg_types::prelude::*;

use super::{Engine, Fault, MAX_SENT_CONFIRMS, Peer, SentRequest};
use crate::{
    Action, Message,
    claim::Claim,
    held_slot::{HeldSlot, Stage},
    message::ClaimId,
    panel,
};

/// The number of confirmation requests per validity period.
const CONFIRMS_PER_VALIDITY: f64 = 3.0;

impl Engine {
    /// Returns the slots that this instance votes with now. A slot whose release is being written
    /// is excluded, because its next holder may vote before this instance learns of the new claim.
    fn votes(&self, now: Instant) -> Vec<Slot> {
        if let Some(Fault::VouchAs(slot)) = self.options.fault {
            return vec![slot];
        }
        let (validity, outage) = (self.options.validity, self.options.outage);
        self.held_slots
            .iter()
            .filter(|held_slot| {
                !held_slot.release_sent && now < held_slot.valid_until(validity, outage)
            })
            .map(|held_slot| held_slot.claim.slot)
            .collect()
    }

    /// Records the votes of this instance's own slots for its claims and its trial.
    pub(super) fn record_own_votes(&mut self, now: Instant) {
        let votes = self.votes(now);
        for held_slot in &mut self.held_slots {
            for voter in &votes {
                held_slot.record_vote(*voter, now);
            }
            if let Stage::CollectingPromises { promised, .. } = &mut held_slot.stage {
                promised.extend(votes.iter().copied());
            }
        }
        if let Some(trial) = &mut self.trial {
            trial.agreed.extend(votes);
        }
    }

    /// Asks the voters of all claims for confirmation, several times per validity period.
    pub(super) fn send_confirms(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let period = self.options.validity.mul_f64(1.0 / CONFIRMS_PER_VALIDITY);
        let is_waiting = self
            .confirms_sent_at
            .is_some_and(|last| now.since(last) < period);
        if is_waiting || self.held_slots.is_empty() {
            return;
        }
        self.confirms_sent_at = Some(now);
        let number = self.next_request_number();
        self.record_sent_confirm(SentRequest { number, at: now });
        let mut asked: IndexSet<_> = self
            .held_slots
            .iter()
            .flat_map(HeldSlot::voters)
            .filter_map(|voter| self.registry.voter(voter))
            .filter(|holder| **holder != self.local.instance)
            .cloned()
            .collect();
        if self
            .held_slots
            .iter()
            .any(|held_slot| held_slot.claim.slots < panel::MIN_VOTING_SLOTS)
        {
            // A claim without voters is taken over if other instances receive no messages from its
            // holder.
            let members = self.members.clone();
            asked.extend(panel::contacts(
                &self.local.instance,
                members,
                self.options.seed,
            ));
        }
        let active = self
            .held_slots
            .iter()
            .filter(|held_slot| held_slot.is_active());
        let claims: Vec<_> = active.map(HeldSlot::claim_id).collect();
        actions.extend(asked.into_iter().map(|to| Action::Send {
            to,
            message: Message::Confirm {
                request: number,
                claims: claims.clone(),
            },
        }));
    }

    fn record_sent_confirm(&mut self, sent: SentRequest) {
        if self.sent_confirms.len() == MAX_SENT_CONFIRMS {
            self.sent_confirms.pop_front();
        }
        self.sent_confirms.push_back(sent);
    }

    /// Answers a request for confirmation with this instance's votes and with claims that contradict
    /// those in the request.
    pub(super) fn on_confirm(
        &mut self,
        from: &Peer,
        request: u64,
        claims: &[ClaimId],
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let votes = self.votes(now);
        let mut confirmed = Vec::new();
        let mut newer = Vec::new();
        for id in claims {
            self.registry
                .record_announced_holder(id.slot, &from.instance);
            match self.registry.claims.get(&id.slot) {
                Some(known) if contradicts(&known.claim, from, id) => {
                    newer.push(known.claim.clone());
                }
                _ => confirmed.push(*id),
            }
        }
        if votes.is_empty() && newer.is_empty() {
            return;
        }
        actions.push(Action::Send {
            to: from.instance.clone(),
            message: Message::Vouch {
                request,
                claims: confirmed,
                votes,
                newer_claims: newer,
            },
        });
    }

    /// Records the votes and the newer claims in a voter's answer.
    pub(super) fn on_vouch(
        &mut self,
        request: u64,
        claims: &[ClaimId],
        votes: &[Slot],
        newer: &[Claim],
        now: Instant,
    ) {
        let Some(sent) = self
            .sent_confirms
            .iter()
            .find(|sent| sent.number == request)
            .copied()
        else {
            self.counters.stale_messages += 1;
            return;
        };
        for held_slot in &mut self.held_slots {
            if claims.contains(&held_slot.claim_id()) {
                for voter in votes {
                    held_slot.record_vote(*voter, sent.at);
                }
            }
        }
        for claim in newer {
            self.learn_claim(claim, now);
        }
    }

    /// Records a claim learned from a peer, and drops the held slot that the claim replaces.
    fn learn_claim(&mut self, claim: &Claim, now: Instant) {
        self.registry.record_claim(claim, now);
        self.drop_replaced(now);
    }

    /// Answers a claimant with this instance's votes if it promises not to vouch for earlier holders
    /// or, in a trial, agrees that the holder is silent.
    pub(super) fn on_yield(
        &mut self,
        from: &Peer,
        claim: &Claim,
        trial: bool,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        if !trial {
            self.learn_claim(claim, now);
        }
        let votes = self.votes(now);
        let is_silent = self
            .registry
            .is_silent(claim.slot, self.options.silence.mul_f64(0.5), now);
        let agrees = if trial {
            is_silent && self.registry.newest_term(claim.slot) < claim.term
        } else {
            self.registry.claims.get(&claim.slot).is_some_and(|known| {
                known.claim.term == claim.term && known.claim.incarnation == claim.incarnation
            })
        };
        let holds_slot = self
            .held_slots
            .iter()
            .any(|held_slot| held_slot.claim.slot == claim.slot);
        if votes.is_empty() || !agrees || holds_slot {
            return;
        }
        actions.push(Action::Send {
            to: from.instance.clone(),
            message: Message::Yielded {
                claim: ClaimId {
                    slot: claim.slot,
                    term: claim.term,
                },
                trial,
                votes,
            },
        });
    }

    /// Records the votes in a promise or in the answer to a trial.
    pub(super) fn on_yielded(&mut self, id: ClaimId, trial: bool, votes: &[Slot]) {
        if trial {
            if let Some(trial) = self.trial.as_mut().filter(|trial| trial.claim_id() == id) {
                trial.agreed.extend(votes.iter().copied());
            }
            return;
        }
        for held_slot in &mut self.held_slots {
            if held_slot.claim_id() != id {
                continue;
            }
            if let Stage::CollectingPromises { promised, .. } = &mut held_slot.stage {
                promised.extend(votes.iter().copied());
            }
        }
    }
}

/// Whether a known claim contradicts the statement that `holder` holds the slot by the claim `id`.
fn contradicts(claim: &Claim, holder: &Peer, id: &ClaimId) -> bool {
    claim.term > id.term || (claim.term == id.term && claim.incarnation != holder.incarnation)
}
