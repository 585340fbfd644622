//! One other instance, as this one sees it.

use serde::{Deserialize, Serialize};
use sg_types::prelude::*;

use crate::{Headroom, frame::Place};

/// Unheard for this long, an instance in contact is suspect.
pub const SUSPECT_AFTER: Span = Span::from_secs(3);
/// Unheard for this long, an instance that the list doesn't name is gone.
pub const GONE_AFTER: Span = Span::from_secs(10);
/// Headroom told longer ago than this is not known any more.
pub const HEADROOM_FOR: Span = Span::from_secs(40);
/// Earlier runs that are remembered, so that their late frames are refused.
const MAX_RETIRED: usize = 4;

/// How an instance stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Status {
    /// It was heard from.
    Alive,
    /// The list names it, nothing was heard from it yet.
    Listed,
    /// It does not answer.
    Suspect,
    /// It is about to stop.
    Leaving,
    /// It does not answer and the list doesn't name it, or it said that it would be gone by now.
    Gone,
}

impl Status {
    /// Every status.
    pub const ALL: [Self; 5] = [
        Self::Alive,
        Self::Listed,
        Self::Suspect,
        Self::Leaving,
        Self::Gone,
    ];

    /// The text that metrics carry.
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

/// A view of an instance at one moment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The instance.
    pub instance: id::Instance,
    /// Its run, once heard from.
    pub incarnation: Option<Incarnation>,
    /// Where it is.
    pub place: Place,
    /// How it stands.
    pub status: Status,
    /// Whether the list names it.
    pub listed: bool,
    /// The newest revision that it has read.
    pub revision: Revision,
    /// The revision in force there.
    pub in_force: Revision,
    /// The slots that it holds.
    pub slots: Vec<Slot>,
    /// The part of its limit of concurrent work that is free; all of it if that is not known.
    pub headroom: Percent,
    /// How long ago it was heard from; `None` if never.
    pub heard: Option<Span>,
}

/// The headroom that an instance told, by itself or through a hint.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Told {
    headroom: Headroom,
    at: Instant,
}

impl Told {
    /// Takes what a frame or a hint said; nothing said means that all is free.
    pub(crate) fn new(headroom: Option<Headroom>, at: Instant) -> Self {
        let headroom = headroom.unwrap_or_default();
        Self { headroom, at }
    }

    /// The headroom, all of it if what was told is old.
    pub(crate) fn headroom(self, now: Instant) -> Percent {
        match now.since(self.at) < HEADROOM_FOR {
            true => self.headroom.into(),
            false => Percent::FULL,
        }
    }
}

/// What is kept of an instance.
#[derive(Debug, Clone)]
pub(crate) struct Record {
    pub(crate) place: Place,
    pub(crate) incarnation: Option<Incarnation>,
    pub(crate) retired: Vec<Incarnation>,
    pub(crate) listed: bool,
    pub(crate) leaving: bool,
    pub(crate) added: Instant,
    pub(crate) heard: Option<Instant>,
    pub(crate) failing: Option<Instant>,
    pub(crate) stops: Option<Instant>,
    pub(crate) revision: Revision,
    pub(crate) in_force: Revision,
    pub(crate) slots: Vec<Slot>,
    pub(crate) told: Told,
}

impl Record {
    pub(crate) fn new(place: Place, now: Instant) -> Self {
        Self {
            place,
            incarnation: None,
            retired: Vec::new(),
            listed: false,
            leaving: false,
            added: now,
            heard: None,
            failing: None,
            stops: None,
            revision: Revision::default(),
            in_force: Revision::default(),
            slots: Vec::new(),
            told: Told::default(),
        }
    }

    pub(crate) fn status(&self, now: Instant) -> Status {
        if self.stops.is_some_and(|at| at <= now) {
            return Status::Gone;
        }
        if self.leaving || self.stops.is_some() {
            return Status::Leaving;
        }
        let silent = now.since(self.heard.unwrap_or(self.added));
        if self.heard.is_some() && silent < SUSPECT_AFTER {
            return Status::Alive;
        }
        if !self.listed && silent >= GONE_AFTER {
            return Status::Gone;
        }
        match (self.failing, self.heard) {
            (Some(_), _) => Status::Suspect,
            (None, None) => Status::Listed,
            (None, Some(_)) => Status::Alive,
        }
    }

    /// Whether frames of `incarnation` are from a run that was replaced.
    pub(crate) fn is_retired(&self, incarnation: Incarnation) -> bool {
        self.retired.contains(&incarnation)
    }

    /// Puts `incarnation` in place of the one known.
    pub(crate) fn run(&mut self, incarnation: Incarnation) {
        if self.incarnation == Some(incarnation) {
            return;
        }
        self.retired.retain(|run| *run != incarnation);
        self.retired.extend(self.incarnation);
        if self.retired.len() > MAX_RETIRED {
            self.retired.remove(0);
        }
        self.incarnation = Some(incarnation);
        self.leaving = false;
        self.stops = None;
        self.slots.clear();
        self.told = Told::default();
        self.revision = Revision::default();
        self.in_force = Revision::default();
    }
}
