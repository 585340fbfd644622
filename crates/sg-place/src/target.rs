//! Description of a target, as the target announces it.

use std::net::SocketAddr;

use sg_types::prelude::*;

/// A server that runs requests of one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Name of the target.
    pub id: id::Target,
    /// Service that the target runs.
    pub service: id::Service,
    /// Address on which the target listens.
    pub address: SocketAddr,
    /// Failure domain of the target.
    pub domain: id::Domain,
    /// Region of the target.
    pub region: id::Region,
    /// Requests that the target can run at once.
    pub slots: u32,
    /// Whether the target takes no new requests.
    pub draining: bool,
    /// Start time of the target's process, in milliseconds since the epoch by its own clock.
    pub started_at_millis: u64,
    /// Number of the target's announcement since its start; an announcement with a lower number is
    /// out of date.
    pub sequence: u64,
    /// Time for which the target says it stays cold.
    pub cold_for: Span,
}
