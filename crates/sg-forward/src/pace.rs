//! Bounds how many notices an instance sends. Pure: time is an argument.

use sg_types::prelude::*;

/// Suspects told in a second. A target that is lost with thousands of requests makes as many.
const SUSPECTS_A_SECOND: u32 = 64;
const SECOND: Span = Span::from_secs(1);
/// How long the leaving of one target is not told again.
const LEAVING_PAUSE: Span = Span::from_secs(1);
/// Leaving targets that are remembered.
const MOST_LEAVING: usize = 1_024;

/// What was told lately.
#[derive(Debug, Default)]
pub struct Pace {
    second: Instant,
    suspects: u32,
    leaving: IndexMap<(id::Service, id::Target), Instant>,
}

impl Pace {
    /// Whether one more suspect may be told now.
    pub fn may_tell_suspect(&mut self, now: Instant) -> bool {
        if now.since(self.second) >= SECOND {
            self.second = now;
            self.suspects = 0;
        }
        self.suspects += 1;
        self.suspects <= SUSPECTS_A_SECOND
    }

    /// Whether the leaving of `target` may be told now.
    pub fn may_tell_leaving(
        &mut self,
        service: &id::Service,
        target: &id::Target,
        now: Instant,
    ) -> bool {
        let key = (service.clone(), target.clone());
        let last = self.leaving.get(&key);
        if last.is_some_and(|last| now.since(*last) < LEAVING_PAUSE) {
            return false;
        }
        if self.leaving.len() >= MOST_LEAVING {
            self.leaving.shift_remove_index(0);
        }
        self.leaving.insert(key, now);
        true
    }
}
