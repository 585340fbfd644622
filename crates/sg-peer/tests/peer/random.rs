//! Random faults in an entire fleet.
//!
//! A seed replays a run: `SG_SEED=7 cargo test -p sg-peer random`.

use sg_peer::{
    accept::{Change, Follower},
    fresh::Mutation,
};
use sg_types::prelude::*;

use super::{
    fleet::{Fleet, STORE_DOWN, tree},
    gate::random::Random,
};

const COUNT: usize = 5;
const SEEDS: u64 = 8;
const ROUNDS: u64 = 40;
const VALIDITY: Span = Span::from_secs(5);

/// A violation found in a run.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Violation {
    /// An instance served keyed routes although it lacked an accepted change.
    FreshWithoutChange,
    /// The revision in force on an instance went back.
    Reverted,
}

struct Run {
    fleet: Fleet,
    random: Random,
    seen: Vec<Revision>,
    followers: Vec<(Revision, Follower)>,
}

impl Run {
    async fn start(seed: u64, mutation: Option<Mutation>) -> Self {
        let fleet = Fleet::start(COUNT, 2).await;
        for instance in &fleet.instances {
            if let Some(mutation) = mutation {
                instance.handle.mutate_gate(mutation);
            }
        }
        Self {
            fleet,
            random: Random(seed),
            seen: vec![Revision::default(); COUNT],
            followers: Vec::new(),
        }
    }

    /// Injects one random event: a store outage, a partition, the loss of trees, their end, or a
    /// publish.
    async fn inject_fault(&mut self) {
        let index = usize::try_from(self.random.below(COUNT as u64)).expect("number fits");
        match self.random.below(8) {
            0 => self.fleet.set_store_fault(STORE_DOWN, [index]),
            1 => self.fleet.set_store_fault(STORE_DOWN, 0..COUNT),
            2 => self.fleet.set_store_fault(Default::default(), 0..COUNT),
            3 => {
                let group = u32::try_from(self.random.below(2)).expect("number fits");
                let address = self.fleet.peer_addresses(&[index]);
                self.fleet.net.partition(group, address);
            }
            4 => self.fleet.net.heal(),
            5 => self.fleet.net.lose_trees(true),
            6 => self.fleet.net.lose_trees(false),
            _ => self.publish().await,
        }
    }

    async fn publish(&mut self) {
        let slots = COUNT as u32;
        let revision = self.fleet.publish(&tree(slots, None)).await;
        let change = Change {
            revision,
            slots_before: slots,
            slots,
            validity: VALIDITY,
        };
        let known = self.fleet.instances.iter();
        let known = known.map(|instance| instance.identity.instance.clone());
        self.followers
            .push((revision, Follower::new(change, known)));
    }

    fn check(&mut self) -> Result<(), Violation> {
        let now = self.fleet.timer.now();
        for index in 0..COUNT {
            let revision = self.fleet.in_force(index);
            if revision < self.seen[index] {
                return Err(Violation::Reverted);
            }
            self.seen[index] = revision;
        }
        for (revision, follower) in &mut self.followers {
            for instance in &self.fleet.instances {
                follower.take(&instance.handle.report(), now);
            }
            let accepted = follower.progress(now).is_accepted();
            let behind = |index: &usize| self.seen[*index] < *revision;
            if accepted
                && (0..COUNT)
                    .filter(behind)
                    .any(|index| self.fleet.is_fresh(index))
            {
                return Err(Violation::FreshWithoutChange);
            }
        }
        Ok(())
    }
}

async fn run(seed: u64, mutation: Option<Mutation>) -> Result<(), Violation> {
    let mut run = Run::start(seed, mutation).await;
    for _ in 0..ROUNDS {
        run.inject_fault().await;
        let steps = 1 + run.random.below(30);
        for _ in 0..steps {
            run.fleet.sleep(Span::from_millis(250)).await;
            run.check()?;
        }
    }
    Ok(())
}

fn seeds() -> Vec<u64> {
    match std::env::var("SG_SEED")
        .ok()
        .and_then(|seed| seed.parse().ok())
    {
        Some(seed) => vec![seed],
        None => (0..SEEDS).collect(),
    }
}

/// Store outages, partitions and lost trees come in random order. No revision may go back, and no
/// instance without an accepted change may be fresh.
#[tokio::test(start_paused = true)]
async fn random_faults_keep_revisions_and_freshness_safe() {
    for seed in seeds() {
        println!("seed {seed}");
        assert_eq!(run(seed, None).await, Ok(()), "SG_SEED={seed}");
    }
}

/// Shows that the random faults find a gate that is broken on purpose.
#[tokio::test(start_paused = true)]
async fn random_faults_catch_a_gate_that_counts_any_vote() {
    for seed in 0..SEEDS {
        if run(seed, Some(Mutation::AnyRevision)).await == Err(Violation::FreshWithoutChange) {
            println!("caught by seed {seed}");
            return;
        }
    }
    panic!("no seed finds the broken gate");
}
