//! Positions in the history of the store.

use std::{
    fmt,
    num::ParseIntError,
    str::FromStr,
    sync::atomic::{AtomicU64, Ordering},
};

use crate::{Error, Lease};

/// Number of times that the store has come back from an older copy of its data. The changes after that
/// copy are lost, and the store gives out their revisions again. A store that does not report eras stays
/// in era 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct Era(u64);

impl Era {
    /// Creates an era from its number.
    #[must_use]
    pub const fn new(era: u64) -> Self {
        Self(era)
    }

    /// Returns the number of the era.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Era {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Era {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// Position in the history of the store: an era and a revision, ordered in that order. Each write
/// increments the revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct Version {
    era: Era,
    revision: u64,
}

impl Version {
    /// Creates a version in era 0.
    #[must_use]
    pub const fn new(revision: u64) -> Self {
        Self::at(Era::new(0), revision)
    }

    /// Creates a version.
    #[must_use]
    pub const fn at(era: Era, revision: u64) -> Self {
        Self { era, revision }
    }

    /// Returns the era.
    #[must_use]
    pub const fn era(self) -> Era {
        self.era
    }

    /// Returns the revision within the era.
    #[must_use]
    pub const fn revision(self) -> u64 {
        self.revision
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.revision)
    }
}

impl FromStr for Version {
    type Err = ParseIntError;

    /// Parses `ERA.REVISION`, or a revision of era 0.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (era, revision) = text.split_once('.').unwrap_or(("0", text));
        Ok(Self::at(era.parse()?, revision.parse()?))
    }
}

/// The newest era that a client has seen, against which the client checks what it holds from before.
#[derive(Debug, Default)]
pub struct EraTracker(AtomicU64);

impl EraTracker {
    /// Returns the newest era seen.
    #[must_use]
    pub fn newest(&self) -> Era {
        Era(self.0.load(Ordering::Acquire))
    }

    /// Records the era of a response.
    pub fn observe(&self, era: Era) {
        self.0.fetch_max(era.get(), Ordering::AcqRel);
    }

    /// Checks that a precondition may be sent. Its revision may belong to another write if the version
    /// is of an older era.
    ///
    /// # Errors
    /// Returns [`Error::EraEnded`] if the version is of an older era.
    pub fn check_version(&self, version: Version) -> Result<(), Error> {
        if version.era() < self.newest() {
            return Err(Error::EraEnded);
        }
        Ok(())
    }

    /// Checks that a lease may still exist. The store gives out the ids of leases again, too.
    ///
    /// # Errors
    /// Returns [`Error::LeaseExpired`] if the lease is of an older era.
    pub fn check_lease(&self, lease: Lease) -> Result<(), Error> {
        if lease.era() < self.newest() {
            return Err(Error::LeaseExpired);
        }
        Ok(())
    }
}
