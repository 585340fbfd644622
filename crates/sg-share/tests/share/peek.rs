//! Checks that a peek agrees with the take that follows and takes nothing.

use sg_share::{
    Action, Engine, Event,
    action::StoredClaim,
    budget::{Budget, Id},
    claim::Claim,
    engine,
};
use sg_types::prelude::*;

fn id() -> Id {
    Id::Account(id::Account::new("a").expect("a name"))
}

/// A single engine with its store.
struct SingleEngine {
    engine: Engine,
    claim: Option<Claim>,
    now: Instant,
}

impl SingleEngine {
    fn new() -> Self {
        let me = id::Instance::new("e1").expect("a name");
        let options = engine::Options::default();
        let mut engine = Engine::new(me, Incarnation::new(1), options, Instant::START);
        let budget = Budget {
            rate: Rate::per_second(1),
            burst: 3,
        };
        let budgets = IndexMap::from([(id(), budget)]);
        engine.configure(Revision::new(1), 1, budgets, Instant::START);
        Self {
            engine,
            claim: None,
            now: Instant::START,
        }
    }

    /// Advances the time by 250 ms and answers the engine's calls to the store.
    fn step(&mut self) {
        self.now += Span::from_millis(250);
        let mut actions = self.engine.tick(self.now);
        while let Some(action) = actions.pop() {
            let event = match action {
                Action::ReadClaims => Event::Claims {
                    sent: self.now,
                    claims: self.claim.iter().map(stored).collect(),
                },
                Action::WriteClaim { claim, .. } => {
                    self.claim = Some(claim.clone());
                    Event::Written {
                        sent: self.now,
                        version: claim.term,
                        claim,
                    }
                }
                Action::Send { .. } => continue,
            };
            actions.extend(self.engine.handle(event, self.now));
        }
    }
}

fn stored(claim: &Claim) -> StoredClaim {
    StoredClaim {
        claim: claim.clone(),
        version: claim.term,
    }
}

/// Guards against a peek that takes units or differs from the take that follows.
#[test]
fn peek_agrees_with_take_and_takes_nothing() {
    let mut single = SingleEngine::new();
    let mut taken = 0;
    for step in 0..400 {
        single.step();
        let now = single.now;
        let engine = &mut single.engine;
        let peeks: Vec<_> = (0..5).map(|_| engine.peek(&id(), 1, now).is_ok()).collect();
        let is_taken = engine.take(&id(), 1, now).is_ok();
        assert!(
            peeks.iter().all(|peek| *peek == is_taken),
            "step {step}: {peeks:?}, {is_taken}"
        );
        taken += u32::from(is_taken);
    }
    println!("taken {taken}");
    assert!(
        (50..=103).contains(&taken),
        "about one a second for 100 s, {taken}"
    );
    let other = Id::Account(id::Account::new("b").expect("a name"));
    assert!(single.engine.peek(&other, 1, single.now).is_err());
}
