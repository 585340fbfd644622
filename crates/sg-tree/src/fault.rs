//! What is wrong with a tree.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::Path;

/// Whether a fault refuses the tree.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Severity {
    /// The tree is accepted; the operator should look.
    Warning,
    /// The tree is refused.
    Error,
}

/// One fault of a tree: where, what and the remedy.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// The path of the node or setting.
    pub path: Path,
    /// Whether the fault refuses the tree.
    pub severity: Severity,
    /// What is wrong.
    pub problem: String,
    /// What to do about it.
    pub remedy: String,
}

impl Fault {
    /// A fault that refuses the tree.
    #[must_use]
    pub fn error(path: Path, problem: impl Into<String>, remedy: impl Into<String>) -> Self {
        Self {
            path,
            severity: Severity::Error,
            problem: problem.into(),
            remedy: remedy.into(),
        }
    }

    /// A fault that the operator should look at.
    #[must_use]
    pub fn warning(path: Path, problem: impl Into<String>, remedy: impl Into<String>) -> Self {
        Self {
            severity: Severity::Warning,
            ..Self::error(path, problem, remedy)
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let severity = match self.severity {
            Severity::Warning => "warning",
            Severity::Error => "error",
        };
        write!(
            f,
            "{severity}: {}: {}; {}",
            self.path, self.problem, self.remedy
        )
    }
}
