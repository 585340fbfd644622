//! Remembers which runs of targets are leaving.
//!
//! A target that leaves says so in its responses, possibly before the store does, or while the store can't
//! be reached. A run of a target that is leaving never takes requests again, whatever its later responses
//! or an old entry in the store say. The next run of the target, which has a later start time, does.

use sg_types::prelude::*;

use crate::Target;

/// Maximum number of departures that are remembered; the oldest is forgotten first.
const MAX_DEPARTURES: usize = 4_096;
/// Number of times that an instance announces a departure to the others, because an announcement may be
/// lost.
const ANNOUNCEMENTS: u32 = 2;

/// One run of a target, from a start to its end.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Run {
    /// The target.
    pub target: id::Target,
    /// Start time of the target's process, in milliseconds since the epoch by its own clock.
    pub started_at_millis: u64,
}

impl Run {
    /// Returns the run that `target` describes.
    #[must_use]
    pub fn of(target: &Target) -> Self {
        Self {
            target: target.id.clone(),
            started_at_millis: target.started_at_millis,
        }
    }
}

/// Who told of a departure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// A response of the target to this instance.
    Response,
    /// Another instance.
    Instance,
}

impl Source {
    /// Returns the label in metrics and log lines.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Response => "response",
            Self::Instance => "instance",
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct Departure {
    started_at_millis: u64,
    source: Source,
    announcements_left: u32,
}

/// The runs of targets that are known to leave.
#[derive(Debug, Clone, Default)]
pub struct Departures {
    by_target: IndexMap<id::Target, Departure>,
}

impl Departures {
    /// Records that `run` is leaving. Returns whether that is news.
    pub fn record(&mut self, run: &Run, source: Source) -> bool {
        if self.includes(run) {
            return false;
        }
        let departure = Departure {
            started_at_millis: run.started_at_millis,
            source,
            announcements_left: match source {
                Source::Response => ANNOUNCEMENTS,
                Source::Instance => 0,
            },
        };
        // Removed first, so that the order of the map is the order of the news.
        self.by_target.shift_remove(&run.target);
        self.by_target.insert(run.target.clone(), departure);
        if self.by_target.len() > MAX_DEPARTURES {
            self.by_target.shift_remove_index(0);
        }
        true
    }

    /// Returns whether `run` is leaving, or was followed by a run that is.
    #[must_use]
    pub fn includes(&self, run: &Run) -> bool {
        let known = self.by_target.get(&run.target);
        known.is_some_and(|known| known.started_at_millis >= run.started_at_millis)
    }

    /// Announces once more what this instance heard itself, because another instance has started and knows
    /// nothing.
    pub fn announce_again(&mut self) {
        let departures = self.by_target.values_mut();
        let heard = departures.filter(|departure| departure.source == Source::Response);
        for departure in heard {
            departure.announcements_left = departure.announcements_left.max(1);
        }
    }

    /// Returns at most `limit` departures to announce to the other instances now.
    pub fn take_announcements(&mut self, limit: usize) -> Vec<Run> {
        let pending = self.by_target.iter_mut().rev();
        let pending = pending.filter(|(_, departure)| departure.announcements_left > 0);
        let taken = pending.take(limit).map(|(target, departure)| {
            departure.announcements_left -= 1;
            Run {
                target: target.clone(),
                started_at_millis: departure.started_at_millis,
            }
        });
        taken.collect()
    }
}
