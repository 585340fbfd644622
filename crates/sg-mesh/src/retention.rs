//! What a mirror keeps of the time before the store came back from an older copy.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use sg_store::{Entry, Page, Version, version::Era};
use sg_types::prelude::*;

use crate::mirror::{Change, Record};

/// The largest number of values that are kept of one key.
const MAX_VALUES: usize = 4;

/// What a mirror keeps of earlier eras until the owner of a key writes again. Other values are kept until the owner of
/// the mirror gives them up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Retention {
    /// Nothing.
    #[default]
    Nothing,
    /// Values: their owners write rarely.
    Values,
    /// Deletions: the owners of deleted keys don't write, and those of others write all the time.
    Deletions,
}

/// A deletion of an earlier era whose key came back with the copy.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Deletion {
    /// The key.
    pub key: Arc<str>,
    /// The version of the deletion.
    pub version: Version,
    /// The version of the entry in the current era that doesn't count. A later one does.
    pub hides: Version,
}

/// A range of versions of earlier eras, both ends included.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Range {
    /// The lowest version.
    pub oldest: Version,
    /// The highest version.
    pub newest: Version,
}

impl Range {
    /// Returns the smallest range that contains all of `versions`; `None` if there are none.
    fn of(versions: impl Iterator<Item = Version> + Clone) -> Option<Self> {
        Some(Self {
            oldest: versions.clone().min()?,
            newest: versions.max()?,
        })
    }

    fn contains(self, other: Self) -> bool {
        self.oldest <= other.oldest && other.newest <= self.newest
    }

    /// Returns the smallest range that contains both.
    fn joined(self, other: Option<Self>) -> Self {
        other.map_or(self, |other| Self {
            oldest: self.oldest.min(other.oldest),
            newest: self.newest.max(other.newest),
        })
    }
}

/// A version as instances send it to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EncodedVersion(u64, u64);

impl From<Version> for EncodedVersion {
    fn from(version: Version) -> Self {
        Self(version.era().get(), version.revision())
    }
}

impl From<EncodedVersion> for Version {
    fn from(EncodedVersion(era, revision): EncodedVersion) -> Self {
        Self::at(Era::new(era), revision)
    }
}

/// A range of versions as instances send it to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EncodedRange {
    oldest: EncodedVersion,
    newest: EncodedVersion,
}

impl From<Range> for EncodedRange {
    fn from(range: Range) -> Self {
        Self {
            oldest: range.oldest.into(),
            newest: range.newest.into(),
        }
    }
}

impl From<EncodedRange> for Range {
    fn from(encoded: EncodedRange) -> Self {
        Self {
            oldest: encoded.oldest.into(),
            newest: encoded.newest.into(),
        }
    }
}

/// The state of earlier eras that may still hold.
#[derive(Debug, Clone, Default)]
pub(crate) struct Earlier {
    retention: Retention,
    /// The values of each key, oldest first. Only the owner knows which one is the newest state.
    values: IndexMap<Arc<str>, Vec<Record>>,
    deletions: IndexMap<Arc<str>, Deletion>,
    /// The versions whose lasting state is known; `None` if the mirror has started in the current era.
    known: Option<Range>,
    /// The era of the last release: values of earlier ones don't return.
    released: Era,
}

impl Earlier {
    pub fn new(retention: Retention) -> Self {
        Self {
            retention,
            ..Self::default()
        }
    }

    /// Takes over the records of the era that ends with the listing `page` of a newer one. All changes in `followed`
    /// are known, and the values from before. `first_listing` is the version of the first listing of the era that ends.
    pub fn start_era(
        &mut self,
        records: IndexMap<Arc<str>, Record>,
        followed: Range,
        first_listing: Version,
        page: &Page,
    ) {
        let listed: IndexMap<&str, &Entry> = page
            .entries
            .iter()
            .map(|entry| (entry.key.as_ref(), entry))
            .collect();
        let (present, deleted): (IndexMap<_, _>, IndexMap<_, _>) = records
            .into_iter()
            .partition(|(_, record)| record.value.is_some());
        for (key, record) in present {
            let kept = self.values.entry(key).or_default();
            let is_copied = |other: &Record| {
                record.version <= first_listing
                    && record.version.revision() < other.version.revision()
            };
            if !kept.iter().any(is_copied) {
                keep_value(kept, record);
            }
        }
        self.values.retain(|key, kept| {
            if let Some(entry) = listed.get(key.as_ref()) {
                end_caught_up(kept, &entry.value);
            }
            !kept.is_empty()
        });
        let deleted = deleted.into_iter();
        let deleted = deleted.map(|(key, record)| (key, record.version));
        self.retain_deletions(deleted, &listed);
        let oldest = match self.retention {
            Retention::Deletions => followed.oldest,
            Retention::Nothing | Retention::Values => Version::default(),
        };
        let followed = Range { oldest, ..followed };
        self.known = Some(followed.joined(self.lasting()));
    }

    /// Keeps those of the deletions `deleted`, and of the earlier ones, whose keys are listed in the new era.
    fn retain_deletions(
        &mut self,
        deleted: impl Iterator<Item = (Arc<str>, Version)>,
        listed: &IndexMap<&str, &Entry>,
    ) {
        let earlier = std::mem::take(&mut self.deletions).into_iter();
        if self.retention != Retention::Deletions {
            return;
        }
        let deleted = deleted.chain(earlier.map(|(key, deletion)| (key, deletion.version)));
        let retained = deleted.filter_map(|(key, version)| {
            let entry = listed.get(key.as_ref())?.version;
            Deletion::of_copied(key, version, entry)
        });
        self.deletions = retained
            .map(|deletion| (deletion.key.clone(), deletion))
            .collect();
    }

