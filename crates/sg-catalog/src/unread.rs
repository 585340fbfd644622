//! The parts of a configuration that could not be read.

use std::fmt;

/// The largest length of the description of a part, in characters.
const MAX_DESCRIPTION_CHARS: usize = 256;

/// The parts of a configuration that this build can't read. They are left out, or replaced by the strictest
/// value of their kind.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Unread {
    count: u64,
    first: Option<String>,
}

impl Unread {
    /// Records a part. `description` says where the part is and what is wrong with it; it must not contain
    /// keys.
    pub fn record(&mut self, description: fmt::Arguments<'_>) {
        self.count += 1;
        self.first.get_or_insert_with(|| {
            let text = description.to_string();
            text.chars().take(MAX_DESCRIPTION_CHARS).collect()
        });
    }

    /// Returns the number of parts.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Returns the description of the first part.
    #[must_use]
    pub fn first(&self) -> Option<&str> {
        self.first.as_deref()
    }
}
