//! The settings of one instance, read from a JSON file at start.

use std::{net::SocketAddr, path::Path, sync::Arc};

use serde::Deserialize;
use sg_types::prelude::*;

/// What the instance does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Answers look-ups.
    Lookup,
    /// Forwards requests.
    Forward,
}

/// The settings of one instance.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Settings {
    /// The instance's name.
    pub instance: id::Instance,
    /// The failure domain it is in.
    pub domain: id::Domain,
    /// The region it is in.
    pub region: id::Region,
    /// Where callers reach it.
    pub serve: SocketAddr,
    /// Where the other instances reach it.
    pub peer: SocketAddr,
    /// Where operators reach it.
    pub admin: SocketAddr,
    /// The platform's store, tried in order.
    pub store: Vec<SocketAddr>,
    /// The platform's list of instances.
    pub instances: SocketAddr,
    /// What the instance does.
    #[serde(default = "all_roles")]
    pub roles: Vec<Role>,
    /// Whether the platform never lets two runs of one instance name live at once. A new run then
    /// takes up the slot of the one before without waiting for it to be certain. The same on all
    /// instances.
    #[serde(default)]
    pub sole_runs: bool,
    /// Where log files go; standard error if none is set.
    #[serde(default)]
    pub logs: Option<Arc<str>>,
}

/// Why the settings can't be used.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file can't be read.
    #[error("{file}: {cause}; name a readable file with --settings")]
    Unreadable {
        /// The file.
        file: String,
        /// What the system said.
        cause: std::io::Error,
    },
    /// The text is not what is wanted.
    #[error("{file}: at '{path}': {cause}; correct the value at that path")]
    Malformed {
        /// The file.
        file: String,
        /// The path inside the file.
        path: String,
        /// What is wrong.
        cause: serde_json::Error,
    },
    /// A value can't be used.
    #[error("{file}: at '{path}': {problem}; {remedy}")]
    Invalid {
        /// The file.
        file: String,
        /// The path inside the file.
        path: &'static str,
        /// What is wrong.
        problem: &'static str,
        /// What to do.
        remedy: &'static str,
    },
}

/// A value that can't be used, before the file's name is added.
struct Fault {
    path: &'static str,
    problem: &'static str,
    remedy: &'static str,
}

impl Settings {
    /// Reads and checks the settings in `file`.
    ///
    /// # Errors
    /// See [`Error`]; each message names the path inside the file and the remedy.
    pub fn load(file: impl AsRef<Path>) -> Result<Self, Error> {
        let file = file.as_ref();
        let name = file.display().to_string();
        let text = std::fs::read(file).map_err(|cause| Error::Unreadable {
            file: name.clone(),
            cause,
        })?;
        Self::parse(&text, &name)
    }

    /// Reads and checks the settings in `text`; `file` names it in errors.
    ///
    /// # Errors
    /// [`Error::Malformed`] or [`Error::Invalid`].
    pub fn parse(text: &[u8], file: &str) -> Result<Self, Error> {
        let mut json = serde_json::Deserializer::from_slice(text);
        let settings: Self =
            serde_path_to_error::deserialize(&mut json).map_err(|error| Error::Malformed {
                file: file.to_owned(),
                path: error.path().to_string(),
                cause: error.into_inner(),
            })?;
        json.end().map_err(|cause| Error::Malformed {
            file: file.to_owned(),
            path: ".".to_owned(),
            cause,
        })?;
        match settings.fault() {
            None => Ok(settings),
            Some(fault) => Err(Error::Invalid {
                file: file.to_owned(),
                path: fault.path,
                problem: fault.problem,
                remedy: fault.remedy,
            }),
        }
    }

    /// Whether the instance does `role`.
    #[must_use]
    pub fn does(&self, role: Role) -> bool {
        self.roles.contains(&role)
    }

    fn fault(&self) -> Option<Fault> {
        let own = [self.serve, self.peer, self.admin];
        let doubled = own
            .iter()
            .enumerate()
            .any(|(index, address)| own[..index].contains(address));
        if doubled {
            return Some(Fault {
                path: "serve, peer, admin",
                problem: "two of the addresses are the same",
                remedy: "give each its own port",
            });
        }
        if own.iter().any(|address| address.port() == 0) {
            return Some(Fault {
                path: "serve, peer, admin",
                problem: "a port is zero",
                remedy: "give a port from 1 to 65535",
            });
        }
        if self.store.is_empty() {
            return Some(Fault {
                path: "store",
                problem: "no address is given",
                remedy: "name at least one address of the platform's store",
            });
        }
        if self.roles.is_empty() {
            return Some(Fault {
                path: "roles",
                problem: "no role is given",
                remedy: "name lookup, forward or both, or leave the setting out for both",
            });
        }
        None
    }
}

fn all_roles() -> Vec<Role> {
    vec![Role::Lookup, Role::Forward]
}