    /// Ends what is kept of the key of a change in the current era, once the owner has written again. Returns whether
    /// the change is a copied entry that doesn't count.
    pub fn supersede(&mut self, change: &Change) -> bool {
        if let Some(kept) = self.values.get_mut(&change.key) {
            match &change.value {
                Some(value) => end_caught_up(kept, value),
                None => kept.clear(),
            }
            if kept.is_empty() {
                self.values.swap_remove(&change.key);
            }
        }
        let Some(deletion) = self.deletions.get(&change.key) else {
            return false;
        };
        let is_copied = change.version <= deletion.hides;
        if !is_copied {
            self.deletions.swap_remove(&change.key);
        }
        is_copied
    }

    /// Keeps a value that another instance keeps. `current` is the record of the key in the era `era`. Returns the change
    /// if it is new.
    pub fn retain(&mut self, change: Change, current: Option<&Record>, era: Era) -> Option<Change> {
        let is_superseded =
            current.is_some_and(|record| record.value.is_none() || record.value == change.value);
        let is_over = change.version.era() >= era || change.version.era() < self.released;
        if is_superseded || is_over || change.value.is_none() {
            return None;
        }
        let record = Record {
            version: change.version,
            value: change.value.clone(),
        };
        let kept = self.values.entry(change.key.clone()).or_default();
        keep_value(kept, record).then_some(change)
    }

    /// Keeps a deletion that another instance keeps. `current` is the record of the key in the era `era`. Returns the
    /// change if it is new.
    pub fn hide(
        &mut self,
        deletion: Deletion,
        current: Option<&Record>,
        era: Era,
    ) -> Option<Change> {
        let is_usable = self.retention == Retention::Deletions
            && deletion.version.era() < era
            && deletion.hides.era() == era;
        let is_copied = current
            .is_some_and(|record| record.value.is_some() && record.version <= deletion.hides);
        let known = self.deletions.get(&deletion.key);
        let is_known = known.is_some_and(|known| known.hides >= deletion.hides);
        if !is_usable || !is_copied || is_known {
            return None;
        }
        let change = Change {
            key: deletion.key.clone(),
            value: None,
            version: deletion.version,
        };
        self.deletions.insert(deletion.key.clone(), deletion);
        Some(change)
    }

    /// Records what an instance knew whose state was merged.
    pub fn extend_known(&mut self, known: Option<Range>) {
        self.known = known.map(|known| known.joined(self.known)).or(self.known);
    }

    /// Returns the versions whose lasting state is known; `None` if the mirror has started in the current era.
    pub fn known(&self) -> Option<Range> {
        self.known
    }

    /// Returns the versions of what holds until its owners write again.
    pub fn lasting(&self) -> Option<Range> {
        match self.retention {
            Retention::Nothing => None,
            Retention::Values => Range::of(self.records().map(|(_, record)| record.version)),
            Retention::Deletions => Range::of(self.deletions.values().map(|d| d.version)),
        }
    }

    /// Returns whether another instance, whose lasting state has the versions `range`, may keep what this one doesn't know.
    pub fn lacks(&self, range: Range) -> bool {
        !self.known.is_some_and(|known| known.contains(range))
    }

    /// Returns the kept values.
    pub fn values(&self) -> Vec<Change> {
        let values = self.records().map(|(key, record)| Change {
            key: key.clone(),
            value: record.value.clone(),
            version: record.version,
        });
        values.collect()
    }

    fn records(&self) -> impl Iterator<Item = (&Arc<str>, &Record)> + Clone {
        let values = self.values.iter();
        values.flat_map(|(key, kept)| kept.iter().map(move |record| (key, record)))
    }

    /// Returns the kept deletions.
    pub fn deletions(&self) -> Vec<Deletion> {
        self.deletions.values().cloned().collect()
    }

    /// Returns the number of keys whose earlier state holds.
    pub fn len(&self) -> usize {
        self.values.len() + self.deletions.len()
    }

    /// Returns whether the entry of `key` in the current era is a copied one that doesn't count.
    pub fn is_hidden(&self, key: &str) -> bool {
        self.deletions.contains_key(key)
    }

    /// Gives up the values from before `era` and returns their keys.
    pub fn release_values(&mut self, era: Era) -> Vec<Arc<str>> {
        self.released = self.released.max(era);
        let mut given_up = Vec::new();
        self.values.retain(|key, kept| {
            kept.retain(|record| record.version.era() >= era);
            if kept.is_empty() {
                given_up.push(key.clone());
            }
            !kept.is_empty()
        });
        given_up
    }
}

/// Ends the records up to the one with `value`, which the current era has again.
fn end_caught_up(kept: &mut Vec<Record>, value: &Bytes) {
    let same = kept
        .iter()
        .rposition(|record| record.value.as_ref() == Some(value));
    if let Some(index) = same {
        kept.drain(..=index);
    }
}

/// Adds a record to those of a key, unless its value is among them. Returns whether it was added.
fn keep_value(kept: &mut Vec<Record>, record: Record) -> bool {
    if kept.iter().any(|other| other.value == record.value) {
        return false;
    }
    let index = kept.partition_point(|other| other.version < record.version);
    kept.insert(index, record);
    if kept.len() > MAX_VALUES {
        kept.remove(0);
    }
    true
}

impl Deletion {
    /// Returns the deletion of `key` at `version` if the `entry` of a newer era is a copy from before. The copy's
    /// revisions are those of the era in which the key was deleted.
    pub(crate) fn of_copied(key: Arc<str>, version: Version, entry: Version) -> Option<Self> {
        let is_copied = entry.revision() < version.revision();
        is_copied.then_some(Self {
            key,
            version,
            hides: entry,
        })
    }
}
