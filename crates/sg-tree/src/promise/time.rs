//! Times that have to fit each other.

use sg_types::prelude::*;

use super::service_path;
use crate::{Fault, Path, View, setting, view::Service};

/// What an answered look-up adds to its caching time before it is used up.
const LOOKUP_MARGIN: Span = Span::from_secs(1);
/// The least validity that a short stall of the store does not use up.
const VALIDITY_LEAST: Span = Span::from_secs(1);
/// The most that a withdrawn key may go on working.
const VALIDITY_MOST: Span = Span::from_secs(30);

/// The faults of the fleet's times.
pub(super) fn fleet(view: &View) -> Vec<Fault> {
    let mut faults = Vec::new();
    faults.extend(drain_grace(view));
    faults.extend(validity(view.fleet.validity));
    faults
}

fn drain_grace(view: &View) -> Option<Fault> {
    let routes = view.services.values().flat_map(|service| &service.routes);
    let longest = routes.map(|route| route.deadline).max()?;
    let needed = LOOKUP_MARGIN + view.fleet.lookup_cache + longest;
    let grace = view.fleet.drain_grace;
    (grace < needed).then(|| {
        Fault::warning(
            fleet_path(&setting::DRAIN_GRACE),
            format!(
                "{grace} is shorter than {LOOKUP_MARGIN}, 'lookup-cache' ({}) and the longest \
                 deadline of a route ({longest}) together: a planned stop refuses or cuts off \
                 callers with a cached answer",
                view.fleet.lookup_cache
            ),
            format!("set it to {needed} or more, or lower 'lookup-cache' or the deadline"),
        )
    })
}

fn validity(validity: Span) -> Option<Fault> {
    let path = fleet_path(&setting::VALIDITY);
    if validity < VALIDITY_LEAST {
        return Some(Fault::warning(
            path,
            format!("{validity} is short: a stall of the store fences the whole fleet"),
            format!("set it to {VALIDITY_LEAST} or more"),
        ));
    }
    (validity > VALIDITY_MOST).then(|| {
        Fault::warning(
            path,
            format!("{validity} is long: a withdrawn key works that long where nobody is heard"),
            format!("set it to {VALIDITY_MOST} or less"),
        )
    })
}

fn fleet_path(setting: &setting::Spec) -> Path {
    Path::root().join("fleet").join(setting.name)
}

/// The faults of the times of `service`.
pub(super) fn service(service: &Service) -> Vec<Fault> {
    let silent = service.progress_timeout;
    let short = service
        .routes
        .iter()
        .filter(|route| route.deadline < silent);
    short
        .map(|route| {
            let path = service_path(service).join("routes").join(&route.name);
            Fault::warning(
                path.join(setting::DEADLINE.name),
                format!(
                    "{} is shorter than 'progress-timeout' ({silent}): a silent connection is \
                     never told from a slow target",
                    route.deadline
                ),
                "raise the deadline, or lower 'progress-timeout' of the service",
            )
        })
        .collect()
}
