//! The head: which revision of the tree is accepted, by whom and when.

use std::{fmt, sync::Arc};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use sg_tree::Digest;
use sg_types::revision::Revision;

use crate::{Entry, Error, Store, Version, change};

/// The key of the head.
pub const KEY: &str = "sg/tree/head";
/// What the keys of earlier heads start with.
pub(crate) const HISTORY: &str = "sg/tree/history/";
const SECS_PER_DAY: u64 = 86_400;
/// Days from 1 March of year 0 to 1 January 1970.
const DAYS_TO_1970: u64 = 719_468;
/// Days in 400 years.
const DAYS_PER_ERA: u64 = 146_097;

/// A point in calendar time, in milliseconds since the start of 1970 (UTC). For people to read;
/// nothing is decided by it.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Date(u64);

impl Date {
    /// The point `millis` milliseconds after the start of 1970.
    #[must_use]
    pub const fn from_unix_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Milliseconds since the start of 1970.
    #[must_use]
    pub const fn as_unix_millis(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Date {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let secs = self.0 / 1_000;
        let (year, month, day) = civil(secs / SECS_PER_DAY);
        let second = secs % SECS_PER_DAY;
        let (hour, minute) = (second / 3_600, second / 60 % 60);
        write!(
            f,
            "{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{:02}Z",
            second % 60
        )
    }
}

/// The year, month and day of the Gregorian calendar, `days` after 1 January 1970.
fn civil(days: u64) -> (u64, u64, u64) {
    // Years are counted from 1 March of year 0, so that the leap day ends a year.
    let days = days + DAYS_TO_1970;
    let era = days / DAYS_PER_ERA;
    let of_era = days % DAYS_PER_ERA;
    let year_of_era = (of_era - of_era / 1_460 + of_era / 36_524 - of_era / 146_096) / 365;
    let of_year = of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let shifted = (5 * of_year + 2) / 153;
    let day = of_year - (153 * shifted + 2) / 5 + 1;
    let month = if shifted < 10 {
        shifted + 3
    } else {
        shifted - 9
    };
    let year = era * 400 + year_of_era + u64::from(month <= 2);
    (year, month, day)
}

/// What stands at [`KEY`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The revision.
    pub revision: Revision,
    /// The digest of the tree.
    pub digest: Digest,
    /// The change that made it.
    pub change: change::Id,
    /// Who made it.
    pub author: Arc<str>,
    /// When, by the author's clock.
    pub time: Date,
    /// What for.
    pub note: Arc<str>,
    /// How many chunks the tree's text was cut into.
    pub chunks: u32,
}

/// A head and where it stands in the store's history.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Placed {
    /// The head.
    pub head: Head,
    /// The version of its key.
    pub version: Version,
}

/// Reads the head; `None` if no tree was ever published.
///
/// # Errors
/// Those of the store; [`Error::Malformed`] if the value is no head.
pub async fn read(store: &impl Store) -> Result<Option<Placed>, Error> {
    let entry = store.get(KEY).await?;
    entry.as_ref().map(Placed::from_entry).transpose()
}

impl Placed {
    /// Reads the head from the entry at its key.
    ///
    /// # Errors
    /// [`Error::Malformed`] if the value is no head.
    pub fn from_entry(entry: &Entry) -> Result<Self, Error> {
        Ok(Self {
            head: Head::from_value(&entry.value)?,
            version: entry.version,
        })
    }
}

impl Head {
    pub(crate) fn from_value(value: &Bytes) -> Result<Self, Error> {
        serde_json::from_slice(value).map_err(|error| Error::Malformed {
            cause: format!("no head of a tree: {error}"),
        })
    }

    pub(crate) fn to_value(&self) -> Bytes {
        serde_json::to_vec(self).unwrap_or_default().into()
    }

    /// What the keys of the tree's chunks start with. The change is part of it, so that operators
    /// who race for a revision never write each other's chunks.
    pub(crate) fn chunk_prefix(&self) -> String {
        format!("{}{}/", revision_prefix(self.revision), self.change)
    }

    pub(crate) fn chunk_key(&self, index: usize) -> String {
        format!("{}{index:04}", self.chunk_prefix())
    }

    pub(crate) fn history_key(&self) -> String {
        history_key(self.revision)
    }
}

pub(crate) fn revision_prefix(revision: Revision) -> String {
    format!("sg/tree/{revision}/")
}

pub(crate) fn history_key(revision: Revision) -> String {
    format!("{HISTORY}{revision}")
}
