//! The endpoint that callers reach: look-ups and requests.

use poem::{Endpoint, EndpointExt as _, Route};

use crate::daemon::Parts;

/// The endpoint that callers reach.
pub fn endpoint(parts: Parts) -> impl Endpoint {
    let path = parts.path.clone();
    Route::new().nest_no_strip("/", path).data(parts)
}
