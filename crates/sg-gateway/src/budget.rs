//! Divides the descriptors and the memory of the process among its uses.

use nix::sys::resource::{Resource, getrlimit};

use sg_types::prelude::*;

use crate::settings::Limits;

/// Descriptors for files, which the system may reserve.
const FILE_DESCRIPTORS: u64 = 200;
/// Descriptors for listeners, the store and other instances.
const CONTROL_DESCRIPTORS: u64 = 64;
/// Connections to each of the addresses for lookups, readiness checks and operators.
const AUXILIARY_CONNECTIONS: u64 = 192;
/// Fraction of the remaining descriptors for connections of callers.
const CALLER_FRACTION: f64 = 0.5;
/// Fraction of the remaining descriptors for idle connections to targets. The rest is for connections to
/// targets that are in use and for callers' connections that only get a refusal.
const IDLE_TARGET_FRACTION: f64 = 0.2;
/// Memory of an open connection of a caller with its buffers.
const CONNECTION_BYTES: u64 = 24 << 10;
/// Fraction of the memory for connections of callers.
const CALLER_MEMORY_FRACTION: f64 = 0.25;
/// Fraction of the memory for responses of targets that are being received.
const RECEIVED_MEMORY_FRACTION: f64 = 0.125;
/// Memory for responses that are being received, if the settings don't limit the memory.
const DEFAULT_RECEIVED: Bytes = Bytes::new(64 << 20);
/// The least number of connections of any kind, so that the instance works at all.
const MIN_CONNECTIONS: u64 = 16;

/// Maximum numbers of connections by use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Budget {
    /// Descriptors that the division is based on.
    pub descriptors: u64,
    /// Open connections of callers.
    pub callers: usize,
    /// Idle connections to all targets together.
    pub idle_targets: usize,
    /// Open connections to each of the other addresses.
    pub auxiliary: usize,
    /// Memory for responses of targets that are being received.
    pub received: Bytes,
}

impl Budget {
    /// Divides what the settings and the process's own limit on descriptors allow.
    ///
    /// # Errors
    /// Returns the operating system's error if the limit of the process can't be read.
    pub fn of_process(limits: &Limits) -> std::io::Result<Self> {
        let (soft_limit, _) = getrlimit(Resource::RLIMIT_NOFILE)?;
        Ok(Self::divide(limits, soft_limit))
    }

    /// Divides the lower one of `soft_limit` and the settings' limit on descriptors, and the memory.
    #[must_use]
    pub fn divide(limits: &Limits, soft_limit: u64) -> Self {
        let descriptors = limits
            .max_descriptors
            .map_or(soft_limit, |limit| limit.min(soft_limit));
        let auxiliary = AUXILIARY_CONNECTIONS.min(descriptors / 16);
        let reserved = FILE_DESCRIPTORS.min(descriptors / 4) + CONTROL_DESCRIPTORS + auxiliary;
        let remaining = descriptors.saturating_sub(reserved) as f64;
        let callers = (remaining * CALLER_FRACTION) as u64;
        let by_memory = limits.memory_mb.map_or(u64::MAX, |megabytes| {
            let bytes = (megabytes << 20) as f64 * CALLER_MEMORY_FRACTION;
            bytes as u64 / CONNECTION_BYTES
        });
        let connections = |count: u64| count.max(MIN_CONNECTIONS) as usize;
        Self {
            descriptors,
            callers: connections(callers.min(by_memory)),
            idle_targets: connections((remaining * IDLE_TARGET_FRACTION) as u64),
            auxiliary: connections(auxiliary),
            received: limits.memory_mb.map_or(DEFAULT_RECEIVED, |megabytes| {
                let bytes = (megabytes << 20) as f64 * RECEIVED_MEMORY_FRACTION;
                Bytes::new(bytes as u64)
            }),
        }
    }
}
