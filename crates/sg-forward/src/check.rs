//! Checks that need no waiting, made before anything of the body is read.

use http::{HeaderMap, Method, Uri, header};
use reqwest::Url;
use sg_tree::View;
use sg_types::prelude::*;

use crate::{
    admit, canonical,
    gate::{Freshness, Parts, Tree},
    headers,
    key::{Holder, Presented},
    reply::Refused,
    shared::Shared,
    terms::Terms,
    trace::Trace,
    upstream,
};

/// The head of a request that passed.
#[derive(Debug)]
pub struct Head {
    /// The tree that it was checked under.
    pub view: Arc<View>,
    /// What the tree says of it.
    pub terms: Terms,
    /// Whose key came with it; `None` on open routes.
    pub holder: Option<Holder>,
    /// The method.
    pub method: Method,
    /// The path and query.
    pub path: Arc<str>,
    /// The URL that a target gets, without its host.
    pub url: Url,
    /// The headers as they came.
    pub headers: HeaderMap,
    /// When the answer is of no more use.
    pub deadline: Instant,
    /// Whether another instance passed it on.
    pub relayed: bool,
}

/// What a request is, before it is known whose.
#[derive(Debug)]
pub struct Line {
    /// The method.
    pub method: Method,
    /// The path and query.
    pub uri: Uri,
}

/// Checks the head of a request that came from a caller.
///
/// # Errors
/// The reason of the refusal.
pub fn direct<P: Parts>(
    shared: &Shared<P>,
    line: Line,
    headers: HeaderMap,
    trace: &mut Trace,
) -> Result<Box<Head>, Refused> {
    let view = view(shared, trace)?;
    let terms = route(&view, &line, &headers, trace)?;
    let holder = holder(&view, &line, &headers, &terms)?;
    trace.holder(holder.as_ref());
    finish(shared, view, line, headers, terms, holder, trace.arrived)
}

/// The tree in force.
pub fn view<P: Parts>(shared: &Shared<P>, trace: &mut Trace) -> Result<Arc<View>, Reason> {
    let view = shared.gates.tree().view().ok_or(Reason::NoTree)?;
    trace.revision = view.revision;
    shared.limit.resize(view.fleet.concurrency);
    Ok(view)
}

/// The terms of the route that takes the request.
pub fn route(
    view: &View,
    line: &Line,
    headers: &HeaderMap,
    trace: &mut Trace,
) -> Result<Terms, Reason> {
    if headers::size(headers) > view.fleet.header_limit.get() {
        return Err(Reason::HeadersTooLarge);
    }
    if matches!(line.method, Method::CONNECT | Method::TRACE) {
        return Err(Reason::Malformed);
    }
    let method = line.method.as_str();
    let path = canonical::path(line.uri.path()).ok_or(Reason::Malformed)?;
    let terms = Terms::of(view, method, &path).ok_or(Reason::NoRoute)?;
    trace.route(&terms);
    Ok(terms)
}

fn holder(
    view: &View,
    line: &Line,
    headers: &HeaderMap,
    terms: &Terms,
) -> Result<Option<Holder>, Reason> {
    let presented = Presented::of(headers).map_err(|_| Reason::Malformed)?;
    let Some(presented) = presented else {
        return if terms.keyed {
            Err(Reason::KeyMissing)
        } else {
            Ok(None)
        };
    };
    let holder = presented.holder(view);
    if presented.leaks(&line.uri, headers, holder.is_some()) {
        return Err(Reason::Malformed);
    }
    match (terms.keyed, holder) {
        (true, None) => Err(Reason::KeyRefused),
        (true, holder) => Ok(holder),
        (false, _) => Ok(None),
    }
}

/// The checks that follow once it is known whose the request is.
///
/// # Errors
/// The reason of the refusal.
pub fn finish<P: Parts>(
    shared: &Shared<P>,
    view: Arc<View>,
    line: Line,
    headers: HeaderMap,
    terms: Terms,
    holder: Option<Holder>,
    arrived: Instant,
) -> Result<Box<Head>, Refused> {
    if terms.keyed && !shared.gates.freshness().is_fresh(shared.timer.now()) {
        return Err(Reason::Stale.into());
    }
    if terms.repeatable {
        admit::peek(shared, holder.as_ref())?;
    }
    let path = line.uri.path_and_query().ok_or(Reason::Malformed)?.as_str();
    let url = upstream::url(path).ok_or(Reason::Malformed)?;
    let length = headers::number(&headers, &header::CONTENT_LENGTH);
    if length.is_some_and(|length| length > terms.body_limit.get()) {
        return Err(Reason::BodyTooLarge.into());
    }
    let wanted = headers::number(&headers, &headers::DEADLINE).map(Span::from_millis);
    let allowed = wanted.map_or(terms.deadline, |wanted| wanted.min(terms.deadline));
    Ok(Box::new(Head {
        path: path.into(),
        view,
        holder,
        method: line.method,
        url,
        headers,
        deadline: arrived + allowed,
        terms,
        relayed: false,
    }))
}
