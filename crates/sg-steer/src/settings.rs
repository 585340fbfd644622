//! Settings of a service that the steering decisions use.

use sg_tree::view;
use sg_types::prelude::*;

use crate::shift::Limits;

/// Settings of one service.
#[derive(Debug, Clone)]
pub(crate) struct Settings {
    /// Age at which probes and load reports no longer count.
    pub(crate) stale_after: Span,
    pub(crate) slow_start: Span,
    /// Usual time that a target takes for a request.
    pub(crate) service_time: Span,
    pub(crate) probe_interval: Span,
    pub(crate) probe_timeout: Span,
    /// Maximum number of connections to a target from all instances together.
    pub(crate) max_connections: u32,
    /// Usual size of a response.
    pub(crate) response_size: Bytes,
    pub(crate) ejection_cap: Percent,
    pub(crate) retry_budget: Percent,
    pub(crate) headroom: Percent,
    pub(crate) shift_limits: Limits,
    /// Number of instances that share a target.
    pub(crate) instances: u32,
}

impl Settings {
    pub(crate) fn new(service: &view::Service, instances: u32) -> Self {
        Self {
            stale_after: service.load_stale,
            slow_start: service.slow_start,
            service_time: service.service_time,
            probe_interval: service.probe_interval,
            probe_timeout: service.connect_timeout,
            max_connections: service.connections,
            response_size: service.answer_size,
            ejection_cap: service.ejection_cap,
            retry_budget: service.retry_budget,
            headroom: service.headroom,
            shift_limits: Limits {
                cap: service.shift_cap,
                interval: service.shift_interval,
            },
            instances: instances.max(1),
        }
    }

    /// Returns the requests per second that `slots` slots serve, less the headroom.
    pub(crate) fn capacity(&self, slots: u32) -> Rate {
        let seconds = self.service_time.as_secs_f64().max(f64::EPSILON);
        let usable_fraction = 1.0 - self.headroom.as_f64();
        let micros = f64::from(slots) / seconds * usable_fraction * rate::MICRO as f64;
        Rate::from_micros(micros as u64)
    }
}
