//! Paths of nodes and settings in the tree, such as `/accounts/club-noord/rate`.

use std::{fmt, str::FromStr, sync::Arc};

use serde::{Deserialize, Serialize};

/// A path from the root of the tree. The path of the root is `/`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct Path(Vec<Arc<str>>);

/// The error for a text that is not a path.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("'{0}' is not a path; write it like /accounts/NAME/rate")]
pub struct ParseError(String);

impl Path {
    /// Returns the path of the root.
    #[must_use]
    pub fn root() -> Self {
        Self::default()
    }

    /// Returns this path extended by the segment `name`.
    #[must_use]
    pub fn join(&self, name: impl AsRef<str>) -> Self {
        let mut segments = self.0.clone();
        segments.push(name.as_ref().into());
        Self(segments)
    }

    /// Returns the parent's path and the last segment, or `None` for the root.
    #[must_use]
    pub fn split_last(&self) -> Option<(Self, &str)> {
        let (last, rest) = self.0.split_last()?;
        Some((Self(rest.to_vec()), last))
    }

    /// Returns the segments, starting at the root.
    pub fn segments(&self) -> impl Iterator<Item = &str> {
        self.0.iter().map(AsRef::as_ref)
    }

    /// Returns whether `other` is this path or a path below it.
    #[must_use]
    pub fn contains(&self, other: &Self) -> bool {
        other.0.starts_with(&self.0)
    }
}

impl fmt::Display for Path {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.is_empty() {
            return f.write_str("/");
        }
        self.0
            .iter()
            .try_for_each(|segment| write!(f, "/{segment}"))
    }
}

impl FromStr for Path {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let rest = text
            .strip_prefix('/')
            .ok_or_else(|| ParseError(text.to_owned()))?;
        if rest.is_empty() {
            return Ok(Self::root());
        }
        let segments: Vec<Arc<str>> = rest.split('/').map(Arc::from).collect();
        if segments.iter().any(|segment| segment.is_empty()) {
            return Err(ParseError(text.to_owned()));
        }
        Ok(Self(segments))
    }
}

impl From<Path> for String {
    fn from(path: Path) -> Self {
        path.to_string()
    }
}

impl TryFrom<String> for Path {
    type Error = ParseError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}
