//! Tests of the freshness gate alone: an instance that may have missed a key withdrawal is never
//! fresh.

use sg_peer::fresh::{Context, Gate, Mutation, evidence_time};
use sg_types::prelude::*;

const VALIDITY: Span = Span::from_secs(5);

fn at(millis: u64) -> Instant {
    Instant::START + Span::from_millis(millis)
}

fn context(slots: u32) -> Context {
    Context {
        revision: Revision::new(1),
        slots,
        own_slots: vec![Slot::new(0)],
        validity: VALIDITY,
    }
}

/// Guards against evidence that outlives the validity in true time. The local clock may be 1% slow,
/// so evidence must expire earlier by that clock.
#[test]
fn evidence_expires_within_the_validity() {
    let mut gate = Gate::default();
    gate.record_confirmation(Revision::new(1), at(1_000));
    assert!(gate.is_fresh(&context(7), at(5_900)));
    assert!(
        !gate.is_fresh(&context(7), at(6_000)),
        "expired for a clock that is 1% slow"
    );
    gate.record_confirmation(Revision::new(2), at(8_000));
    assert!(
        !gate.is_fresh(&context(7), at(8_001)),
        "a later revision is known"
    );
}

/// Guards against a majority made of repeated votes, of votes for later revisions or of slots that
/// the tree does not have.
#[test]
fn votes_of_a_majority_count_once_per_slot() {
    let mut gate = Gate::default();
    for _ in 0..5 {
        gate.record_vote(Slot::new(1), Revision::new(1), at(1_000));
    }
    gate.record_vote(Slot::new(0), Revision::new(1), at(1_000));
    gate.record_vote(Slot::new(9), Revision::new(1), at(1_000));
    gate.record_vote(Slot::new(2), Revision::new(1), at(1_000));
    assert!(
        !gate.is_fresh(&context(7), at(1_001)),
        "only slots 0, 1 and 2 count, slot 9 does not exist"
    );
    gate.record_vote(Slot::new(3), Revision::new(2), at(1_000));
    assert!(
        !gate.is_fresh(&context(7), at(1_001)),
        "a vote for a later revision does not count"
    );
    gate.record_vote(Slot::new(4), Revision::new(1), at(900));
    assert!(gate.is_fresh(&context(7), at(1_001)));
    assert!(
        !gate.is_fresh(&context(7), at(5_900)),
        "the majority is as old as the vote that completes it"
    );
}

/// Guards against an older vote that replaces a newer one, since responses may arrive out of order.
#[test]
fn late_response_does_not_replace_a_newer_vote() {
    let mut gate = Gate::default();
    let slots = Context {
        own_slots: Vec::new(),
        ..context(1)
    };
    gate.record_vote(Slot::new(0), Revision::new(2), at(2_000));
    gate.record_vote(Slot::new(0), Revision::new(1), at(1_000));
    assert!(!gate.is_fresh(&slots, at(2_001)));
}

/// Returns the first seed for which the gate of a stale instance is fresh more than the validity,
/// in true time, after a change was accepted.
///
/// A change is accepted once a majority has it. The seed decides which slots vote when, and the
/// clock rates, which differ from true time by at most 1%.
fn find_violation(seeds: u64, mutation: Option<Mutation>) -> Option<u64> {
    (0..seeds).find(|seed| {
        let mut random = random::Random(*seed);
        let slots = 2 + u32::try_from(random.below(7)).expect("number fits");
        let accepted = 20_000 + random.below(10_000);
        let rate = 0.99 + random.below(21) as f64 / 1_000.0;
        let majority = slots / 2 + 1;
        let mut gate = Gate::default();
        if let Some(mutation) = mutation {
            gate.mutate(mutation);
        }
        // Slots 0 to majority - 1 have revision 2 from `accepted` on. The last slot stays at
        // revision 1.
        let me = Context {
            own_slots: vec![Slot::new(slots - 1)],
            ..context(slots)
        };
        let mut true_millis = 0;
        for _ in 0..200 {
            true_millis += random.below(400);
            let local = at((true_millis as f64 * rate) as u64);
            let slot = u32::try_from(random.below(u64::from(slots) - 1)).expect("number fits");
            let has_change = slot < majority && true_millis >= accepted;
            gate.record_vote(
                Slot::new(slot),
                Revision::new(if has_change { 2 } else { 1 }),
                local,
            );
            if true_millis < accepted && random.below(3) == 0 {
                let age = Span::from_millis(random.below(3_000));
                let peer_rate = 0.99 + random.below(21) as f64 / 1_000.0;
                let reported_age =
                    Span::from_millis((age.as_millis() as f64 * peer_rate) as u64 + 1);
                if let Some(at) = evidence_time(local, reported_age) {
                    gate.record_confirmation(Revision::new(1), at);
                }
            }
            if true_millis > accepted + VALIDITY.as_millis() && gate.is_fresh(&me, local) {
                return true;
            }
        }
        false
    })
}

pub mod random {
    //! Small random generator, so that a seed replays a run.

    pub struct Random(pub u64);

    impl Random {
        pub fn below(&mut self, bound: u64) -> u64 {
            self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
            let mut z = self.0;
            z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
            z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
            (z ^ (z >> 31)) % bound
        }
    }
}

/// Searches random votes and clock rates for an instance without an accepted change that is still
/// fresh. The deliberate faults of the gate show that the search finds one.
#[test]
fn no_stale_instance_is_fresh_a_validity_after_acceptance() {
    assert_eq!(find_violation(2_000, None), None, "seed of a violation");
    for mutation in [Mutation::AnyRevision, Mutation::HalfIsEnough] {
        let seed = find_violation(2_000, Some(mutation));
        println!("{mutation:?} is caught by seed {seed:?}");
        assert!(seed.is_some(), "{mutation:?} must be caught");
    }
}
