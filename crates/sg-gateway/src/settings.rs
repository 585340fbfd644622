//! The settings of one instance, read from a JSON file.

use std::{net::SocketAddr, path::Path};

use serde::Deserialize;
use sg_types::prelude::*;

/// Fleet-wide limits of the deployment.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Bounds {
    /// The largest ratio of retries to requests.
    pub retry_ratio: f64,
    /// The time window of `retry_ratio`, in seconds.
    #[serde(rename = "retry-window")]
    pub retry_window_seconds: f64,
    /// The number of retries per window that are allowed beyond `retry_ratio`.
    pub retry_slack: f64,
    /// The largest rate of requests to a cold target, as a multiple of the service's cold rate.
    pub cold_factor: f64,
    /// The number of requests per second that are allowed beyond `cold_factor`.
    pub cold_slack: f64,
    /// The time that a stopping process has before the platform kills it, in seconds.
    #[serde(rename = "stop-grace")]
    pub stop_grace_seconds: f64,
    /// The longest time for which callers may cache a lookup response, in seconds.
    #[serde(rename = "lookup-cache")]
    pub lookup_cache_seconds: f64,
}

/// Limits of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Limits {
    /// The largest number of open descriptors; the process's own limit if missing.
    #[serde(default)]
    pub max_descriptors: Option<u64>,
    /// The largest resident memory, in MiB; not limited if missing.
    #[serde(default)]
    pub memory_mb: Option<u64>,
}

/// The settings of one instance.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Settings {
    /// The instance's name.
    pub instance: id::Instance,
    /// The instance's failure domain.
    pub domain: id::Domain,
    /// The instance's region.
    pub region: id::Region,
    /// The region of each failure domain.
    pub domains: IndexMap<id::Domain, id::Region>,
    /// The address for callers' requests.
    pub serve: SocketAddr,
    /// The address for the platform's readiness checks.
    pub ready: SocketAddr,
    /// The address for callers' lookups of instances.
    pub lookup: SocketAddr,
    /// The address for operators, which serves the metrics.
    pub admin: SocketAddr,
    /// The first and the last port that instances may use to reach each other.
    pub mesh_ports: (u16, u16),
    /// Addresses of some other instances, for discovery. Only the hosts are used.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The address of the platform's store.
    pub store: SocketAddr,
    /// The address that connections to targets and other instances come from; the system's choice if
    /// missing.
    #[serde(default)]
    pub source: Option<std::net::IpAddr>,
    /// Whether the whole system starts for the first time, so that targets find all objects cold.
    #[serde(default)]
    pub first_start: bool,
    /// Limits of the process.
    #[serde(default)]
    pub limits: Limits,
    /// Fleet-wide limits.
    pub bounds: Bounds,
}

/// An error in loading settings.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file can't be read.
    #[error("can't read {file}: {cause}; name a readable settings file")]
    Unreadable {
        /// The name of the file.
        file: String,
        /// The operating system's error.
        cause: std::io::Error,
    },
    /// The text is not valid JSON, or a value has the wrong type.
    #[error("{file}: at '{path}': {cause}; correct the value at that path")]
    Malformed {
        /// The name of the file.
        file: String,
        /// The path of the value inside the file.
        path: String,
        /// The parser's error.
        cause: serde_json::Error,
    },
    /// A value is invalid.
    #[error("{file}: at '{path}': {problem}; {remedy}")]
    Invalid {
        /// The name of the file.
        file: String,
        /// The path of the value inside the file.
        path: &'static str,
        /// The reason why the value is invalid.
        problem: &'static str,
        /// The advice to the operator.
        remedy: &'static str,
    },
}

impl Settings {
    /// Reads and validates the settings in `file`. Ignores unknown fields.
    ///
    /// # Errors
    /// Returns [`Error`] if the file can't be read or its settings are invalid. The message names the
    /// file, the path of the value and the remedy.
    pub fn load(file: impl AsRef<Path>) -> Result<Self, Error> {
        let file = file.as_ref();
        let name = file.display().to_string();
        let text = std::fs::read(file).map_err(|cause| Error::Unreadable {
            file: name.clone(),
            cause,
        })?;
        Self::parse(&text, &name)
    }

    /// Parses and validates the settings in `text`. `file` is the name that errors report.
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
        settings.validate(file)?;
        Ok(settings)
    }

    /// Returns the address at which other instances reach this one.
    #[must_use]
    pub fn mesh_address(&self) -> SocketAddr {
        SocketAddr::new(self.serve.ip(), self.mesh_ports.0)
    }

    /// Returns the mesh addresses of the seeds. All instances use the same mesh ports.
    pub fn seed_mesh_addresses(&self) -> impl Iterator<Item = SocketAddr> {
        let port = self.mesh_ports.0;
        self.seeds
            .iter()
            .map(move |seed| SocketAddr::new(seed.ip(), port))
    }

    /// Returns whether a process that runs with these settings has to be restarted for `new` to take effect. The
    /// grace period is read again at a stop.
    #[must_use]
    pub fn needs_restart(&self, new: &Self) -> bool {
        let mut kept = self.clone();
        kept.bounds.stop_grace_seconds = new.bounds.stop_grace_seconds;
        kept != *new
    }

    fn validate(&self, file: &str) -> Result<(), Error> {
        let invalid = |path, problem, remedy| {
            Err(Error::Invalid {
                file: file.to_owned(),
                path,
                problem,
                remedy,
            })
        };
        if self.mesh_ports.0 == 0 || self.mesh_ports.0 > self.mesh_ports.1 {
            return invalid(
                "mesh-ports",
                "the first port is zero or above the last port",
                "give the first and the last port of a free range",
            );
        }
        let addresses = [self.serve, self.ready, self.lookup, self.admin];
        let has_duplicate = addresses
            .iter()
            .enumerate()
            .any(|(index, address)| addresses[..index].contains(address));
        if has_duplicate {
            return invalid(
                "serve, ready, lookup, admin",
                "two of these addresses are equal",
                "give each address its own port",
            );
        }
        let bounds = &self.bounds;
        let times = [
            bounds.retry_window_seconds,
            bounds.stop_grace_seconds,
            bounds.lookup_cache_seconds,
        ];
        if times.iter().any(|time| !(*time > 0.0 && time.is_finite())) {
            return invalid(
                "bounds",
                "a time is not a finite number above zero",
                "give retry-window, stop-grace and lookup-cache in seconds, each above zero",
            );
        }
        if !self.domains.contains_key(&self.domain) {
            return invalid(
                "domains",
                "the instance's own failure domain is missing",
                "list every failure domain with its region",
            );
        }
        Ok(())
    }
}
