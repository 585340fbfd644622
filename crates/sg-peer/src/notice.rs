//! Dissemination of notices: each one reaches every instance once, passed on from contact to
//! contact.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use sg_types::prelude::*;

use crate::frame::MAX_NOTICES;

/// The time for which a notice is passed on after it was first seen.
const SPREAD: Span = Span::from_secs(10);
/// The time for which a notice is remembered, so that late copies are recognized.
const REMEMBER: Span = Span::from_secs(600);
/// The maximum number of notices remembered.
const MAX_REMEMBERED: usize = 8_192;
/// The maximum number of notices waiting to be passed on.
const MAX_SPREADING: usize = 1_024;

/// The identifier of a notice, unique in the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Id {
    /// The instance that announced the notice.
    #[serde(rename = "o")]
    pub origin: id::Instance,
    /// The incarnation of that instance.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
    /// The sequence number of the notice, which grows by one per notice of an incarnation.
    #[serde(rename = "q")]
    pub sequence: u64,
}

/// A notice with its identifier.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// The identifier.
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

/// The result of recording a notice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Taken {
    /// The notice is new.
    New,
    /// The notice was already known.
    Known,
}

/// The notices known to one instance.
#[derive(Debug, Default)]
pub struct Board {
    sequence: u64,
    seen: IndexMap<Id, Instant>,
    spreading: IndexMap<Id, Spreading>,
    dropped: u64,
}

impl Board {
    /// Records a notice announced by this instance.
    pub fn announce(&mut self, me: &id::Instance, run: Incarnation, notice: Notice, now: Instant) {
        self.sequence += 1;
        let id = Id {
            origin: me.clone(),
            incarnation: run,
            sequence: self.sequence,
        };
        self.take(Item { id, notice }, None, now);
    }

    /// Records a notice from a peer, or from this instance if `from` is `None`.
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

    /// Returns the notices to send to `peer` now, oldest first.
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

    /// Returns whether there are notices to send to `peer`.
    #[must_use]
    pub fn is_pending(&self, peer: &id::Instance) -> bool {
        self.spreading
            .iter()
            .any(|(id, spreading)| id.origin != *peer && !spreading.told.contains(peer))
    }

    /// Marks notices as delivered to `peer`.
    pub fn told(&mut self, peer: &id::Instance, items: &[Item]) {
        for item in items {
            if let Some(spreading) = self.spreading.get_mut(&item.id) {
                spreading.told.insert(peer.clone());
            }
        }
    }

    /// Drops expired notices.
    pub fn expire(&mut self, now: Instant) {
        self.spreading.retain(|_, spreading| spreading.until > now);
        self.seen.retain(|_, until| *until > now);
    }

    /// Returns the number of notices dropped before all contacts had received them.
    #[must_use]
    pub const fn dropped(&self) -> u64 {
        self.dropped
    }
}
