//! Numeric newtypes: tree revisions, process incarnations and fleet slots.

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
            /// Creates a value from its number.
            #[must_use]
            pub const fn new(value: $int) -> Self {
                Self(value)
            }

            /// Returns the number.
            #[must_use]
            pub const fn get(self) -> $int {
                self.0
            }

            /// Returns the next higher value.
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
    /// A revision of the tree of settings. Zero means that no revision is known yet.
    Revision(u64)
);
counter!(
    /// One run of an instance's process. The number is drawn at random at the start of the process, so
    /// that different runs have different numbers.
    Incarnation(u64)
);
counter!(
    /// A numbered slot of the fleet. The instance that holds a slot gets a base share of every budget.
    Slot(u32)
);
