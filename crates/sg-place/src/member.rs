//! Observations that one instance has made of one target.

use sg_types::prelude::*;

use crate::{
    Target,
    cold::Window,
    contradiction::{self, Contradiction},
    hash::Object,
    limit::Limit,
    location::Location,
    pace::{Pace, Persistence, Sample},
    pause::Pause,
    rate_limit::{RateLimit, Share},
    speed::{SLOW_RATIO, Speed},
};

/// Time constant of the decay of the load that a report attributes to other instances, in seconds.
const REPORT_DECAY_SECONDS: f64 = 1.0;
/// Weight of a new result in the failure rate.
const FAILURE_SMOOTHING: f64 = 0.2;
/// Time constant of the decay of the failure rate without new results, in seconds.
const FAILURE_DECAY_SECONDS: f64 = 6.0;
/// How long a response counts for the slowness.
const SPEED_SAMPLE_LIFETIME: Span = Span::from_secs(6);
/// Failure rate up to which a target does not count as failing, because one request in a few may
/// itself be the cause of its failure.
const TOLERATED_FAILURE_RATE: f64 = 0.25;
/// Length of the first of several consecutive bans.
const INITIAL_BAN: Span = Span::from_millis(700);
/// Maximum length of a ban.
const MAX_BAN: Span = Span::from_secs(4);
/// Minimum of the sum of all instances' limits at a target, per slot of the target: one request
/// that runs and one that waits, so that the target never runs empty.
const MIN_LIMIT_PER_SLOT: f64 = 2.0;
/// Maximum number of objects that are recorded as warm at a target.
const MAX_WARM_OBJECTS: usize = 64;
/// How long an object counts as warm after a request.
const WARM_LIFETIME: Span = Span::from_secs(20);

/// A target's report of its load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that run at the target.
    pub running: u32,
    /// Requests that wait at the target.
    pub waiting: u32,
    /// Requests that the target can run at once.
    pub slots: u32,
    /// How fast the target's machine works at this moment, if the target tells.
    pub pace: Option<Pace>,
}

/// Averages over the targets of a service, with which an outlier is compared.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Baseline {
    /// Mean failure rate.
    pub failure_rate: f64,
    /// Mean ratio of measured to expected response time, at least 1.
    pub slowness: f64,
}

impl Baseline {
    /// Returns the averages over `members`.
    #[must_use]
    pub fn mean(members: &[&Member], now: Instant) -> Self {
        let count = members.len().max(1) as f64;
        let failure_rate: f64 = members.iter().map(|member| member.failure_rate(now)).sum();
        let slowness: f64 = members.iter().map(|member| member.slowness(now)).sum();
        Self {
            failure_rate: failure_rate / count,
            slowness: (slowness / count).max(1.0),
        }
    }
}

/// How a send to a target ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetOutcome {
    /// The target responded completely.
    Answered,
    /// The target responded completely, with a failure.
    Failed,
    /// The target refused the request because it had no capacity for it.
    Shed,
    /// The target did not respond in time.
    Late,
    /// The target could not be reached, or the connection was lost.
    Lost,
    /// The send ended for a reason that says nothing about the target, such as a caller that
    /// disconnected.
    Unknown,
}

#[derive(Debug, Clone, Copy)]
struct Observation {
    report: LoadReport,
    at: Instant,
    /// Requests of this instance at the target when the report arrived.
    own_in_flight: u32,
}

/// A target and what this instance has observed of it.
#[derive(Debug, Clone)]
pub struct Member {
    /// Description of the target.
    pub target: Target,
    /// Requests of this instance that are in flight at the target.
    pub in_flight: u32,
    /// Recent sends to the target, which [`cold::allowance`](crate::cold::allowance) bounds while
    /// the target is cold.
    pub recent_sends: Window,
    /// Limit on this instance's requests in flight at the target.
    pub limit: Limit,
    /// Rate that the target states it takes from the fleet.
    pub rate_limit: RateLimit,
    /// Pause that the target asked this instance for.
    pub pause: Pause,
    /// Whether this run of the target is leaving, as its responses say.
    pub is_leaving: bool,
    /// Whether the store lists the target. What the run of a target said holds until the next run, so a
    /// member outlasts its entry, which may expire while the target lives.
    is_listed: bool,
    contradiction: Contradiction,
    /// When the target stops being cold.
    pub cold_until: Instant,
    reported: Option<Observation>,
    last_failure_rate: f64,
    failure_rate_at: Instant,
    speed: Speed,
    pace_persistence: Persistence,
    consecutive_bans: u32,
    banned_until: Instant,
    /// When the ban began, if failures of sends are the only reason for the required check.
    banned_at: Option<Instant>,
    check_required: bool,
    /// When the target last responded, with success or not.
    responded_at: Option<Instant>,
    warm_objects: Vec<(Object, Instant)>,
}

