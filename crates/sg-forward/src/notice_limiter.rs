//! Limits how many notices an instance sends. The current time is an argument.

use sg_types::prelude::*;

/// The largest number of suspect notices in a second. The loss of a target with thousands of
/// requests in flight would otherwise send as many notices.
const MAX_SUSPECTS_PER_SECOND: u32 = 64;
const SECOND: Span = Span::from_secs(1);
/// The shortest interval between notices that the same target is leaving.
const LEAVING_INTERVAL: Span = Span::from_secs(1);
/// The largest number of leaving targets that are remembered.
const MAX_LEAVING_TARGETS: usize = 1_024;

/// The notices sent recently.
#[derive(Debug, Default)]
pub struct NoticeLimiter {
    window_start: Instant,
    suspects: u32,
    leaving: IndexMap<(id::Service, id::Target), Instant>,
}

impl NoticeLimiter {
    /// Returns whether one more suspect notice may be sent now.
    pub fn may_send_suspect(&mut self, now: Instant) -> bool {
        if now.since(self.window_start) >= SECOND {
            self.window_start = now;
            self.suspects = 0;
        }
        self.suspects += 1;
        self.suspects <= MAX_SUSPECTS_PER_SECOND
    }

    /// Returns whether a notice that `target` is leaving may be sent now.
    pub fn may_send_leaving(
        &mut self,
        service: &id::Service,
        target: &id::Target,
        now: Instant,
    ) -> bool {
        let key = (service.clone(), target.clone());
        let last = self.leaving.get(&key);
        if last.is_some_and(|last| now.since(*last) < LEAVING_INTERVAL) {
            return false;
        }
        if self.leaving.len() >= MAX_LEAVING_TARGETS {
            self.leaving.shift_remove_index(0);
        }
        self.leaving.insert(key, now);
        true
    }
}
