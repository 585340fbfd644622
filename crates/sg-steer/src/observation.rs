//! What probes are to ask and what they saw.

use std::net::SocketAddr;

use sg_types::prelude::*;

use crate::health::Probed;

/// A target to ask for its health and load.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Probe {
    /// The service.
    pub service: id::Service,
    /// The target.
    pub target: id::Target,
    /// Where it listens.
    pub address: SocketAddr,
    /// How often to ask.
    pub interval: Span,
    /// How long to wait for an answer.
    pub timeout: Span,
}

/// What one probe saw of a target. The default is a target that did not answer.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Target {
    /// Whether the health endpoint answered that the target works.
    pub healthy: bool,
    /// Whether the target's address refused the connection: nothing listens there.
    pub refused: bool,
    /// Whether the target said that it takes no new work.
    pub leaving: bool,
    /// Whether the target said that its caches are cold.
    pub cold: bool,
    /// Requests that the target says it has in work, from all instances together.
    pub in_flight: Option<u32>,
    /// Requests that the target says it runs at once.
    pub slots: Option<u32>,
    /// The part of the target that it says is in use, from 0 to 1.
    pub utilization: Option<f64>,
}

impl Target {
    /// How the probe ended.
    pub(crate) const fn probed(&self) -> Probed {
        match self {
            Self { healthy: true, .. } | Self { leaving: true, .. } => Probed::Works,
            Self { refused: true, .. } => Probed::Refused,
            _ => Probed::Fails,
        }
    }
}
