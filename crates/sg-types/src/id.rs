//! Identifiers: one newtype per kind of thing, all over shared text.

use std::{fmt, str::FromStr, sync::Arc};

use crate::parse::{self, text_serde};

/// The longest identifier, in bytes.
pub const MAX_LEN: usize = 64;

fn check(text: &str) -> Result<(), parse::Error> {
    let first = text
        .bytes()
        .next()
        .is_some_and(|b| b.is_ascii_alphanumeric());
    let rest = text
        .bytes()
        .all(|b| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.'));
    if first && rest && text.len() <= MAX_LEN {
        return Ok(());
    }
    Err(parse::Error::Name {
        text: text.chars().take(MAX_LEN).collect(),
    })
}

macro_rules! id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Checks and wraps a name.
            ///
            /// # Errors
            /// [`parse::Error::Name`] if `text` is empty, too long or has a character that is not
            /// allowed.
            pub fn new(text: impl AsRef<str>) -> Result<Self, parse::Error> {
                check(text.as_ref())?;
                Ok(Self(text.as_ref().into()))
            }

            /// The name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = parse::Error;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                Self::new(text)
            }
        }

        impl std::borrow::Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl AsRef<str> for $name {
            fn as_ref(&self) -> &str {
                &self.0
            }
        }

        text_serde!($name);
    };
}

id!(
    /// A client account: who a key belongs to and whose rate a request counts against.
    Account
);
id!(
    /// A service that callers ask for, such as `stal-portaal`.
    Service
);
id!(
    /// A region: a group of failure domains with one set of links to the others.
    Region
);
id!(
    /// A failure domain: instances and targets that fail together.
    Domain
);
id!(
    /// A target: a server that runs requests of one service.
    Target
);
id!(
    /// An instance of the system. The name outlives a process; see [`crate::revision::Incarnation`].
    Instance
);
id!(
    /// A site that the look-up table steers client blocks to.
    Site
);
id!(
    /// A key of a client account. This is the key's public name, never the key.
    Key
);
id!(
    /// A route of a service.
    Route
);
id!(
    /// A request, as named by its caller or by the entry that took it.
    Request
);