impl Member {
    /// Creates a member without observations.
    #[must_use]
    pub fn new(target: Target, now: Instant) -> Self {
        Self {
            cold_until: now + target.cold_for,
            target,
            in_flight: 0,
            recent_sends: Window::default(),
            limit: Limit::default(),
            rate_limit: RateLimit::default(),
            pause: Pause::default(),
            is_leaving: false,
            is_listed: true,
            contradiction: Contradiction::default(),
            reported: None,
            last_failure_rate: 0.0,
            failure_rate_at: now,
            speed: Speed::default(),
            pace_persistence: Persistence::default(),
            consecutive_bans: 0,
            banned_until: Instant::START,
            banned_at: None,
            check_required: false,
            responded_at: None,
            warm_objects: Vec::new(),
        }
    }

    /// Updates the target's description. Observations are reset when the target has restarted or
    /// moved; a description that is older than the known one is ignored.
    pub fn update(&mut self, target: Target, now: Instant) {
        if !self.admits(&target) {
            return;
        }
        self.contradiction = Contradiction::default();
        let is_same_run = self.target.started_at_millis == target.started_at_millis;
        if !is_same_run || self.target.address != target.address {
            let earlier = std::mem::replace(self, Self::new(target, now));
            self.in_flight = earlier.in_flight;
            if is_same_run {
                self.rate_limit = earlier.rate_limit;
                self.pause = earlier.pause;
            }
            return;
        }
        if target.cold_for > Span::ZERO {
            self.cold_until = self.cold_until.max(now + target.cold_for);
        }
        self.target = target;
        self.is_listed = true;
    }

    /// Returns whether `target` replaces the known description: it is newer, or the last of several in order
    /// that contradict the known one.
    pub fn admits(&mut self, target: &Target) -> bool {
        !self.is_outdated(target) || self.contradiction.record(target)
    }

    /// Returns whether `target` is a description from before the known one. An entry that was removed
    /// may come back unchanged, with a copy of the store, which says nothing about the target.
    fn is_outdated(&self, target: &Target) -> bool {
        let known = contradiction::position(&self.target);
        let description = contradiction::position(target);
        description < known || (description == known && !self.is_listed)
    }

    /// Records that the store no longer lists the target.
    pub fn unlist(&mut self) {
        self.is_listed = false;
    }

    /// Returns whether the store lists the target.
    #[must_use]
    pub fn is_listed(&self) -> bool {
        self.is_listed
    }

    /// Records the target's report of its load.
    pub fn record_report(&mut self, report: LoadReport, now: Instant) {
        if let (Some(earlier), Some(pace)) = (self.pace(), report.pace) {
            let later = Sample { pace, at: now };
            self.pace_persistence.record(earlier, later);
        }
        self.reported = Some(Observation {
            report,
            at: now,
            own_in_flight: self.in_flight,
        });
    }

    /// Records that the target stays cold for another `span`. A cold target has lost the objects
    /// that were warm there.
    pub fn set_cold_for(&mut self, span: Span, now: Instant) {
        self.cold_until = now + span;
        if span > Span::ZERO {
            self.warm_objects.clear();
        }
    }

    /// Returns whether the target takes new requests at all: the store lists it, and it says neither in
    /// the store nor in its responses that it leaves.
    #[must_use]
    pub fn is_staying(&self) -> bool {
        self.is_listed && !self.target.draining && !self.is_leaving
    }

    /// Returns whether the target is cold.
    #[must_use]
    pub fn is_cold(&self, now: Instant) -> bool {
        self.cold_until > now
    }

    /// Returns how many requests the target can run at once, by its last report if it has sent one.
    #[must_use]
    pub fn slots(&self) -> u32 {
        let reported_slots = self.reported.map(|reported| reported.report.slots);
        reported_slots
            .filter(|slots| *slots > 0)
            .unwrap_or(self.target.slots)
            .max(1)
    }

