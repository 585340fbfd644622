//! Checks a service's retry budget, and that the service has routes and targets.

use sg_types::prelude::*;

use super::service_path;
use crate::{Fault, setting, view::Service};

/// Largest retry budget without a warning: half of all requests.
const MAX_RETRY_BUDGET: Percent = Percent::from_ppm(500_000);

/// Returns the faults of `service`'s retry budget, routes and targets.
pub(super) fn check(service: &Service) -> Vec<Fault> {
    let mut faults = Vec::new();
    faults.extend(check_retry_budget(service));
    faults.extend(missing_routes(service));
    faults.extend(missing_targets(service));
    faults
}

fn check_retry_budget(service: &Service) -> Option<Fault> {
    let budget = service.retry_budget;
    (budget > MAX_RETRY_BUDGET).then(|| {
        Fault::warning(
            service_path(service).join(setting::RETRY_BUDGET.name),
            format!("{budget} allows retries to add over half to the load while targets fail"),
            format!("set it to {MAX_RETRY_BUDGET} or less"),
        )
    })
}

fn missing_routes(service: &Service) -> Option<Fault> {
    service.routes.is_empty().then(|| {
        Fault::warning(
            service_path(service).join("routes"),
            "the service has no route, so no request reaches it",
            "add a route, or remove the service",
        )
    })
}

fn missing_targets(service: &Service) -> Option<Fault> {
    service.targets.is_empty().then(|| {
        Fault::warning(
            service_path(service).join("targets"),
            "the service has no target, so every request for it is refused as 'no-target'",
            "add a target, or remove the service",
        )
    })
}
