//! Checks time settings that depend on each other.

use sg_types::prelude::*;

use super::service_path;
use crate::{Fault, Path, View, setting, view::Service};

/// Time for which a caller may go on using a lookup response after the response's caching time.
const LOOKUP_MARGIN: Span = Span::from_secs(1);
/// Shortest validity without a warning, long enough to outlast a short stall of the store.
const MIN_VALIDITY: Span = Span::from_secs(1);
/// Longest validity without a warning, which limits how long a withdrawn key may go on working.
const MAX_VALIDITY: Span = Span::from_secs(30);

/// Returns the faults of the fleet's time settings.
pub(super) fn check_fleet(view: &View) -> Vec<Fault> {
    let mut faults = Vec::new();
    faults.extend(check_drain_grace(view));
    faults.extend(check_validity(view.fleet.validity));
    faults
}

fn check_drain_grace(view: &View) -> Option<Fault> {
    let routes = view.services.values().flat_map(|service| &service.routes);
    let longest = routes.map(|route| route.deadline).max()?;
    let required_grace = LOOKUP_MARGIN + view.fleet.lookup_cache + longest;
    let grace = view.fleet.drain_grace;
    (grace < required_grace).then(|| {
        Fault::warning(
            fleet_path(&setting::DRAIN_GRACE),
            format!(
                "{grace} is shorter than {LOOKUP_MARGIN}, 'lookup-cache' ({}) and the longest \
                 deadline of a route ({longest}) together: a planned stop refuses or cuts off \
                 callers with a cached lookup response",
                view.fleet.lookup_cache
            ),
            format!("set it to {required_grace} or more, or lower 'lookup-cache' or the deadline"),
        )
    })
}

fn check_validity(validity: Span) -> Option<Fault> {
    let path = fleet_path(&setting::VALIDITY);
    if validity < MIN_VALIDITY {
        return Some(Fault::warning(
            path,
            format!(
                "{validity} is short: during a stall of the store all instances refuse keyed \
                 requests"
            ),
            format!("set it to {MIN_VALIDITY} or more"),
        ));
    }
    (validity > MAX_VALIDITY).then(|| {
        Fault::warning(
            path,
            format!(
                "{validity} is long: a withdrawn key keeps working that long at a disconnected \
                 instance"
            ),
            format!("set it to {MAX_VALIDITY} or less"),
        )
    })
}

fn fleet_path(setting: &setting::Spec) -> Path {
    Path::root().join("fleet").join(setting.name)
}

/// Returns the faults of `service`'s time settings.
pub(super) fn check_service(service: &Service) -> Vec<Fault> {
    let progress_timeout = service.progress_timeout;
    let short_routes = service
        .routes
        .iter()
        .filter(|route| route.deadline < progress_timeout);
    short_routes
        .map(|route| {
            let path = service_path(service).join("routes").join(&route.name);
            Fault::warning(
                path.join(setting::DEADLINE.name),
                format!(
                    "{} is shorter than 'progress-timeout' ({progress_timeout}): a silent \
                     connection can't be distinguished from a slow target",
                    route.deadline
                ),
                "raise the deadline, or lower 'progress-timeout' of the service",
            )
        })
        .collect()
}
