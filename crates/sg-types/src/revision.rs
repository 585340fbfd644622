//! Counters that only go forward: revisions of the tree, incarnations of processes, slots.

use std::{fmt, num::ParseIntError, str::FromStr};

use serde::{Deserialize, Serialize};

macro_rules! counter {
    ($(#[$doc:meta])* $name:ident($int:ty)) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize,
            Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name($int);

        impl $name {
            /// Wraps a number.
            #[must_use]
            pub const fn new(value: $int) -> Self {
                Self(value)
            }

            /// The number.
            #[must_use]
            pub const fn get(self) -> $int {
                self.0
            }

            /// The one after this.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = ParseIntError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self)
            }
        }
    };
}

counter!(
    /// A revision of the tree of settings. Zero means that none is known yet.
    Revision(u64)
);
counter!(
    /// One run of an instance's process. Drawn at random at start, so that two runs never share it.
    Incarnation(u64)
);
counter!(
    /// A place in the fleet that holds a base share of every budget.
    Slot(u32)
);
