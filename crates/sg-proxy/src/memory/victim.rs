//! Chooses the holds that give up their bytes when the memory budget is used up.
//!
//! The load is callers that send legal bodies and stop or slow down before their end, and callers that
//! do not read their responses. Their bytes are held for long without progress, while the bytes of
//! ordinary callers are held briefly.

use std::cmp::Ordering;

use sg_types::prelude::*;

use super::Stage;

/// Time in which recorded progress loses half of its weight.
const HALF_LIFE: Span = Span::from_secs(1);
/// Age below which holds count as equally old, so that a hold isn't favoured for being new.
const MIN_AGE: Span = Span::from_millis(100);

/// Least ratio of the progress of a hold to that of one that gives up bytes for it. Callers with about the same
/// progress would otherwise displace each other in turn, and what they sent would be lost.
const MIN_ADVANTAGE: f64 = 2.0;

/// Recent progress of a hold, in bytes, of which older ones count less.
#[derive(Debug, Clone, Copy)]
pub struct Progress {
    weighted_bytes: f64,
    at: Instant,
}

impl Progress {
    /// Creates the progress of a hold that starts at `now`.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            weighted_bytes: 0.0,
            at: now,
        }
    }

    /// Records that `bytes` were received or delivered.
    pub fn record(&mut self, bytes: u64, now: Instant) {
        self.weighted_bytes = self.recent(now) + bytes as f64;
        self.at = now;
    }

    /// Returns the weighted number of bytes at `now`.
    #[must_use]
    pub fn recent(&self, now: Instant) -> f64 {
        let half_lives = now.since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.weighted_bytes * 0.5_f64.powf(half_lives)
    }
}

/// A hold that may have to give up its bytes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Key of the hold.
    pub key: u64,
    /// How far its request has come.
    pub stage: Stage,
    /// Bytes that it holds.
    pub bytes: u64,
    /// Time since it began.
    pub age: Span,
    /// Its recent progress in weighted bytes.
    pub progress: f64,
}

impl Candidate {
    /// Returns the recent progress per held byte and second of age.
    fn merit(&self) -> f64 {
        self.progress / (self.bytes.max(1) as f64 * self.age.max(MIN_AGE).as_secs_f64())
    }

    /// Returns whether this hold gives up its bytes for `asking`.
    fn yields_to(&self, asking: &Self) -> bool {
        match self.stage.cmp(&asking.stage) {
            Ordering::Less => true,
            Ordering::Equal => self.merit() * MIN_ADVANTAGE < asking.merit(),
            Ordering::Greater => false,
        }
    }

    /// Orders candidates by who gives up bytes first.
    fn cmp_order(&self, other: &Self) -> Ordering {
        let by_merit = || self.merit().total_cmp(&other.merit());
        self.stage.cmp(&other.stage).then_with(by_merit)
    }
}

/// Returns the keys of the holds that give up at least `needed` bytes to the hold `asking`, least progress
/// first, or `None` if the holds with much less progress than that one have fewer bytes.
#[must_use]
pub fn choose(candidates: &[Candidate], asking: u64, needed: u64) -> Option<Vec<u64>> {
    let own = candidates
        .iter()
        .find(|candidate| candidate.key == asking)?;
    let mut others: Vec<_> = candidates
        .iter()
        .filter(|other| other.stage != Stage::Kept && other.bytes > 0)
        .filter(|other| other.key != asking && other.yields_to(own))
        .collect();
    others.sort_unstable_by(|a, b| a.cmp_order(b).then(a.key.cmp(&b.key)));
    let mut freed = 0;
    let mut victims = Vec::new();
    for other in others {
        if freed >= needed {
            break;
        }
        freed += other.bytes;
        victims.push(other.key);
    }
    (freed >= needed).then_some(victims)
}
