//! Divides the descriptors and the memory of the process among its uses.

use nix::sys::resource::{Resource, getrlimit};

use sg_proxy::server::CONNECTION_BYTES;
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
/// Fraction of the memory for connections of callers.
const CALLER_MEMORY_FRACTION: f64 = 0.25;
/// Fraction of the memory for responses of targets, part of that for buffers.
const RECEIVED_MEMORY_FRACTION: f64 = 0.125;
/// Memory for responses of targets, if the settings don't limit the memory.
const DEFAULT_RECEIVED: Bytes = Bytes::new(64 << 20);
/// Memory beyond that of the start for the state of targets, instances, accounts and the store, with
/// hundreds of each.
const STATE_BYTES: u64 = 20 << 20;
/// Memory of an idle connection to a target.
const IDLE_TARGET_BYTES: u64 = 12 << 10;
/// Fraction of the memory that is left free, for received bytes that are not yet read and for the
/// allocator's unused parts.
const FREE_MEMORY_FRACTION: f64 = 0.125;
/// The least fraction of the memory for buffers, so that the instance works at all.
const MIN_BUFFERED_FRACTION: f64 = 0.1;
/// Fraction of the memory for bytes that callers' sockets received and that are not yet read.
const RECEIVE_BUFFER_FRACTION: f64 = 0.0625;
/// The smallest receive buffer of a caller's socket, several segments of the network.
const MIN_RECEIVE_BUFFER: u64 = 16 << 10;
/// The largest one, the system's usual initial size.
const MAX_RECEIVE_BUFFER: u64 = 128 << 10;
/// Memory for buffers if the settings don't limit the memory.
const UNLIMITED: Bytes = Bytes::new(u64::MAX >> 1);
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
    /// Resident memory of the process at its start.
    pub base: Bytes,
    /// Memory for everything that is buffered for callers and targets, with their connections.
    pub buffered: Bytes,
    /// Part of that memory for responses of targets.
    pub received: Bytes,
    /// Receive buffer of each caller's socket; the system's choice if `None`.
    pub receive_buffer: Option<Bytes>,
}

impl Budget {
    /// Divides what the settings and the process's own limit on descriptors allow.
    ///
    /// # Errors
    /// Returns the operating system's error if the limit of the process can't be read.
    pub fn of_process(limits: &Limits) -> std::io::Result<Self> {
        let (soft_limit, _) = getrlimit(Resource::RLIMIT_NOFILE)?;
        Ok(Self::divide(limits, soft_limit, resident_bytes()?))
    }

    /// Divides the lower one of `soft_limit` and the settings' limit on descriptors, and the memory, of which
    /// the process holds `base` at its start.
    #[must_use]
    pub fn divide(limits: &Limits, soft_limit: u64, base: Bytes) -> Self {
        let descriptors = limits
            .max_descriptors
            .map_or(soft_limit, |limit| limit.min(soft_limit));
        let auxiliary = AUXILIARY_CONNECTIONS.min(descriptors / 16);
        let reserved = FILE_DESCRIPTORS.min(descriptors / 4) + CONTROL_DESCRIPTORS + auxiliary;
        let remaining = descriptors.saturating_sub(reserved) as f64;
        let callers = (remaining * CALLER_FRACTION) as u64;
        let by_memory = limits.memory_mb.map_or(u64::MAX, |megabytes| {
            let bytes = (megabytes << 20) as f64 * CALLER_MEMORY_FRACTION;
            bytes as u64 / CONNECTION_BYTES.get()
        });
        let connections = |count: u64| count.max(MIN_CONNECTIONS) as usize;
        let callers = connections(callers.min(by_memory));
        let idle_targets = connections((remaining * IDLE_TARGET_FRACTION) as u64);
        Self {
            descriptors,
            callers,
            idle_targets,
            auxiliary: connections(auxiliary),
            base,
            buffered: limits.memory_mb.map_or(UNLIMITED, |megabytes| {
                let memory = megabytes << 20;
                let other = base.get() + STATE_BYTES + idle_targets as u64 * IDLE_TARGET_BYTES;
                let free = (memory as f64 * FREE_MEMORY_FRACTION) as u64;
                let least = (memory as f64 * MIN_BUFFERED_FRACTION) as u64;
                Bytes::new(memory.saturating_sub(other + free).max(least))
            }),
            received: limits.memory_mb.map_or(DEFAULT_RECEIVED, |megabytes| {
                let bytes = (megabytes << 20) as f64 * RECEIVED_MEMORY_FRACTION;
                Bytes::new(bytes as u64)
            }),
            receive_buffer: limits.memory_mb.map(|megabytes| {
                let bytes = (megabytes << 20) as f64 * RECEIVE_BUFFER_FRACTION;
                let each = bytes as u64 / callers as u64;
                Bytes::new(each.clamp(MIN_RECEIVE_BUFFER, MAX_RECEIVE_BUFFER))
            }),
        }
    }
}

/// Returns the resident memory of the process.
fn resident_bytes() -> std::io::Result<Bytes> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes =
        line.and_then(|line| line.trim().strip_suffix("kB")?.trim().parse::<u64>().ok());
    let kilobytes =
        kilobytes.ok_or_else(|| std::io::Error::other("no VmRSS in /proc/self/status"))?;
    Ok(Bytes::new(kilobytes << 10))
}
