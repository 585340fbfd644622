//! Targets to probe and the results of probes.

use std::net::SocketAddr;

use sg_types::prelude::*;

use crate::health::ProbeResult;

/// A target to probe for its health and load.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Probe {
    /// The service.
    pub service: id::Service,
    /// The target.
    pub target: id::Target,
    /// The address that the target listens on.
    pub address: SocketAddr,
    /// Time between probes.
    pub interval: Span,
    /// Time to wait for a response.
    pub timeout: Span,
}

/// Result of one probe of a target. The default stands for a probe without a response.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Observation {
    /// Whether the health endpoint reported that the target works.
    pub healthy: bool,
    /// Whether the target's address refused the connection, which means that nothing listens there.
    pub refused: bool,
    /// Whether the target announced that it accepts no new work.
    pub leaving: bool,
    /// Whether the target reported that its caches are cold.
    pub cold: bool,
    /// Reported number of requests in flight on the target, from all instances together.
    pub in_flight: Option<u32>,
    /// Reported maximum number of concurrent requests of the target.
    pub slots: Option<u32>,
    /// Reported utilization of the target, from 0 to 1.
    pub utilization: Option<f64>,
}

impl Observation {
    /// Returns the probe's result for the health of the target.
    pub(crate) const fn probe_result(&self) -> ProbeResult {
        match self {
            Self { healthy: true, .. } | Self { leaving: true, .. } => ProbeResult::Healthy,
            Self { refused: true, .. } => ProbeResult::Refused,
            _ => ProbeResult::Unhealthy,
        }
    }
}
