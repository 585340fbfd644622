//! A mirror of the store's keys below one prefix.
//!
//! When the store comes back from an older copy, in a new era, the mirror retains the values that the
//! copy lacks or has in an older state, because what was in force must not go back. A retained value
//! ends when the new era has caught up with the value, or when the owner of the mirror gives it up.

use bytes::Bytes;
use sg_store::{Changes, Entry, Event, Page, Version, version::Era};
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
    /// The version of the last change.
    changed_at: Version,
    /// The version from which all deletions are known. A first listing shows none of those before.
    deletions_since: Version,
    /// The versions after that from which not all deletions are known.
    gap: Option<Gap>,
    /// The number of records without a value, which stand for deleted keys.
    tombstones: usize,
    /// Values of earlier eras that the current era has not caught up with.
    retained: IndexMap<Arc<str>, Record>,
}

/// The versions between two listings, both excluded. A listing does not show the keys that came and went
/// since the mirror's position before, so the changes after such a version are not complete: an instance
/// that knows the prefix up to that version may have learned one of these keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Gap {
    /// The position before the listing.
    pub after: Version,
    /// The version of the listing.
    pub before: Version,
}

impl Gap {
    fn contains(self, version: Version) -> bool {
        self.after < version && version < self.before
    }

    /// Returns a gap that contains all versions of both.
    fn joined(self, other: Self) -> Self {
        Self {
            after: self.after.min(other.after),
            before: self.before.max(other.before),
        }
    }
}

/// The complete state of a mirror, as passed to another instance.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Snapshot {
    /// The changes after the version that the other instance knows.
    pub changes: Vec<Change>,
    /// Whether the changes are a listing: keys without a change are gone.
    pub is_listing: bool,
    /// The retained values.
    pub retained: Vec<Change>,
    /// The version up to which the changes are complete.
    pub position: Version,
    /// The versions from which the changes would not have been complete.
    pub gap: Option<Gap>,
}

impl Mirror {
    /// Returns the store version up to which every change is known, zero if nothing was read yet.
    #[must_use]
    pub fn position(&self) -> Version {
        self.position
    }

    /// Returns the store version of the last change, zero if nothing was read yet.
    #[must_use]
    pub fn changed_at(&self) -> Version {
        self.changed_at
    }

