//! Routes that take the same requests.

use crate::{
    Fault, View,
    view::{Route, Service},
};

use super::service_path;

/// The faults of routes that overlap, over all services.
pub(super) fn check(view: &View) -> Vec<Fault> {
    let routes: Vec<(&Service, &Route)> = view
        .services
        .values()
        .flat_map(|service| service.routes.iter().map(move |route| (service, route)))
        .collect();
    let mut faults = Vec::new();
    for (index, later) in routes.iter().enumerate() {
        let earlier = routes[..index].iter();
        faults.extend(earlier.filter_map(|earlier| overlap(*earlier, *later)));
    }
    faults
}

fn overlap(earlier: (&Service, &Route), later: (&Service, &Route)) -> Option<Fault> {
    let (service, route) = later;
    if earlier.1.path != route.path {
        return None;
    }
    let path = service_path(service).join("routes").join(&route.name);
    let other = format!("'{}' of service '{}'", earlier.1.name, earlier.0.name);
    if earlier.1.method == route.method {
        return Some(Fault::error(
            path,
            format!("the route takes the same path and method as {other}"),
            "remove one of the two, or change its path or method",
        ));
    }
    earlier.1.method.overlaps(&route.method).then(|| {
        Fault::warning(
            path,
            format!("the route shares its path with {other}, and one of them takes any method"),
            "name the methods of both routes",
        )
    })
}
