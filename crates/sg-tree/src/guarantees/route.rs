//! Checks for routes that match the same requests.

use crate::{
    Fault, View,
    view::{Route, Service},
};

use super::service_path;

/// Returns the faults of overlapping routes, over all services.
pub(super) fn check(view: &View) -> Vec<Fault> {
    let routes: Vec<(&Service, &Route)> = view
        .services
        .values()
        .flat_map(|service| service.routes.iter().map(move |route| (service, route)))
        .collect();
    let mut faults = Vec::new();
    for (index, later) in routes.iter().enumerate() {
        let earlier = routes[..index].iter();
        faults.extend(earlier.filter_map(|earlier| check_overlap(*earlier, *later)));
    }
    faults
}

fn check_overlap(earlier: (&Service, &Route), later: (&Service, &Route)) -> Option<Fault> {
    let (service, route) = later;
    if earlier.1.path != route.path {
        return None;
    }
    let path = service_path(service).join("routes").join(&route.name);
    let other = format!("'{}' of service '{}'", earlier.1.name, earlier.0.name);
    if earlier.1.method == route.method {
        return Some(Fault::error(
            path,
            format!("the route matches the same path and method as {other}"),
            "remove one of the two, or change its path or method",
        ));
    }
    earlier.1.method.overlaps(&route.method).then(|| {
        Fault::warning(
            path,
            format!("the route shares its path with {other}, and one of them matches any method"),
            "set a specific method on both routes",
        )
    })
}
