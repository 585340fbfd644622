//! Limits of a send.

use sg_types::prelude::*;

use super::TCP_USER_TIMEOUT;

/// Limits which idle connections a request may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReusePolicy {
    /// Maximum time for which the connection may have been idle.
    pub max_idle: Span,
}

impl ReusePolicy {
    /// Allows any connection that the target still keeps open.
    pub const ANY: Self = Self {
        max_idle: Span::from_secs(3_600),
    };
}

/// Time limits of a send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timeouts {
    /// Time to open a connection.
    pub connect: Span,
    /// Time for which the target may acknowledge nothing of what was sent, or answer no keepalive probe, before
    /// the kernel closes the connection.
    pub silence: Span,
}

impl Timeouts {
    /// Creates time limits that detect a dead connection early.
    #[must_use]
    pub fn with_connect(connect: Span) -> Self {
        Self {
            connect,
            silence: TCP_USER_TIMEOUT.into(),
        }
    }
}
