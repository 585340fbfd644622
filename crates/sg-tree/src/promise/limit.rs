//! Limits of a service, and parts that it lacks.

use sg_types::prelude::*;

use super::service_path;
use crate::{Fault, setting, view::Service};

/// Half of all requests, in millionths.
const RETRY_BUDGET_MOST: Percent = Percent::from_ppm(500_000);

/// The faults of the limits of `service`.
pub(super) fn check(service: &Service) -> Vec<Fault> {
    let mut faults = Vec::new();
    faults.extend(retry_budget(service));
    faults.extend(without_routes(service));
    faults.extend(without_targets(service));
    faults
}

fn retry_budget(service: &Service) -> Option<Fault> {
    let budget = service.retry_budget;
    (budget > RETRY_BUDGET_MOST).then(|| {
        Fault::warning(
            service_path(service).join(setting::RETRY_BUDGET.name),
            format!("{budget} lets retries add over half to the load while targets fail"),
            format!("set it to {RETRY_BUDGET_MOST} or less"),
        )
    })
}

fn without_routes(service: &Service) -> Option<Fault> {
    service.routes.is_empty().then(|| {
        Fault::warning(
            service_path(service).join("routes"),
            "the service has no route, so that no request reaches it",
            "add a route, or remove the service",
        )
    })
}

fn without_targets(service: &Service) -> Option<Fault> {
    service.targets.is_empty().then(|| {
        Fault::warning(
            service_path(service).join("targets"),
            "the service has no target, so that each of its requests is refused as 'no-target'",
            "add a target, or remove the service",
        )
    })
}
