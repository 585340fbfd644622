//! Checks of a request's head that need no waiting and run before the body is read.

use http::{HeaderMap, Method, Uri, header};
use reqwest::Url;
use sg_tree::View;
use sg_types::prelude::*;

use crate::{
    admit, canonical,
    dependencies::{DependencySet, Freshness, TreeProvider},
    headers,
    key::{Holder, PresentedKey},
    reply::Refusal,
    settings::RouteSettings,
    shared::Shared,
    trace::Trace,
    upstream,
};

/// The head of a request that passed the checks.
#[derive(Debug)]
pub struct Head {
    /// The view that the head was checked against.
    pub view: Arc<View>,
    /// The settings of the request's route.
    pub settings: RouteSettings,
    /// The holder of the request's key; `None` on open routes.
    pub holder: Option<Holder>,
    /// The method.
    pub method: Method,
    /// The path and query.
    pub path: Arc<str>,
    /// The URL for a target; its host is set for each attempt.
    pub url: Url,
    /// The headers as received.
    pub headers: HeaderMap,
    /// The deadline of the request.
    pub deadline: Instant,
    /// Whether another instance relayed the request.
    pub is_relayed: bool,
}

/// The method and URI of a request.
#[derive(Debug)]
pub struct RequestLine {
    /// The method.
    pub method: Method,
    /// The path and query.
    pub uri: Uri,
}

/// Checks the head of a request that came directly from a caller.
///
/// # Errors
/// The reason for the refusal.
pub fn check_direct<P: DependencySet>(
    shared: &Shared<P>,
    line: RequestLine,
    headers: HeaderMap,
    trace: &mut Trace,
) -> Result<Box<Head>, Refusal> {
    let view = load_view(shared, trace)?;
    let settings = find_route(&view, &line, &headers, trace)?;
    let holder = find_holder(&view, &line, &headers, &settings)?;
    trace.set_holder(holder.as_ref());
    check_with_holder(shared, view, line, headers, settings, holder, trace.arrived)
}

/// Returns the view in force, and applies its concurrency limit.
pub fn load_view<P: DependencySet>(
    shared: &Shared<P>,
    trace: &mut Trace,
) -> Result<Arc<View>, Reason> {
    let view = shared.dependencies.tree().view().ok_or(Reason::NoTree)?;
    trace.revision = view.revision;
    shared.concurrency.resize(view.fleet.concurrency);
    Ok(view)
}

/// Returns the settings of the route that matches the request.
pub fn find_route(
    view: &View,
    line: &RequestLine,
    headers: &HeaderMap,
    trace: &mut Trace,
) -> Result<RouteSettings, Reason> {
    if headers::wire_size(headers) > view.fleet.header_limit.get() {
        return Err(Reason::HeadersTooLarge);
    }
    if matches!(line.method, Method::CONNECT | Method::TRACE) {
        return Err(Reason::Malformed);
    }
    let method = line.method.as_str();
    let path = canonical::path(line.uri.path()).ok_or(Reason::Malformed)?;
    let settings = RouteSettings::find(view, method, &path).ok_or(Reason::NoRoute)?;
    trace.set_route(&settings);
    Ok(settings)
}

fn find_holder(
    view: &View,
    line: &RequestLine,
    headers: &HeaderMap,
    settings: &RouteSettings,
) -> Result<Option<Holder>, Reason> {
    let presented = PresentedKey::from_headers(headers).map_err(|_| Reason::Malformed)?;
    let Some(presented) = presented else {
        return if settings.requires_key {
            Err(Reason::KeyMissing)
        } else {
            Ok(None)
        };
    };
    let holder = presented.holder(view);
    if presented.leaks(&line.uri, headers, holder.is_some()) {
        return Err(Reason::Malformed);
    }
    match (settings.requires_key, holder) {
        (true, None) => Err(Reason::KeyRefused),
        (true, holder) => Ok(holder),
        (false, _) => Ok(None),
    }
}

/// Runs the checks that follow once the key's holder is known.
///
/// # Errors
/// The reason for the refusal.
pub fn check_with_holder<P: DependencySet>(
    shared: &Shared<P>,
    view: Arc<View>,
    line: RequestLine,
    headers: HeaderMap,
    settings: RouteSettings,
    holder: Option<Holder>,
    arrived: Instant,
) -> Result<Box<Head>, Refusal> {
    if settings.requires_key && !shared.dependencies.freshness().is_fresh(shared.timer.now()) {
        return Err(Reason::Stale.into());
    }
    if settings.repeatable {
        admit::check_rate(shared, holder.as_ref())?;
    }
    let path = line.uri.path_and_query().ok_or(Reason::Malformed)?.as_str();
    let url = upstream::url(path).ok_or(Reason::Malformed)?;
    let content_length = headers::parse_number(&headers, &header::CONTENT_LENGTH);
    if content_length.is_some_and(|content_length| content_length > settings.body_limit.get()) {
        return Err(Reason::BodyTooLarge.into());
    }
    let requested = headers::parse_number(&headers, &headers::DEADLINE).map(Span::from_millis);
    let time_limit = requested.map_or(settings.deadline, |requested| {
        requested.min(settings.deadline)
    });
    Ok(Box::new(Head {
        path: path.into(),
        view,
        holder,
        method: line.method,
        url,
        headers,
        deadline: arrived + time_limit,
        settings,
        is_relayed: false,
    }))
}