    /// Returns an estimate of the requests at the target. `sender_ratio` is the ratio of the
    /// requests that all instances send to those that this instance sends. Without a recent report,
    /// the load from other instances is estimated by this ratio.
    #[must_use]
    pub fn estimated_load(&self, sender_ratio: f64, now: Instant) -> f64 {
        let own = f64::from(self.in_flight);
        let assumed_others = own * (sender_ratio - 1.0).max(0.0);
        let Some(reported) = self.reported else {
            return own + assumed_others;
        };
        let age = now.since(reported.at).as_secs_f64();
        let freshness = (-age / REPORT_DECAY_SECONDS).exp();
        let LoadReport {
            running, waiting, ..
        } = reported.report;
        let total = running.saturating_add(waiting);
        let others = f64::from(total.saturating_sub(reported.own_in_flight));
        own + others * freshness + assumed_others * (1.0 - freshness)
    }

    /// Updates this instance's share of the rate that the target states.
    pub fn update_rate_share(&mut self, location: &Location, now: Instant) {
        if let Some(rate) = self.rate_limit.rate() {
            let turn = self.rate_limit.turn(now);
            let share = Share::of(rate, &self.target, location, turn);
            self.rate_limit.set_share(share, now);
        }
    }

    /// Decreases the limit because the target is overloaded.
    fn decrease_limit(&mut self, senders: usize, now: Instant) {
        let floor = f64::from(self.slots()) * MIN_LIMIT_PER_SLOT / senders.max(1) as f64;
        self.limit.decrease(self.in_flight + 1, floor.max(1.0), now);
    }

    fn has_queue(&self) -> bool {
        self.reported
            .is_some_and(|reported| reported.report.waiting > 0)
    }

    /// Returns whether the target is excluded: a ban is in force or a health check is required.
    #[must_use]
    pub fn is_banned(&self, now: Instant) -> bool {
        self.check_required || self.banned_until > now
    }

    /// Returns whether a health check must succeed before the target is used again.
    #[must_use]
    pub fn needs_check(&self) -> bool {
        self.check_required
    }

    /// Excludes the target until a health check succeeds, because it may have restarted unnoticed.
    pub fn require_check(&mut self) {
        self.check_required = true;
        self.banned_at = None;
    }

    /// Records the result of a health check. `cold_for` is the time that the target says it stays
    /// cold. A successful check ends the ban and halves the failure rate.
    pub fn record_health_check(&mut self, healthy: bool, cold_for: Option<Span>, now: Instant) {
        if !healthy {
            return;
        }
        if let Some(cold_for) = cold_for {
            self.set_cold_for(cold_for, now);
        }
        self.check_required = false;
        self.banned_until = now;
        self.consecutive_bans = 0;
        self.last_failure_rate = self.failure_rate(now) / 2.0;
        self.failure_rate_at = now;
    }

    /// Returns the decayed average of the failure rate, from 0 to 1.
    #[must_use]
    pub fn failure_rate(&self, now: Instant) -> f64 {
        let age = now.since(self.failure_rate_at).as_secs_f64();
        self.last_failure_rate * (-age / FAILURE_DECAY_SECONDS).exp()
    }

    /// Returns the failure rate beyond the part that the requests themselves may cause.
    #[must_use]
    pub fn excess_failure_rate(&self, now: Instant) -> f64 {
        (self.failure_rate(now) - TOLERATED_FAILURE_RATE).max(0.0)
    }

    /// Returns whether the target is so much slower than the others, or fails so much more, that it
    /// must not be ranked first for any object. The comparison is relative to the other targets,
    /// because in an overload all targets are slow, and moving objects would make it worse.
    #[must_use]
    pub fn is_outlier(&self, baseline: Baseline, now: Instant) -> bool {
        self.excess_failure_rate(now) > baseline.failure_rate
            || self.slowness(now) > baseline.slowness * SLOW_RATIO
    }

    /// Returns the ratio of measured to expected time of the fastest recent response, or 1 if the
    /// target does not count as slow.
    #[must_use]
    pub fn slowness(&self, now: Instant) -> f64 {
        self.speed.slowness(SPEED_SAMPLE_LIFETIME, now)
    }

    /// Returns the last report of the target if it arrived at `since` or later.
    #[must_use]
    pub fn report_since(&self, since: Instant) -> Option<LoadReport> {
        let reported = self.reported.filter(|reported| reported.at >= since)?;
        Some(reported.report)
    }

    /// Returns the pace that the target reported last.
    #[must_use]
    pub fn pace(&self) -> Option<Sample> {
        let reported = self.reported?;
        let pace = reported.report.pace?;
        Some(Sample {
            pace,
            at: reported.at,
        })
    }

