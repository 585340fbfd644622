//! Explains where a request would go now, without sending it.

use http::{Request, request};
use sg_catalog::Catalog;
use sg_place::{
    estimate::Estimate,
    hash::Object,
    pool::{Choice, Rejection},
};
use sg_types::prelude::*;

use crate::{
    Core, Dialect,
    attempt::Call,
    content::Content,
    memory::{Segments, Use},
    price, query,
};

/// Time in which a request must end if neither the caller nor the route sets a limit, as in `serve`.
const DEFAULT_TIMEOUT: Span = Span::from_secs(30);
/// Largest number of targets that are explained.
const MAX_TARGETS: usize = 5;

/// A request to explain.
#[derive(Debug, Clone, Copy)]
pub struct Asked<'a> {
    /// Requested host.
    pub host: &'a str,
    /// Path of the request.
    pub path: &'a str,
    /// Name of the object that the request is about.
    pub object: Option<&'a str>,
    /// Client account of the request.
    pub account: Option<&'a str>,
}

/// Where a request would go now, and why.
#[derive(Debug, Clone)]
pub struct Explanation {
    /// Route of the request.
    pub route: id::Route,
    /// Client account of the request.
    pub account: Option<id::Account>,
    /// Priority of the request.
    pub priority: u32,
    /// Service that runs the request; of several, the one with the greatest weight.
    pub service: id::Service,
    /// Region that the plan names for the request.
    pub planned_region: Option<id::Region>,
    /// The best targets, the best first.
    pub targets: Vec<Estimate>,
    /// Fraction of the recent demand that is refused by price, where requests are refused by price.
    pub refused_fraction: Option<f64>,
    /// The chosen target, or the reason for the refusal.
    pub decision: Result<id::Target, &'static str>,
}

/// Explains the request `asked` by the present state, which is not changed. The request is taken to arrive
/// now, from a caller without a deadline, and to stay in the planned region while that has targets.
///
/// # Errors
/// Returns the reason if the request would be refused before a target is chosen.
pub fn explain<D: Dialect>(core: &Core<D>, asked: &Asked<'_>) -> Result<Explanation, Reason> {
    let catalog = core.catalog().ok_or(Reason::NoTree)?;
    let now = core.timer.now();
    let (head, ()) = Request::new(()).into_parts();
    let content = Content::complete(Segments::new(Arc::new(core.memory.hold(Use::Request))));
    let call = call(&head, catalog, asked, content, now)?;
    let services = call.route.services.iter();
    let heaviest = services.max_by_key(|weighted| weighted.weight);
    let service = heaviest.ok_or(Reason::NoRoute)?.service.clone();
    let state = core.state.lock();
    let query = query::build(core, &call, &service, &state, false, &[], now);
    let pool = state.pools.get(&service).ok_or(Reason::NoTarget)?;
    let (location, closed) = (&state.location, &state.closed_domains);
    let estimates = pool.estimates(&query, location, closed);
    // Without any usable target, the decision tells why.
    let (planned_region, mut targets) = estimates.unwrap_or_default();
    targets.truncate(MAX_TARGETS);
    let choice: Result<Choice, Rejection> = pool.choose(&query, location, closed);
    let known = state.prices.get(&service);
    let known = known.filter(|_| call.catalog.has_large_responses());
    let decision = match choice {
        Ok(choice) if !known.is_none_or(|known| price::allows(known, &call, &choice, now)) => {
            Err(price::PRICE)
        }
        Ok(choice) => Ok(choice.target.id),
        Err(rejection) => Err(query::refusal(rejection).reason.as_str()),
    };
    Ok(Explanation {
        route: call.route.name.clone(),
        account: call.account().cloned(),
        priority: call.priority(),
        service,
        planned_region,
        targets,
        refused_fraction: known.map(sg_dispatch::Price::refused_fraction),
        decision,
    })
}

/// Returns a call that stands for the request.
fn call<'a>(
    head: &'a request::Parts,
    catalog: Arc<Catalog>,
    asked: &Asked<'_>,
    content: Content,
    now: Instant,
) -> Result<Call<'a>, Reason> {
    let route = catalog.route(asked.host, asked.path);
    let route = route.ok_or(Reason::NoRoute)?.clone();
    let account = match asked.account {
        Some(name) => Some(catalog.accounts.get(name).ok_or(Reason::KeyRefused)?),
        None if route.allows_anonymous || catalog.accounts.is_empty() => None,
        None => return Err(Reason::KeyMissing),
    };
    let scope = route.path_prefix.as_ref();
    let object = asked.object.map(|name| Object::new(scope, name));
    Ok(Call {
        head,
        id: "".into(),
        content,
        object: object.filter(|_| route.session_affinity),
        fingerprint: Fingerprint::new(0),
        may_have_run: Arc::default(),
        placement_key: object.unwrap_or_else(|| Object::new(scope, "")),
        caller_deadline: None,
        deadline: now + route.timeout.unwrap_or(DEFAULT_TIMEOUT),
        account: account.cloned(),
        route,
        catalog,
    })
}
