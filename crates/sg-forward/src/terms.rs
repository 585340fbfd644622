//! What the tree says of one request: the settings of its service and route, copied out of the view.

use sg_tree::{
    View,
    view::{Access, Route, Service},
};
use sg_types::prelude::*;

/// The settings that hold for a request from its arrival to its answer.
#[derive(Debug, Clone)]
pub struct Terms {
    /// The service.
    pub service: id::Service,
    /// The route.
    pub route: id::Route,
    /// Whether the route wants a key.
    pub keyed: bool,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// How long the request may take.
    pub deadline: Span,
    /// The largest body of the request.
    pub body_limit: Bytes,
    /// How long the body may take to arrive.
    pub body_timeout: Span,
    /// The largest answer.
    pub answer_limit: Bytes,
    /// How long to wait for a connection.
    pub connect_timeout: Span,
    /// How long a connection may be silent.
    pub progress_timeout: Span,
    /// The most attempts.
    pub attempts: u32,
    /// How long a quarantine lasts.
    pub quarantine: Span,
}

impl Terms {
    /// The terms of a request for `path` by `method`; `None` if no route takes it.
    #[must_use]
    pub fn of(view: &View, method: &str, path: &str) -> Option<Self> {
        let (service, route) = view.route(method, path)?;
        Some(Self::new(service, route))
    }

    fn new(service: &Service, route: &Route) -> Self {
        Self {
            service: service.name.clone(),
            route: route.name.clone(),
            keyed: route.access == Access::Keyed,
            repeatable: route.repeatable,
            deadline: route.deadline,
            body_limit: route.body_limit,
            body_timeout: route.body_timeout,
            answer_limit: route.answer_limit,
            connect_timeout: service.connect_timeout,
            progress_timeout: service.progress_timeout,
            attempts: service.attempts,
            quarantine: service.quarantine,
        }
    }
}
