//! The endpoint that callers reach: look-ups and requests.

use poem::{EndpointExt as _, Route, endpoint::BoxEndpoint, get};

use crate::{daemon::Parts, lookup, settings::Role};

/// The endpoint that callers reach, by the roles of the instance.
#[must_use]
pub fn endpoint(parts: Parts) -> BoxEndpoint<'static> {
    let mut route = Route::new();
    // Endpoints hold what they need: data of the route would be cloned for each request.
    if parts.settings.does(Role::Lookup) {
        route = route.at(lookup::PATH, get(lookup::Endpoint::new(parts.clone())));
    }
    if parts.settings.does(Role::Forward) {
        route = route.nest_no_strip("/", parts.path);
    }
    route.boxed()
}
