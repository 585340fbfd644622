//! Why a command failed, and the exit code that says so.

use std::process::ExitCode;

use sg_store::{load, publish};
use sg_tree::{Fault, diff::Difference};

/// The command did what it was asked to.
pub const DONE: u8 = 0;
/// The command failed for a reason of its own.
pub const FAILED: u8 = 1;
/// The command line is wrong.
pub const USAGE: u8 = 2;
/// The change was refused; nothing was changed.
pub const REFUSED: u8 = 3;
/// The platform or the fleet can't be reached; nothing was changed.
pub const OUTAGE: u8 = 4;
/// Whether the change took effect is not known.
pub const UNKNOWN: u8 = 5;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The command line is wrong.
    #[error("{0}")]
    Usage(String),
    /// A file can't be read.
    #[error("{file}: {cause}; name a readable file")]
    File {
        /// The file.
        file: String,
        /// What the system said.
        cause: std::io::Error,
    },
    /// A file holds no tree.
    #[error("{file}: {cause}")]
    Unreadable {
        /// The file.
        file: String,
        /// Why.
        cause: sg_tree::node::Error,
    },
    /// The tree has faults.
    #[error("{}", lines(.0))]
    Faults(Vec<Fault>),
    /// Another operator was first.
    #[error("{message}\ntheir difference:\n{theirs}")]
    Race {
        /// Who was first and what to do.
        message: String,
        /// What they changed.
        theirs: Difference,
    },
    /// The change is refused.
    #[error("{0}")]
    Refused(String),
    /// The platform or the fleet can't be reached.
    #[error("{0}")]
    Outage(String),
    /// Whether the change took effect is not known.
    #[error("{0}")]
    Unknown(String),
}

impl Error {
    /// The exit code that tells usage, refusal and outage apart.
    #[must_use]
    pub fn code(&self) -> ExitCode {
        let code = match self {
            Self::Usage(_) | Self::File { .. } => USAGE,
            Self::Unreadable { .. } | Self::Faults(_) | Self::Race { .. } | Self::Refused(_) => {
                REFUSED
            }
            Self::Outage(_) => OUTAGE,
            Self::Unknown(_) => UNKNOWN,
        };
        code.into()
    }
}

impl From<sg_store::Error> for Error {
    fn from(error: sg_store::Error) -> Self {
        Self::Outage(error.to_string())
    }
}

impl From<load::Error> for Error {
    fn from(error: load::Error) -> Self {
        match error {
            load::Error::Store(error) => error.into(),
            error => Self::Refused(error.to_string()),
        }
    }
}

impl From<sg_tree::compile::Error> for Error {
    fn from(error: sg_tree::compile::Error) -> Self {
        Self::Faults(error.faults)
    }
}

impl Error {
    /// The error of a publication; `base` is the tree that the operator changed.
    pub(crate) fn publication(error: publish::Error, base: &sg_tree::Node) -> Self {
        let message = error.to_string();
        match error {
            publish::Error::Faults(error) => error.into(),
            publish::Error::Race { tree, .. } => Self::Race {
                message,
                theirs: sg_tree::diff::diff(base, &tree),
            },
            publish::Error::Base { .. } => Self::Refused(message),
            publish::Error::Unknown { .. } => Self::Unknown(message),
            publish::Error::Store(error) => error.into(),
            publish::Error::Load(error) => error.into(),
        }
    }
}

fn lines(faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
