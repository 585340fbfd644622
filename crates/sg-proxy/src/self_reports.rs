//! What targets say of themselves: load, rate, departure and pauses.

use sg_place::{
    Target,
    departure::{Run, Source},
    self_report::{RetryAfter, SelfReport},
};
use sg_types::prelude::*;

use crate::{Core, state::State};

/// Maximum number of departures that are announced at once, so that a frame stays well below its limit.
const MAX_ANNOUNCED_DEPARTURES: usize = 64;

impl State {
    /// Records that a run of a target is leaving. Returns whether that is news.
    fn record_departure(&mut self, run: &Run, source: Source) -> bool {
        let is_news = self.departures.record(run, source);
        if let Some(member) = self.member_mut(&run.target) {
            member.is_leaving |= member.target.started_at_millis <= run.started_at_millis;
        }
        is_news
    }

    /// Returns whether a request that was assigned to `target` may still be sent there.
    fn may_send(&mut self, target: &Target, now: Instant) -> bool {
        let is_leaving = self.departures.includes(&Run::of(target));
        let member = self.member_mut(&target.id);
        !is_leaving
            && member.is_some_and(|member| member.is_listed() && !member.pause.is_active(now))
    }
}

impl<D> Core<D> {
    /// Records what a response of `target` says of the target, except its rate.
    pub fn record_self_report(&self, target: &Target, report: &SelfReport) {
        let now = self.timer.now();
        let mut state = self.state.lock();
        if let Some(load) = report.load
            && let Some(member) = state.member_mut(&target.id)
        {
            member.record_report(load, now);
        }
        let pause = report.retry_after.and_then(|retry_after| {
            let member = state.member_mut(&target.id)?;
            let length = member.pause.extend(retry_after, now)?;
            Some((length, retry_after == RetryAfter::Unreadable))
        });
        let is_news =
            report.is_leaving && state.record_departure(&Run::of(target), Source::Response);
        drop(state);
        if let Some((length, is_unreadable)) = pause {
            self.metrics.target_pauses.inc();
            if self.log_limiter.admit(now) {
                log::info!(
                    target_id:% = target.id, pause_ms = length.as_millis(), is_unreadable;
                    "target asked for a pause"
                );
            }
        }
        if is_news {
            self.log_departure(&target.id, Source::Response);
        }
    }

    /// Returns whether a request that was assigned to `target` may still be sent there.
    pub(crate) fn may_send(&self, target: &Target) -> bool {
        let now = self.timer.now();
        self.state.lock().may_send(target, now)
    }

    /// Adopts what another instance announces about a run of a target that is leaving.
    pub fn adopt_departure(&self, run: &Run) {
        let is_news = self.state.lock().record_departure(run, Source::Instance);
        if is_news {
            self.log_departure(&run.target, Source::Instance);
        }
    }

    /// Announces the departures once more to an instance that has just started.
    pub fn announce_departures_again(&self) {
        self.state.lock().departures.announce_again();
    }

    /// Returns the departures that this instance announces to the others now. A departure that the store
    /// tells as well is not announced.
    #[must_use]
    pub fn take_departures(&self) -> Vec<Run> {
        let mut state = self.state.lock();
        let mut runs = state
            .departures
            .take_announcements(MAX_ANNOUNCED_DEPARTURES);
        runs.retain(|run| {
            let member = state.member_mut(&run.target);
            member.is_some_and(|member| member.is_listed() && !member.target.draining)
        });
        runs
    }

    fn log_departure(&self, target: &id::Target, source: Source) {
        self.metrics.record_departure(source.as_str());
        if self.log_limiter.admit(self.timer.now()) {
            log::info!(target_id:% = target, source = source.as_str(); "target leaving");
        }
    }
}