    /// Applies one change and returns it; `None` if the mirror knows the same or a newer version.
    pub fn apply_change(&mut self, change: Change) -> Option<Change> {
        if let Some(known) = self.records.get(&change.key)
            && known.version >= change.version
        {
            return None;
        }
        self.release_if_caught_up(&change);
        self.changed_at = self.changed_at.max(change.version);
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

    /// Applies the changes of a watch and returns those that were new. Changes of another era than the
    /// mirror's change nothing.
    pub fn apply_watch(&mut self, changes: Changes) -> Vec<Change> {
        if changes.version.era() != self.position.era() {
            return Vec::new();
        }
        let events = changes.events.into_iter().map(Change::from);
        let applied = events
            .filter_map(|change| self.apply_change(change))
            .collect();
        self.position = self.position.max(changes.version);
        applied
    }

    /// Applies a complete listing and returns the changes that were new. A known key that is not listed
    /// counts as deleted, unless its version shows that it changed after the listing began. A listing of
    /// an older era changes nothing, and one of a newer era deletes nothing.
    pub fn apply_listing(&mut self, page: Page) -> Vec<Change> {
        if page.version.era() < self.position.era() {
            return Vec::new();
        }
        if page.version.era() > self.position.era() {
            return self.start_era(page);
        }
        if self.position == Version::default() {
            self.deletions_since = page.version;
        } else if page.version > self.position {
            self.add_gap(Some(Gap {
                after: self.position,
                before: page.version,
            }));
        }
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

    /// Replaces the records by a listing of a newer era and retains the values that it lacks. Returns the
    /// listed entries.
    fn start_era(&mut self, page: Page) -> Vec<Change> {
        let earlier = std::mem::take(&mut self.records);
        self.tombstones = 0;
        let earlier = earlier
            .into_iter()
            .chain(std::mem::take(&mut self.retained));
        let listed: IndexMap<&str, &Entry> = page
            .entries
            .iter()
            .map(|entry| (entry.key.as_ref(), entry))
            .collect();
        self.retained = earlier
            .filter(|(key, record)| match &record.value {
                None => false,
                Some(value) => listed
                    .get(key.as_ref())
                    .is_none_or(|entry| entry.value != *value),
            })
            .collect();
        drop(listed);
        self.position = page.version;
        self.changed_at = page.version;
        self.deletions_since = page.version;
        self.gap = None;
        let entries = page.entries.into_iter().map(Change::from);
        entries
            .filter_map(|change| self.apply_change(change))
            .collect()
    }

    /// Records that not all deletions after the versions of `gap` are known.
    fn add_gap(&mut self, gap: Option<Gap>) {
        let joined = match (self.gap, gap) {
            (Some(known), Some(gap)) => Some(known.joined(gap)),
            (known, gap) => known.or(gap),
        };
        self.gap = joined.filter(|gap| gap.before > self.deletions_since);
    }

    /// Ends the retention of a key once the current era has its value again or deletes the key.
    fn release_if_caught_up(&mut self, change: &Change) {
        let is_caught_up = self
            .retained
            .get(&change.key)
            .is_some_and(|record| change.value.is_none() || record.value == change.value);
        if is_caught_up {
            self.retained.swap_remove(&change.key);
        }
    }

    /// Returns the values of earlier eras that the current era has not caught up with.
    #[must_use]
    pub fn retained(&self) -> Vec<Change> {
        let retained = self.retained.iter().map(|(key, record)| Change {
            key: key.clone(),
            value: record.value.clone(),
            version: record.version,
        });
        retained.collect()
    }

    /// Gives up the values retained from before `era` and returns the deletions of those keys that the
    /// current era does not have.
    pub fn release_retained(&mut self, era: Era) -> Vec<Change> {
        let (given_up, kept): (IndexMap<_, _>, IndexMap<_, _>) = std::mem::take(&mut self.retained)
            .into_iter()
            .partition(|(_, record)| record.version.era() < era);
        self.retained = kept;
        let has_value = |key: &Arc<str>| {
            let record = self.records.get(key);
            record.is_some_and(|record| record.value.is_some())
        };
        let missing = given_up.into_keys().filter(|key| !has_value(key));
        let deletions = missing.map(|key| Change {
            key,
            value: None,
            version: self.position,
        });
        deletions.collect()
    }

    /// Returns the state that an instance lacks which knows the prefix up to `version`: a listing, if that
    /// instance knows a newer era or a version from which this mirror doesn't know all deletions.
    #[must_use]
    pub fn snapshot_after(&self, version: Version) -> Snapshot {
        let is_known = version.era() <= self.position.era()
            && version >= self.deletions_since
            && !self.gap.is_some_and(|gap| gap.contains(version));
        let version = if is_known {
            version
        } else {
            Version::default()
        };
        Snapshot {
            changes: self.changes_after(version),
            is_listing: !is_known,
            retained: self.retained(),
            position: self.position,
            gap: self.gap,
        }
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

    /// Applies the state that another instance returned for this mirror's position, and returns the
    /// changes that were new. A state of an older era changes nothing.
    pub fn merge(&mut self, snapshot: Snapshot) -> Vec<Change> {
        let Snapshot {
            changes,
            is_listing,
            retained,
            position,
            gap,
        } = snapshot;
        if position.era() < self.position.era() {
            return Vec::new();
        }
        if self.position == Version::default() {
            self.deletions_since = position;
        }
        let mut applied = if is_listing || position.era() > self.position.era() {
            self.apply_listing(listing(changes, position))
        } else {
            let changes = changes.into_iter();
            let applied = changes
                .filter_map(|change| self.apply_change(change))
                .collect();
            self.add_gap(gap.filter(|gap| gap.before > self.position));
            applied
        };
        self.position = self.position.max(position);
        applied.extend(
            retained
                .into_iter()
                .filter_map(|change| self.retain(change)),
        );
        applied
    }

    /// Applies some changes of `era` and returns those that were new. The position stays, because others may be
    /// missing. Changes of another era than the mirror's change nothing.
    pub fn merge_part(&mut self, era: Era, changes: Vec<Change>) -> Vec<Change> {
        if era != self.position.era() {
            return Vec::new();
        }
        let changes = changes.into_iter();
        changes
            .filter_map(|change| self.apply_change(change))
            .collect()
    }

    /// Like [`merge`](Self::merge), but retains the values of a state of an older era. It is for an
    /// instance that has just started: its own state has no values of earlier eras.
    pub fn merge_retaining(&mut self, snapshot: Snapshot) -> Vec<Change> {
        if snapshot.position.era() >= self.position.era() {
            return self.merge(snapshot);
        }
        let known = snapshot.changes.into_iter().chain(snapshot.retained);
        known
            .filter(|change| change.value.is_some())
            .filter_map(|change| self.retain(change))
            .collect()
    }

    /// Retains a value that another instance retains, unless this mirror has the value, or retains one
    /// that is at least as new. Returns the change if it is new.
    fn retain(&mut self, change: Change) -> Option<Change> {
        let current = self.records.get(&change.key);
        let is_current = current.is_some_and(|record| record.value == change.value);
        let known = self.retained.get(&change.key);
        let is_known = known.is_some_and(|record| record.version >= change.version);
        if is_current || is_known || change.version.era() >= self.position.era() {
            return None;
        }
        let record = Record {
            version: change.version,
            value: change.value.clone(),
        };
        self.retained.insert(change.key.clone(), record);
        Some(change)
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
        let deletions = self.records.iter();
        let deletions = deletions.filter(|(_, record)| record.value.is_none());
        let oldest = deletions.min_by_key(|(_, record)| record.version);
        if let Some((key, version)) = oldest.map(|(key, record)| (key.clone(), record.version)) {
            self.records.swap_remove(&key);
            self.tombstones -= 1;
            self.deletions_since = self.deletions_since.max(version);
        }
    }
}

/// Returns all changes of an era as a listing.
fn listing(changes: Vec<Change>, version: Version) -> Page {
    let entries = changes.into_iter().filter_map(|change| {
        Some(Entry {
            key: change.key,
            value: change.value?,
            version: change.version,
        })
    });
    Page {
        entries: entries.collect(),
        version,
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
