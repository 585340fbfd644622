//! Head of the tree: accepted revision, digest, author and date.

use std::{fmt, sync::Arc};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use sg_tree::Digest;
use sg_types::revision::Revision;

use crate::{Entry, Error, Store, Version, change};

/// Key of the head.
pub const KEY: &str = "sg/tree/head";
/// Prefix of the keys of earlier heads.
pub(crate) const HISTORY_PREFIX: &str = "sg/tree/history/";
const SECONDS_PER_DAY: u64 = 86_400;
/// Days from 1 March of year 0 to 1 January 1970.
const DAYS_TO_1970: u64 = 719_468;
/// Days in the 400-year cycle of the Gregorian calendar.
const DAYS_PER_ERA: u64 = 146_097;

/// A UTC date, in milliseconds since 1970-01-01. Dates are shown to people only; no decision
/// depends on them.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Date(u64);

impl Date {
    /// Creates a date from the milliseconds since 1970-01-01 UTC.
    #[must_use]
    pub const fn from_unix_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Returns the milliseconds since 1970-01-01 UTC.
    #[must_use]
    pub const fn as_unix_millis(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Date {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let seconds = self.0 / 1_000;
        let (year, month, day) = civil_from_days(seconds / SECONDS_PER_DAY);
        let second_of_day = seconds % SECONDS_PER_DAY;
        let (hour, minute) = (second_of_day / 3_600, second_of_day / 60 % 60);
        write!(
            f,
            "{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{:02}Z",
            second_of_day % 60
        )
    }
}

/// Returns the year, month and day of the Gregorian calendar, `days` after 1 January 1970.
fn civil_from_days(days: u64) -> (u64, u64, u64) {
    // Years start on 1 March, so that the leap day is the last day of a year.
    let days = days + DAYS_TO_1970;
    let era = days / DAYS_PER_ERA;
    let day_of_era = days % DAYS_PER_ERA;
    let year_of_era =
        (day_of_era - day_of_era / 1_460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let month_from_march = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month_from_march + 2) / 5 + 1;
    let month = if month_from_march < 10 {
        month_from_march + 3
    } else {
        month_from_march - 9
    };
    let year = era * 400 + year_of_era + u64::from(month <= 2);
    (year, month, day)
}

/// Value at [`KEY`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Accepted revision.
    pub revision: Revision,
    /// Digest of the tree.
    pub digest: Digest,
    /// Id of the change that produced the revision.
    pub change: change::Id,
    /// Author of the change.
    pub author: Arc<str>,
    /// Date of the change by the author's clock.
    pub time: Date,
    /// Purpose of the change, as given by the author.
    pub note: Arc<str>,
    /// Number of chunks that hold the text of the tree.
    pub chunks: u32,
}

/// A head and its version in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionedHead {
    /// Head of the tree.
    pub head: Head,
    /// Version at which the head was written.
    pub version: Version,
}

/// Reads the head. Returns `None` if no tree was ever published.
///
/// # Errors
/// Returns the error of the store, or [`Error::Malformed`] if the value is not a valid head.
pub async fn read(store: &impl Store) -> Result<Option<VersionedHead>, Error> {
    let entry = store.get(KEY).await?;
    entry.as_ref().map(VersionedHead::from_entry).transpose()
}

impl VersionedHead {
    /// Parses the head from the entry at [`KEY`].
    ///
    /// # Errors
    /// Returns [`Error::Malformed`] if the value is not a valid head.
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
            cause: format!("not a valid head of a tree: {error}"),
        })
    }

    pub(crate) fn to_value(&self) -> Bytes {
        serde_json::to_vec(self).unwrap_or_default().into()
    }

    /// Returns the key prefix of the tree's chunks. The prefix includes the change id, so that
    /// concurrent changes to the same revision never overwrite each other's chunks.
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
    format!("{HISTORY_PREFIX}{revision}")
}
