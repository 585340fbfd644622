//! State of one other instance, as seen by this one.

use serde::{Deserialize, Serialize};
use sg_types::prelude::*;

use crate::{Headroom, frame::Place};

/// The silence after which an instance in contact may be suspect.
pub const SUSPECT_AFTER: Span = Span::from_secs(3);
/// The silence after which an instance that is not listed is gone.
pub const GONE_AFTER: Span = Span::from_secs(10);
/// The age at which a reported headroom no longer counts.
pub const HEADROOM_LIFETIME: Span = Span::from_secs(40);
/// The number of earlier incarnations kept, so that their late frames are refused.
const MAX_RETIRED_INCARNATIONS: usize = 4;

/// The status of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Status {
    /// The instance was heard from recently, or no exchange with it has failed since.
    Alive,
    /// The instance is listed but was not heard from yet.
    Listed,
    /// The instance does not answer.
    Suspect,
    /// The instance is about to stop.
    Leaving,
    /// The instance does not answer and is not listed, or the end of its announced stop has passed.
    Gone,
}

impl Status {
    /// All statuses.
    pub const ALL: [Self; 5] = [
        Self::Alive,
        Self::Listed,
        Self::Suspect,
        Self::Leaving,
        Self::Gone,
    ];

    /// Returns the value of the `status` metric label.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Listed => "listed",
            Self::Suspect => "suspect",
            Self::Leaving => "leaving",
            Self::Gone => "gone",
        }
    }
}

/// A snapshot of one instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The name of the instance.
    pub instance: id::Instance,
    /// The incarnation of the instance, once heard from.
    pub incarnation: Option<Incarnation>,
    /// The location and addresses of the instance.
    pub place: Place,
    /// The status of the instance.
    pub status: Status,
    /// Whether the instance list contains the instance.
    pub listed: bool,
    /// The newest revision that the instance has read.
    pub revision: Revision,
    /// The revision in force on the instance.
    pub in_force: Revision,
    /// The slots that the instance holds.
    pub slots: Vec<Slot>,
    /// The free fraction of the instance's concurrency limit; full if unknown.
    pub headroom: Percent,
    /// The time since the instance was last heard from; `None` if never.
    pub heard: Option<Span>,
}

/// The headroom that an instance reported in a frame, or that a hint passed on.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct HeadroomReport {
    headroom: Headroom,
    reported_at: Instant,
}

impl HeadroomReport {
    /// Creates a report. A missing value means full headroom.
    pub(crate) fn new(headroom: Option<Headroom>, reported_at: Instant) -> Self {
        let headroom = headroom.unwrap_or_default();
        Self {
            headroom,
            reported_at,
        }
    }

    /// Returns the reported headroom, or full headroom if the report is too old.
    pub(crate) fn headroom(self, now: Instant) -> Percent {
        match now.since(self.reported_at) < HEADROOM_LIFETIME {
            true => self.headroom.into(),
            false => Percent::FULL,
        }
    }
}

/// The stored state of an instance.
#[derive(Debug, Clone)]
pub(crate) struct Record {
    pub(crate) place: Place,
    pub(crate) incarnation: Option<Incarnation>,
    pub(crate) retired_incarnations: Vec<Incarnation>,
    pub(crate) listed: bool,
    pub(crate) leaving: bool,
    pub(crate) added_at: Instant,
    pub(crate) last_heard: Option<Instant>,
    pub(crate) failing_since: Option<Instant>,
    pub(crate) stops_at: Option<Instant>,
    pub(crate) revision: Revision,
    pub(crate) in_force: Revision,
    pub(crate) slots: Vec<Slot>,
    pub(crate) headroom_report: HeadroomReport,
}

impl Record {
    pub(crate) fn new(place: Place, now: Instant) -> Self {
        Self {
            place,
            incarnation: None,
            retired_incarnations: Vec::new(),
            listed: false,
            leaving: false,
            added_at: now,
            last_heard: None,
            failing_since: None,
            stops_at: None,
            revision: Revision::default(),
            in_force: Revision::default(),
            slots: Vec::new(),
            headroom_report: HeadroomReport::default(),
        }
    }

    /// Returns the status at `now`.
    pub(crate) fn status(&self, now: Instant) -> Status {
        if self.stops_at.is_some_and(|at| at <= now) {
            return Status::Gone;
        }
        if self.leaving || self.stops_at.is_some() {
            return Status::Leaving;
        }
        let silence = now.since(self.last_heard.unwrap_or(self.added_at));
        if self.last_heard.is_some() && silence < SUSPECT_AFTER {
            return Status::Alive;
        }
        if !self.listed && silence >= GONE_AFTER {
            return Status::Gone;
        }
        match (self.failing_since, self.last_heard) {
            (Some(_), _) => Status::Suspect,
            (None, None) => Status::Listed,
            (None, Some(_)) => Status::Alive,
        }
    }

    /// Returns whether `incarnation` was replaced by another one.
    pub(crate) fn is_retired(&self, incarnation: Incarnation) -> bool {
        self.retired_incarnations.contains(&incarnation)
    }

    /// Sets the current incarnation. A change resets the state of the previous one.
    pub(crate) fn set_incarnation(&mut self, incarnation: Incarnation) {
        if self.incarnation == Some(incarnation) {
            return;
        }
        self.retired_incarnations
            .retain(|retired| *retired != incarnation);
        self.retired_incarnations.extend(self.incarnation);
        if self.retired_incarnations.len() > MAX_RETIRED_INCARNATIONS {
            self.retired_incarnations.remove(0);
        }
        self.incarnation = Some(incarnation);
        self.leaving = false;
        self.stops_at = None;
        self.slots.clear();
        self.headroom_report = HeadroomReport::default();
        self.revision = Revision::default();
        self.in_force = Revision::default();
    }
}
