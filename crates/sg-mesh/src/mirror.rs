//! A mirror of the store's keys below one prefix.

use bytes::Bytes;
use sg_store::{Changes, Entry, Event, Page, Version};
use sg_types::prelude::*;

/// The largest number of tombstones, which are records of deleted keys. A tombstone's version prevents
/// an older value that arrives late from restoring the key.
const MAX_TOMBSTONES: usize = 4_096;

/// The last known state of one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// The version of the last change.
    pub version: Version,
    /// The value; `None` if the key was deleted.
    pub value: Option<Bytes>,
}

/// A change of one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The key.
    pub key: Arc<str>,
    /// The new value; `None` if the key was deleted.
    pub value: Option<Bytes>,
    /// The version of the change.
    pub version: Version,
}

/// The last known values below one prefix, with the store version up to which they are complete.
#[derive(Debug, Clone, Default)]
pub struct Mirror {
    records: IndexMap<Arc<str>, Record>,
    position: Version,
    /// The number of records without a value, which stand for deleted keys.
    tombstones: usize,
}

impl Mirror {
    /// Returns the store version up to which every change is known, zero if nothing was read yet.
    #[must_use]
    pub fn position(&self) -> Version {
        self.position
    }

    /// Applies one change and returns it; `None` if the mirror knows the same or a newer version.
    pub fn apply_change(&mut self, change: Change) -> Option<Change> {
        if let Some(known) = self.records.get(&change.key)
            && known.version >= change.version
        {
            return None;
        }
        let record = Record {
            version: change.version,
            value: change.value.clone(),
        };
        let previous = self.records.insert(change.key.clone(), record);
        let was_deleted = previous.is_some_and(|record| record.value.is_none());
        self.tombstones =
            self.tombstones - usize::from(was_deleted) + usize::from(change.value.is_none());
        self.evict_tombstone();
        Some(change)
    }

    /// Applies the changes of a watch and returns those that were new.
    pub fn apply_watch(&mut self, changes: Changes) -> Vec<Change> {
        let events = changes.events.into_iter().map(Change::from);
        let applied = events
            .filter_map(|change| self.apply_change(change))
            .collect();
        self.position = self.position.max(changes.version);
        applied
    }

    /// Applies a complete listing and returns the changes that were new. A known key that is not listed
    /// counts as deleted, unless its version shows that it changed after the listing began.
    pub fn apply_listing(&mut self, page: Page) -> Vec<Change> {
        let listed: IndexSet<Arc<str>> = page.entries.iter().map(|e| e.key.clone()).collect();
        let missing: Vec<Arc<str>> = self
            .records
            .iter()
            .filter(|(key, record)| {
                record.value.is_some() && record.version <= page.version && !listed.contains(*key)
            })
            .map(|(key, _)| key.clone())
            .collect();
        let deletions = missing.into_iter().map(|key| Change {
            key,
            value: None,
            version: page.version,
        });
        let entries = page.entries.into_iter().map(Change::from);
        let mut applied = Vec::new();
        for change in entries.chain(deletions) {
            if let Some(change) = self.apply_change(change) {
                applied.push(change);
            }
        }
        self.position = self.position.max(page.version);
        applied
    }

    /// Returns the last change of each key that changed after `version`, oldest first.
    #[must_use]
    pub fn changes_after(&self, version: Version) -> Vec<Change> {
        let newer = self
            .records
            .iter()
            .filter(|(_, record)| record.version > version);
        let mut changes: Vec<Change> = newer
            .map(|(key, record)| Change {
                key: key.clone(),
                value: record.value.clone(),
                version: record.version,
            })
            .collect();
        changes.sort_by_key(|change| change.version);
        changes
    }

    /// Applies changes from another instance's mirror, complete up to `position`, and returns those
    /// that were new.
    pub fn merge(&mut self, changes: Vec<Change>, position: Version) -> Vec<Change> {
        let applied = changes
            .into_iter()
            .filter_map(|change| self.apply_change(change));
        let applied = applied.collect();
        self.position = self.position.max(position);
        applied
    }

    /// Returns the keys that have a value, with their values.
    pub fn values(&self) -> impl Iterator<Item = (&Arc<str>, &Bytes)> {
        self.records
            .iter()
            .filter_map(|(key, record)| record.value.as_ref().map(|value| (key, value)))
    }

    /// Removes the oldest tombstone if there are more than [`MAX_TOMBSTONES`].
    fn evict_tombstone(&mut self) {
        if self.tombstones <= MAX_TOMBSTONES {
            return;
        }
        let oldest = self
            .records
            .iter()
            .filter(|(_, record)| record.value.is_none())
            .min_by_key(|(_, record)| record.version)
            .map(|(key, _)| key.clone());
        if let Some(key) = oldest {
            self.records.swap_remove(&key);
            self.tombstones -= 1;
        }
    }
}

impl From<Event> for Change {
    fn from(event: Event) -> Self {
        match event {
            Event::Put(entry) => entry.into(),
            Event::Removed { key, version } => Self {
                key,
                value: None,
                version,
            },
        }
    }
}

impl From<Entry> for Change {
    fn from(entry: Entry) -> Self {
        Self {
            key: entry.key,
            value: Some(entry.value),
            version: entry.version,
        }
    }
}