    /// Returns how long deviations from the usual pace were observed to last at the target.
    #[must_use]
    pub fn pace_persistence(&self) -> &Persistence {
        &self.pace_persistence
    }

    /// Records how a send ended. `senders` is the number of instances that send to the target.
    pub fn record_outcome(&mut self, outcome: TargetOutcome, senders: usize, now: Instant) {
        let failed = match outcome {
            TargetOutcome::Answered => 0.0,
            TargetOutcome::Failed | TargetOutcome::Late | TargetOutcome::Lost => 1.0,
            TargetOutcome::Shed => 0.3,
            TargetOutcome::Unknown => return,
        };
        self.last_failure_rate =
            self.failure_rate(now) * (1.0 - FAILURE_SMOOTHING) + failed * FAILURE_SMOOTHING;
        self.failure_rate_at = now;
        if !matches!(outcome, TargetOutcome::Late | TargetOutcome::Lost) {
            self.responded_at = Some(now);
        }
        self.pause.record_end(matches!(
            outcome,
            TargetOutcome::Answered | TargetOutcome::Failed
        ));
        match outcome {
            TargetOutcome::Answered => {
                self.consecutive_bans = 0;
                let queue_empty = !self.has_queue();
                self.limit.increase(self.in_flight + 1, queue_empty, now);
            }
            TargetOutcome::Shed => self.decrease_limit(senders, now),
            // A late response from a target without a queue says nothing about how much load the
            // target can take.
            TargetOutcome::Late if self.has_queue() => self.decrease_limit(senders, now),
            TargetOutcome::Late => {}
            TargetOutcome::Lost => self.record_loss(now),
            TargetOutcome::Failed | TargetOutcome::Unknown => {}
        }
    }

    /// Records a lost request. A single loss says nothing about the other requests at the target,
    /// so the target is banned only if its failure rate is high.
    fn record_loss(&mut self, now: Instant) {
        if self.last_failure_rate > 0.35 {
            self.ban(now);
        }
    }

    /// Excludes the target until a health check succeeds. The length of the ban doubles with each
    /// consecutive ban.
    pub fn ban(&mut self, now: Instant) {
        if self.is_banned(now) {
            return;
        }
        let length = INITIAL_BAN.mul_f64(f64::from(1u32 << self.consecutive_bans.min(4)));
        self.banned_until = now + length.min(MAX_BAN);
        self.consecutive_bans += 1;
        self.check_required = true;
        self.banned_at = Some(now);
    }

    /// Returns whether the target responded to a request at `since` or later.
    #[must_use]
    pub fn has_responded_since(&self, since: Instant) -> bool {
        self.responded_at.is_some_and(|at| at >= since)
    }

    /// Lifts a ban that began at `since` or later, because its reason turned out to be none.
    pub fn lift_ban(&mut self, since: Instant, now: Instant) {
        if self.banned_at.is_some_and(|at| at >= since) {
            self.banned_at = None;
            self.banned_until = now;
            self.consecutive_bans = 0;
            self.check_required = false;
        }
    }

    /// Forgets the failures since `since`, because this instance and not the target caused them.
    pub fn forget_failures(&mut self, since: Instant, now: Instant) {
        self.lift_ban(since, now);
        if self.failure_rate_at >= since {
            self.last_failure_rate = 0.0;
            self.limit = Limit::default();
        }
    }

    /// Records the measured and the expected time of a response. The part of the time that the target
    /// ascribes to the pace of its machine does not count.
    pub fn record_speed(&mut self, seconds: f64, expected_seconds: f64, now: Instant) {
        let usual_seconds = self
            .pace_persistence
            .usual_seconds(self.pace(), seconds, now);
        self.speed.record(usual_seconds, expected_seconds, now);
    }

    /// Returns whether this instance recently sent a request about `object` to the target.
    #[must_use]
    pub fn is_warm(&self, object: Object, now: Instant) -> bool {
        let mut warm = self.warm_objects.iter();
        warm.any(|(known, at)| *known == object && now.since(*at) < WARM_LIFETIME)
    }

    /// Records that a request about `object` was sent to the target.
    pub fn mark_warm(&mut self, object: Object, now: Instant) {
        self.warm_objects.retain(|(known, _)| *known != object);
        if self.warm_objects.len() >= MAX_WARM_OBJECTS {
            self.warm_objects.remove(0);
        }
        self.warm_objects.push((object, now));
    }
}
