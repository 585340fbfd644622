//! Dissemination of notices. Contacts pass notices on to each other, and each instance processes a
//! notice once.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use sg_types::prelude::*;

use crate::frame::MAX_NOTICES;

/// The time for which a notice is passed on after it was first seen.
const DISSEMINATION_TIME: Span = Span::from_secs(10);
/// The time for which a notice is remembered, so that late copies are recognized.
const RETENTION: Span = Span::from_secs(600);
/// The maximum number of notices remembered.
const MAX_REMEMBERED: usize = 8_192;
/// The maximum number of notices waiting to be passed on.
const MAX_PENDING: usize = 1_024;

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

/// A notice that is still passed on, with the peers that know it.
#[derive(Debug)]
struct Pending {
    notice: Notice,
    expires_at: Instant,
    delivered_to: IndexSet<id::Instance>,
}

/// The result of recording a notice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reception {
    /// The notice is new.
    New,
    /// The notice was already known.
    Known,
}

/// The notices known to one instance.
#[derive(Debug, Default)]
pub struct Tracker {
    sequence: u64,
    seen: IndexMap<Id, Instant>,
    pending: IndexMap<Id, Pending>,
    dropped: u64,
}

impl Tracker {
    /// Records a notice announced by this instance.
    pub fn announce(
        &mut self,
        me: &id::Instance,
        incarnation: Incarnation,
        notice: Notice,
        now: Instant,
    ) {
        self.sequence += 1;
        let id = Id {
            origin: me.clone(),
            incarnation,
            sequence: self.sequence,
        };
        self.record(Item { id, notice }, None, now);
    }

    /// Records a notice from a peer, or from this instance if `from` is `None`.
    pub fn record(&mut self, item: Item, from: Option<&id::Instance>, now: Instant) -> Reception {
        let delivered_to = from.cloned();
        if self.seen.contains_key(&item.id) {
            let pending = self.pending.get_mut(&item.id);
            if let Some(pending) = pending {
                pending.delivered_to.extend(delivered_to);
            }
            return Reception::Known;
        }
        self.evict_oldest();
        self.seen.insert(item.id.clone(), now + RETENTION);
        let pending = Pending {
            notice: item.notice,
            expires_at: now + DISSEMINATION_TIME,
            delivered_to: delivered_to.into_iter().collect(),
        };
        self.pending.insert(item.id, pending);
        Reception::New
    }

    /// Makes room for one notice by dropping the oldest one if necessary.
    fn evict_oldest(&mut self) {
        if self.seen.len() >= MAX_REMEMBERED {
            self.seen.shift_remove_index(0);
        }
        if self.pending.len() >= MAX_PENDING {
            self.pending.shift_remove_index(0);
            self.dropped += 1;
        }
    }

    /// Returns the notices to send to `peer` now, oldest first.
    #[must_use]
    pub fn pending_for(&self, peer: &id::Instance) -> Vec<Item> {
        self.pending
            .iter()
            .filter(|(id, pending)| id.origin != *peer && !pending.delivered_to.contains(peer))
            .take(MAX_NOTICES)
            .map(|(id, pending)| Item {
                id: id.clone(),
                notice: pending.notice.clone(),
            })
            .collect()
    }

    /// Returns whether there are notices to send to `peer`.
    #[must_use]
    pub fn has_pending(&self, peer: &id::Instance) -> bool {
        self.pending
            .iter()
            .any(|(id, pending)| id.origin != *peer && !pending.delivered_to.contains(peer))
    }

    /// Marks notices as delivered to `peer`.
    pub fn mark_delivered(&mut self, peer: &id::Instance, items: &[Item]) {
        for item in items {
            if let Some(pending) = self.pending.get_mut(&item.id) {
                pending.delivered_to.insert(peer.clone());
            }
        }
    }

    /// Drops expired notices.
    pub fn expire(&mut self, now: Instant) {
        self.pending.retain(|_, pending| pending.expires_at > now);
        self.seen.retain(|_, expires_at| *expires_at > now);
    }

    /// Returns the number of notices dropped before all contacts had received them.
    #[must_use]
    pub const fn dropped(&self) -> u64 {
        self.dropped
    }
}
