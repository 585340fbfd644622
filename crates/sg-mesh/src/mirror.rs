//! A mirror of the store's keys below one prefix.
//!
//! When the store comes back from an older copy, in a new era, the mirror retains the values that the
//! copy lacks or has in an older state, because what was in force must not go back. A retained value
//! ends when the new era has caught up with the value, or when the owner of the mirror gives it up. A mirror may
//! also retain deletions of keys that the copy brings back.

use bytes::Bytes;
use sg_store::{Changes, Entry, Event, Page, Version, version::Era};
use sg_types::prelude::*;

use crate::retention::{Deletion, Earlier, Range, Retention};

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
    /// What holds of earlier eras.
    earlier: Earlier,
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
    /// The retained deletions.
    pub deletions: Vec<Deletion>,
    /// The versions of earlier eras whose lasting state is among these.
    pub known: Option<Range>,
    /// The version up to which the changes are complete.
    pub position: Version,
    /// The versions from which the changes would not have been complete.
    pub gap: Option<Gap>,
}

impl Mirror {
    /// Creates a mirror that keeps what `retention` says of earlier eras.
    #[must_use]
    pub fn new(retention: Retention) -> Self {
        Self {
            earlier: Earlier::new(retention),
            ..Self::default()
        }
    }

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

    /// Applies one change and returns it; `None` if the mirror knows the same or a newer version, or if the change is
    /// the entry of a key that was deleted before the store was restored.
    pub fn apply_change(&mut self, change: Change) -> Option<Change> {
        if let Some(known) = self.records.get(&change.key)
            && known.version >= change.version
        {
            return None;
        }
        let is_copied = self.earlier.supersede(&change);
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
        (!is_copied).then_some(change)
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

    /// Replaces the records by a listing of a newer era and retains what the listing lacks. Returns the listed entries
    /// that count.
    fn start_era(&mut self, page: Page) -> Vec<Change> {
        let earlier = std::mem::take(&mut self.records);
        self.tombstones = 0;
        let gap_end = self.gap.map_or(Version::default(), |gap| gap.before);
        // A listing doesn't show the deletion at its own version.
        let last_unknown = self.deletions_since.max(gap_end);
        let followed = Range {
            oldest: Version::at(last_unknown.era(), last_unknown.revision() + 1),
            newest: self.position,
        };
        if self.position > Version::default() {
            self.earlier
                .start_era(earlier, followed, self.deletions_since, &page);
        }
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

    /// Returns the values of earlier eras that the current era has not caught up with.
    #[must_use]
    pub fn retained(&self) -> Vec<Change> {
        self.earlier.values()
    }

    /// Returns the number of keys whose state of earlier eras holds.
    #[must_use]
    pub fn retained_count(&self) -> usize {
        self.earlier.len()
    }

    /// Returns the versions of what holds of earlier eras until its owners write again.
    #[must_use]
    pub fn lasting(&self) -> Option<Range> {
        self.earlier.lasting()
    }

    /// Returns whether another mirror at the position `other`, whose lasting state of earlier eras has the versions
    /// `range`, may retain what this one doesn't.
    #[must_use]
    pub fn lacks(&self, other: Version, range: Range) -> bool {
        other.era() == self.position.era() && self.earlier.lacks(range)
    }

    /// Returns whether the key has a value that counts.
    #[must_use]
    pub fn has_value(&self, key: &str) -> bool {
        let record = self.records.get(key);
        record.is_some_and(|record| record.value.is_some()) && !self.earlier.is_hidden(key)
    }

    /// Gives up the values retained from before `era` and returns the deletions of those keys that the
    /// current era does not have.
    pub fn release_retained(&mut self, era: Era) -> Vec<Change> {
        let given_up = self.earlier.release_values(era).into_iter();
        let missing = given_up.filter(|key| !self.has_value(key));
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
            deletions: self.earlier.deletions(),
            known: self.earlier.known(),
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
            deletions,
            known,
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
        let retained = retained.into_iter();
        applied.extend(retained.filter_map(|change| self.retain(change)));
        let deletions = deletions.into_iter();
        applied.extend(deletions.filter_map(|deletion| self.hide(deletion)));
        self.earlier.extend_known(known);
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

    /// Like [`merge`](Self::merge), but retains the state of an older era. It is for an instance that has just started:
    /// its own state has nothing of earlier eras.
    pub fn merge_retaining(&mut self, snapshot: Snapshot) -> Vec<Change> {
        if snapshot.position.era() >= self.position.era() {
            return self.merge(snapshot);
        }
        let known = snapshot.changes.into_iter().chain(snapshot.retained);
        let (present, deleted): (Vec<Change>, Vec<Change>) =
            known.partition(|change| change.value.is_some());
        let deleted = deleted
            .into_iter()
            .map(|change| (change.key, change.version));
        let earlier = snapshot.deletions.into_iter();
        let deleted = deleted.chain(earlier.map(|deletion| (deletion.key, deletion.version)));
        let deletions: Vec<Deletion> = deleted
            .filter_map(|(key, version)| {
                let entry = self.records.get(&key)?.version;
                Deletion::of_copied(key, version, entry)
            })
            .collect();
        let present = present.into_iter();
        let mut applied: Vec<Change> = present.filter_map(|change| self.retain(change)).collect();
        let deletions = deletions.into_iter();
        applied.extend(deletions.filter_map(|deletion| self.hide(deletion)));
        applied
    }

    /// Retains a value that another instance retains, unless this mirror has the value or a later state, or retains one
    /// that is at least as new. Returns the change if it is new.
    fn retain(&mut self, change: Change) -> Option<Change> {
        let current = self.records.get(&change.key);
        self.earlier.retain(change, current, self.position.era())
    }

    /// Retains a deletion that another instance retains, unless the key was written again. Returns the change if it is
    /// new.
    fn hide(&mut self, deletion: Deletion) -> Option<Change> {
        let current = self.records.get(&deletion.key);
        self.earlier.hide(deletion, current, self.position.era())
    }

    /// Returns the keys that have a value that counts, with their values.
    pub fn values(&self) -> impl Iterator<Item = (&Arc<str>, &Bytes)> {
        self.records
            .iter()
            .filter(|(key, _)| !self.earlier.is_hidden(key))
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
