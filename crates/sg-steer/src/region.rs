//! What a pool knows of one region.

use sg_types::prelude::*;

use crate::End;

/// The weight of one answer in the means.
const ANSWER_WEIGHT: f64 = 0.1;
/// Answers since the last step before the region is called warm by them.
const LEAST_ANSWERS: u32 = 20;
/// The share of failures and refusals up to which a region counts as warm.
const MOST_FAILURES: f64 = 0.1;
/// How much slower than before the step, or than usual, a warm region may be.
const SLOWDOWN: f64 = 1.5;
/// The most refused requests that are remembered as waiting.
const MOST_OWED: u32 = 4096;
/// The time after which half of them are taken to have been given up.
const OWED_HALF_LIFE: Span = Span::from_secs(1);

/// How a region does since the last step of a shift.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Warmth {
    /// Too few answers to tell.
    Unknown,
    /// Answers come as fast as before.
    Warm,
    /// Answers come, but slower than before.
    Slow,
    /// Requests fail or are refused.
    Failing,
}

/// The targets of a region and how they did since the last step of a shift.
#[derive(Debug)]
pub(crate) struct Region {
    pub(crate) name: id::Region,
    /// Indices of the targets that may take a request now.
    pub(crate) open: Vec<usize>,
    /// Targets of the tree.
    pub(crate) members: u32,
    /// Targets that may take work, now or when they have room.
    pub(crate) able: u32,
    /// Targets ejected within the cap.
    pub(crate) ejected: u32,
    /// Requests drawn for this region, refused, and maybe still waiting.
    owed: u32,
    forgot: Instant,
    answers: u32,
    failures: f64,
    latency: f64,
    latency_before: f64,
}

impl Region {
    pub(crate) const fn new(name: id::Region) -> Self {
        Self {
            name,
            open: Vec::new(),
            members: 0,
            able: 0,
            ejected: 0,
            owed: 0,
            forgot: Instant::START,
            answers: 0,
            failures: 0.0,
            latency: 0.0,
            latency_before: 0.0,
        }
    }

    /// Takes in how an attempt in the region ended.
    pub(crate) fn on_end(&mut self, end: End) {
        let failed = match end {
            End::Cancelled | End::Leaving => return,
            End::Answered { failed, latency } => {
                let secs = latency.as_secs_f64();
                let weight = if self.latency == 0.0 {
                    1.0
                } else {
                    ANSWER_WEIGHT
                };
                self.latency += (secs - self.latency) * weight;
                failed
            }
            End::Shed | End::ConnectFailed | End::Lost | End::TimedOut => true,
        };
        self.answers = self.answers.saturating_add(1);
        let failure = f64::from(u8::from(failed));
        self.failures += (failure - self.failures) * ANSWER_WEIGHT;
    }

    /// Starts to look anew at how warm the region is.
    pub(crate) fn on_step(&mut self) {
        self.latency_before = self.latency;
        self.answers = 0;
    }

    /// How the region does since the last step. `usual` is the usual time of a request.
    pub(crate) fn warmth(&self, usual: Span) -> Warmth {
        let bound = self.latency_before.max(usual.as_secs_f64()) * SLOWDOWN;
        if self.answers < LEAST_ANSWERS {
            Warmth::Unknown
        } else if self.failures > MOST_FAILURES {
            Warmth::Failing
        } else if self.latency > bound {
            Warmth::Slow
        } else {
            Warmth::Warm
        }
    }

    /// Whether a target may take a request now.
    pub(crate) const fn is_open(&self) -> bool {
        !self.open.is_empty()
    }

    /// The region without its targets, which a new revision brings anew.
    pub(crate) fn emptied(self) -> Self {
        Self {
            open: Vec::new(),
            members: 0,
            able: 0,
            ejected: 0,
            ..self
        }
    }

    /// Notes that a request drawn for the region was refused.
    pub(crate) fn owe(&mut self) {
        self.owed = (self.owed + 1).min(MOST_OWED);
    }

    /// Whether a request that waits may be meant for the region.
    pub(crate) const fn owes(&self) -> bool {
        self.owed > 0
    }

    /// Notes that a request that waited was started.
    pub(crate) fn pay(&mut self) {
        self.owed = self.owed.saturating_sub(1);
    }

    /// Forgets half of the requests that wait every [`OWED_HALF_LIFE`]: most were given up.
    pub(crate) fn forget(&mut self, now: Instant) {
        if now.since(self.forgot) >= OWED_HALF_LIFE {
            self.owed /= 2;
            self.forgot = now;
        }
    }
}
