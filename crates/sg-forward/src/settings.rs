//! The settings of a request's service and route, copied out of the view.

use sg_tree::{
    View,
    view::{Access, Route, Service},
};
use sg_types::prelude::*;

/// The settings that apply to a request from its arrival to its reply.
#[derive(Debug, Clone)]
pub struct RouteSettings {
    /// The service.
    pub service: id::Service,
    /// The route.
    pub route: id::Route,
    /// Whether the route requires a key.
    pub requires_key: bool,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// The time limit for the request.
    pub deadline: Span,
    /// The largest request body.
    pub body_limit: Bytes,
    /// The time limit for receiving the body.
    pub body_timeout: Span,
    /// The largest response.
    pub response_limit: Bytes,
    /// The time limit for establishing a connection.
    pub connect_timeout: Span,
    /// The longest allowed silence on a connection.
    pub progress_timeout: Span,
    /// The largest number of attempts.
    pub max_attempts: u32,
    /// The duration of a quarantine.
    pub quarantine_duration: Span,
}

impl RouteSettings {
    /// Returns the settings for a request for `path` by `method`; `None` if no route matches.
    #[must_use]
    pub fn find(view: &View, method: &str, path: &str) -> Option<Self> {
        let (service, route) = view.route(method, path)?;
        Some(Self::new(service, route))
    }

    fn new(service: &Service, route: &Route) -> Self {
        Self {
            service: service.name.clone(),
            route: route.name.clone(),
            requires_key: route.access == Access::Keyed,
            repeatable: route.repeatable,
            deadline: route.deadline,
            body_limit: route.body_limit,
            body_timeout: route.body_timeout,
            response_limit: route.answer_limit,
            connect_timeout: service.connect_timeout,
            progress_timeout: service.progress_timeout,
            max_attempts: service.attempts,
            quarantine_duration: service.quarantine,
        }
    }
}
