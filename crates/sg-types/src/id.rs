//! Identifiers: one newtype over shared text for each kind of entity.

use std::{fmt, str::FromStr, sync::Arc};

use crate::parse::{self, text_serde};

/// Maximum length of an identifier, in bytes.
pub const MAX_LEN: usize = 64;

fn validate(text: &str) -> Result<(), parse::Error> {
    let starts_valid = text
        .bytes()
        .next()
        .is_some_and(|b| b.is_ascii_alphanumeric());
    let all_valid = text
        .bytes()
        .all(|b| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.'));
    if starts_valid && all_valid && text.len() <= MAX_LEN {
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
            /// Creates an identifier from `text`.
            ///
            /// # Errors
            /// Returns [`parse::Error::Name`] if `text` is empty, longer than [`MAX_LEN`], contains
            /// a character other than ASCII letters, digits, `-`, `_` and `.`, or does not start with
            /// a letter or digit.
            pub fn new(text: impl AsRef<str>) -> Result<Self, parse::Error> {
                validate(text.as_ref())?;
                Ok(Self(text.as_ref().into()))
            }

            /// Returns the identifier as text.
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
    /// A client account. It owns keys, and its requests count against its rate.
    Account
);
id!(
    /// A service that callers send requests to, such as `stal-portaal`.
    Service
);
id!(
    /// A region: a group of failure domains that share the links to other regions.
    Region
);
id!(
    /// A failure domain: instances and targets that fail together.
    Domain
);
id!(
    /// A target: a server that runs the requests of one service.
    Target
);
id!(
    /// An instance of the system. The name is stable across restarts of the process;
    /// [`crate::revision::Incarnation`] distinguishes the runs.
    Instance
);
id!(
    /// A site that the lookup table assigns client address blocks to.
    Site
);
id!(
    /// The public name of a client account's key, never the secret key itself.
    Key
);
id!(
    /// A route of a service.
    Route
);
id!(
    /// A request, named by its caller or by the entry that received it.
    Request
);
