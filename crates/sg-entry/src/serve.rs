//! The endpoint that callers reach: look-ups and requests.

use poem::{EndpointExt as _, Route, endpoint::BoxEndpoint, get};

use crate::{daemon::Parts, lookup, settings::Role};

/// The endpoint that callers reach, by the roles of the instance.
#[must_use]
pub fn endpoint(parts: Parts) -> BoxEndpoint<'static> {
    let mut route = Route::new();
    if parts.settings.does(Role::Lookup) {
        route = route.at(lookup::PATH, get(lookup::lookup));
    }
    if parts.settings.does(Role::Forward) {
        route = route.nest_no_strip("/", parts.path.clone());
    }
    route.data(parts).boxed()
}
