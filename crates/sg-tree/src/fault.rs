//! Faults found in a tree.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::Path;

/// Whether a fault rejects the tree.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Severity {
    /// The tree is accepted, but the operator should review the fault.
    Warning,
    /// The tree is rejected.
    Error,
}

/// One fault of a tree: the location, the problem and the remedy.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// The path of the node or setting.
    pub path: Path,
    /// Whether the fault rejects the tree.
    pub severity: Severity,
    /// Description of the problem.
    pub problem: String,
    /// Instruction that removes the problem.
    pub remedy: String,
}

impl Fault {
    /// Creates a fault that rejects the tree.
    #[must_use]
    pub fn error(path: Path, problem: impl Into<String>, remedy: impl Into<String>) -> Self {
        Self {
            path,
            severity: Severity::Error,
            problem: problem.into(),
            remedy: remedy.into(),
        }
    }

    /// Creates a fault that does not reject the tree and that the operator should review.
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
