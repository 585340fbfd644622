//! Notices: each reaches every instance once, through the contacts of those who know it.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use sg_types::prelude::*;

use crate::frame::MAX_NOTICES;

/// How long a notice is passed on after it was first seen.
const SPREAD: Span = Span::from_secs(10);
/// How long a notice is remembered, so that late copies are not taken again.
const REMEMBER: Span = Span::from_secs(600);
/// The most notices that are remembered.
const MAX_REMEMBERED: usize = 8_192;
/// The most notices that wait to be passed on.
const MAX_SPREADING: usize = 1_024;

/// Names a notice in the whole fleet.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Id {
    /// The instance that announced it.
    #[serde(rename = "o")]
    pub origin: id::Instance,
    /// Its run.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
    /// Grows by one with each notice of that run.
    #[serde(rename = "q")]
    pub sequence: u64,
}

/// A notice with its name.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// The name.
    #[serde(flatten)]
    pub id: Id,
    /// The notice.
    #[serde(rename = "b")]
    pub notice: Notice,
}

#[derive(Debug)]
struct Spreading {
    notice: Notice,
    until: Instant,
    told: IndexSet<id::Instance>,
}

/// What became of a notice that came in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Taken {
    /// It is new.
    New,
    /// It was known.
    Known,
}

/// The notices that one instance knows.
#[derive(Debug, Default)]
pub struct Board {
    sequence: u64,
    seen: IndexMap<Id, Instant>,
    spreading: IndexMap<Id, Spreading>,
    dropped: u64,
}

impl Board {
    /// Adds a notice of this instance.
    pub fn announce(&mut self, me: &id::Instance, run: Incarnation, notice: Notice, now: Instant) {
        self.sequence += 1;
        let id = Id {
            origin: me.clone(),
            incarnation: run,
            sequence: self.sequence,
        };
        self.take(Item { id, notice }, None, now);
    }

    /// Takes a notice from a peer, or from here.
    pub fn take(&mut self, item: Item, from: Option<&id::Instance>, now: Instant) -> Taken {
        let told = from.cloned();
        if self.seen.contains_key(&item.id) {
            let spreading = self.spreading.get_mut(&item.id);
            if let Some(spreading) = spreading {
                spreading.told.extend(told);
            }
            return Taken::Known;
        }
        self.make_room();
        self.seen.insert(item.id.clone(), now + REMEMBER);
        let spreading = Spreading {
            notice: item.notice,
            until: now + SPREAD,
            told: told.into_iter().collect(),
        };
        self.spreading.insert(item.id, spreading);
        Taken::New
    }

    fn make_room(&mut self) {
        if self.seen.len() >= MAX_REMEMBERED {
            self.seen.shift_remove_index(0);
        }
        if self.spreading.len() >= MAX_SPREADING {
            self.spreading.shift_remove_index(0);
            self.dropped += 1;
        }
    }

    /// Notices to pass to `peer` now, oldest first.
    #[must_use]
    pub fn pending(&self, peer: &id::Instance) -> Vec<Item> {
        self.spreading
            .iter()
            .filter(|(id, spreading)| id.origin != *peer && !spreading.told.contains(peer))
            .take(MAX_NOTICES)
            .map(|(id, spreading)| Item {
                id: id.clone(),
                notice: spreading.notice.clone(),
            })
            .collect()
    }

    /// Whether `peer` is to be told something.
    #[must_use]
    pub fn is_pending(&self, peer: &id::Instance) -> bool {
        self.spreading
            .iter()
            .any(|(id, spreading)| id.origin != *peer && !spreading.told.contains(peer))
    }

    /// Marks notices as told to `peer`.
    pub fn told(&mut self, peer: &id::Instance, items: &[Item]) {
        for item in items {
            if let Some(spreading) = self.spreading.get_mut(&item.id) {
                spreading.told.insert(peer.clone());
            }
        }
    }

    /// Forgets what is past its time.
    pub fn expire(&mut self, now: Instant) {
        self.spreading.retain(|_, spreading| spreading.until > now);
        self.seen.retain(|_, until| *until > now);
    }

    /// How many notices were dropped before all contacts were told.
    #[must_use]
    pub const fn dropped(&self) -> u64 {
        self.dropped
    }
}
