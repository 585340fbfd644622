//! Settings of one instance, read from a JSON file at start.

use std::{net::SocketAddr, path::Path, sync::Arc};

use serde::Deserialize;
use sg_types::prelude::*;

/// Role of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Serves lookups.
    Lookup,
    /// Forwards requests.
    Forward,
}

/// Settings of one instance.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Settings {
    /// Name of the instance.
    pub instance: id::Instance,
    /// Failure domain of the instance.
    pub domain: id::Domain,
    /// Region of the instance.
    pub region: id::Region,
    /// Address for callers.
    pub serve: SocketAddr,
    /// Address for other instances.
    pub peer: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
    /// Addresses of the platform's store, tried in order.
    pub store: Vec<SocketAddr>,
    /// Address of the platform's instance list.
    pub instances: SocketAddr,
    /// Roles of the instance.
    #[serde(default = "all_roles")]
    pub roles: Vec<Role>,
    /// Whether the platform guarantees that two processes of one instance name never run at once. A
    /// restarted instance then takes over the slot of its predecessor without waiting for
    /// confirmation. Must be the same on all instances.
    #[serde(default)]
    pub sole_runs: bool,
    /// Directory of the log files. Logs go to standard error if this is not set.
    #[serde(default)]
    pub logs: Option<Arc<str>>,
}

/// Errors of reading the settings.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file can't be read.
    #[error("{file}: {cause}; name a readable file with --settings")]
    Unreadable {
        /// Path of the file.
        file: String,
        /// Cause reported by the system.
        cause: std::io::Error,
    },
    /// The file is not valid JSON of the expected form.
    #[error("{file}: at '{path}': {cause}; correct the value at that path")]
    Malformed {
        /// Path of the file.
        file: String,
        /// Path inside the file.
        path: String,
        /// Cause reported by the parser.
        cause: serde_json::Error,
    },
    /// A value is not valid.
    #[error("{file}: at '{path}': {problem}; {remedy}")]
    Invalid {
        /// Path of the file.
        file: String,
        /// Path inside the file.
        path: &'static str,
        /// Description of the problem.
        problem: &'static str,
        /// Action that solves the problem.
        remedy: &'static str,
    },
}

/// An invalid value, without the name of the file.
struct InvalidValue {
    path: &'static str,
    problem: &'static str,
    remedy: &'static str,
}

impl Settings {
    /// Reads and validates the settings in `file`.
    ///
    /// # Errors
    /// See [`Error`]. Each message names the path inside the file and a remedy.
    pub fn load(file: impl AsRef<Path>) -> Result<Self, Error> {
        let file = file.as_ref();
        let name = file.display().to_string();
        let text = std::fs::read(file).map_err(|cause| Error::Unreadable {
            file: name.clone(),
            cause,
        })?;
        Self::parse(&text, &name)
    }

    /// Reads and validates the settings in `text`. Error messages name `file`.
    ///
    /// # Errors
    /// Returns [`Error::Malformed`] or [`Error::Invalid`].
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
        match settings.find_invalid_value() {
            None => Ok(settings),
            Some(invalid) => Err(Error::Invalid {
                file: file.to_owned(),
                path: invalid.path,
                problem: invalid.problem,
                remedy: invalid.remedy,
            }),
        }
    }

    /// Returns whether the instance has `role`.
    #[must_use]
    pub fn has_role(&self, role: Role) -> bool {
        self.roles.contains(&role)
    }

    fn find_invalid_value(&self) -> Option<InvalidValue> {
        let addresses = [self.serve, self.peer, self.admin];
        let has_duplicate = addresses
            .iter()
            .enumerate()
            .any(|(index, address)| addresses[..index].contains(address));
        if has_duplicate {
            return Some(InvalidValue {
                path: "serve, peer, admin",
                problem: "two of the addresses are the same",
                remedy: "give each its own port",
            });
        }
        if addresses.iter().any(|address| address.port() == 0) {
            return Some(InvalidValue {
                path: "serve, peer, admin",
                problem: "a port is zero",
                remedy: "give a port from 1 to 65535",
            });
        }
        if self.store.is_empty() {
            return Some(InvalidValue {
                path: "store",
                problem: "no address is given",
                remedy: "name at least one address of the platform's store",
            });
        }
        if self.roles.is_empty() {
            return Some(InvalidValue {
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
