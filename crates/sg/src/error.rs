//! Why a command failed, and the exit code that says so.

use serde::Serialize;
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
/// The change stands in the store and was followed; it is not yet accepted.
pub const PENDING: u8 = 6;

/// An error as programs read it.
#[derive(Serialize)]
struct Report<'a> {
    error: Body<'a>,
}

#[derive(Serialize)]
struct Body<'a> {
    kind: &'static str,
    message: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    faults: Option<&'a [Fault]>,
    #[serde(skip_serializing_if = "Option::is_none")]
    theirs: Option<&'a Difference>,
}

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
    /// The operator ended the command; the message says what was done.
    #[error("{0}")]
    Interrupted(String),
}

impl Error {
    /// The exit code that tells usage, refusal and outage apart.
    #[must_use]
    pub const fn code(&self) -> u8 {
        match self {
            Self::Usage(_) | Self::File { .. } => USAGE,
            Self::Unreadable { .. } | Self::Faults(_) | Self::Race { .. } | Self::Refused(_) => {
                REFUSED
            }
            Self::Outage(_) => OUTAGE,
            Self::Unknown(_) => UNKNOWN,
            Self::Interrupted(_) => FAILED,
        }
    }

    /// The word for the kind of error, for programs.
    #[must_use]
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Usage(_) => "usage",
            Self::File { .. } => "file",
            Self::Unreadable { .. } => "unreadable",
            Self::Faults(_) => "faults",
            Self::Race { .. } => "race",
            Self::Refused(_) => "refused",
            Self::Outage(_) => "outage",
            Self::Unknown(_) => "unknown",
            Self::Interrupted(_) => "interrupted",
        }
    }

    /// The error as one JSON object, with the faults or the other operator's difference.
    #[must_use]
    pub fn to_json(&self) -> serde_json::Value {
        let report = Report {
            error: Body {
                kind: self.kind(),
                message: self.to_string(),
                faults: match self {
                    Self::Faults(faults) => Some(faults),
                    _ => None,
                },
                theirs: match self {
                    Self::Race { theirs, .. } => Some(theirs),
                    _ => None,
                },
            },
        };
        serde_json::to_value(report).unwrap_or_default()
    }

    /// The error of loading an earlier revision.
    pub(crate) fn revision(error: load::Error, revision: sg_types::revision::Revision) -> Self {
        match error {
            load::Error::Absent => Self::Refused(format!(
                "revision {revision} is not kept or was never accepted; 'sg tree history' prints \
                 the revisions that are kept"
            )),
            error => error.into(),
        }
    }

    /// A change of which nobody knows whether it took effect.
    pub(crate) fn unknown(cause: &str, id: sg_store::change::Id) -> Self {
        Self::Unknown(format!(
            "{cause}: whether change {id} was written is not known; look for it with 'sg tree \
             history', or repeat the command with --change {id}, which takes effect once at most"
        ))
    }

    /// Says what an unknown outcome means for a new key, if the change was to give one.
    pub(crate) fn of_key(self, key: bool) -> Self {
        match self {
            Self::Unknown(message) if key => Self::Unknown(format!(
                "{message}. The key itself is gone: if the change was written, withdraw the key \
                 and add another one"
            )),
            error => error,
        }
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
            publish::Error::InvalidTree(error) => error.into(),
            publish::Error::Conflict { tree, .. } => Self::Race {
                message,
                theirs: sg_tree::diff::diff(base, &tree),
            },
            publish::Error::UnknownBase { .. } => Self::Refused(message),
            publish::Error::ResultUnknown { change, cause } => {
                Self::unknown(&cause.to_string(), change)
            }
            publish::Error::Store(error) => error.into(),
            publish::Error::Load(error) => error.into(),
        }
    }
}

fn lines(faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
