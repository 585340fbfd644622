//! Read access to the state of an engine, for callers, status pages and metrics.

use sg_types::prelude::*;

use super::{Engine, Fault};
use crate::{Part, budget, report};

impl Engine {
    /// Whether at least one claim is active and all active claims are confirmed.
    #[must_use]
    pub fn is_confirmed(&self, now: Instant) -> bool {
        now < self.valid_until
    }

    /// Returns the lowest active slot.
    #[must_use]
    pub fn slot(&self) -> Option<Slot> {
        self.held_slots
            .iter()
            .filter(|held_slot| held_slot.is_active())
            .map(|held_slot| held_slot.claim.slot)
            .min()
    }

    /// Returns the slots whose shares may be used at `now`.
    pub fn slots_in_use(&self, now: Instant) -> impl Iterator<Item = Slot> + '_ {
        let valid = now < self.valid_until || self.options.fault == Some(Fault::IgnoreValidity);
        self.held_slots
            .iter()
            .filter(move |held_slot| valid && held_slot.is_in_use())
            .map(|held_slot| held_slot.claim.slot)
    }

    /// Returns the part of a budget that may be used at `now`.
    #[must_use]
    pub fn held(&self, id: &budget::Id, now: Instant) -> Part {
        let context = self.ledger_context();
        self.ledgers
            .get(id)
            .map_or(Part::default(), |ledger| ledger.held(now, context))
    }

    /// Returns a snapshot of the engine. Each budget is shown as of the last operation on it.
    #[must_use]
    pub fn report(&self) -> report::Engine {
        let context = self.ledger_context();
        let mut counters = self.counters;
        for ledger in self.ledgers.values() {
            counters.violations += ledger.violations;
            counters.loans_expired += ledger.expired_loans;
        }
        report::Engine {
            confirmed: self
                .confirms_sent_at
                .is_some_and(|last| last < self.valid_until),
            revision: self.revision,
            claims: self
                .held_slots
                .iter()
                .map(|held_slot| held_slot.claim.clone())
                .collect(),
            budgets: self
                .ledgers
                .iter()
                .map(|(id, ledger)| ledger.report(id, context))
                .collect(),
            counters,
        }
    }
}
