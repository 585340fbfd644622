//! The endpoint that callers reach: look-ups and requests.

use poem::{
    Endpoint, EndpointExt as _, IntoResponse as _, Request, Response, endpoint::BoxEndpoint, get,
    http::StatusCode,
};

use crate::{
    daemon::{Parts, Path},
    lookup,
    settings::Role,
};

/// The endpoint that callers reach, by the roles of the instance.
#[must_use]
pub fn endpoint(parts: Parts) -> BoxEndpoint<'static> {
    let forwards = parts.settings.does(Role::Forward);
    let looks_up = parts.settings.does(Role::Lookup);
    let front = Front {
        path: forwards.then(|| parts.path.clone()),
        lookup: looks_up.then(|| get(lookup::Endpoint::new(parts))),
    };
    front.boxed()
}

/// Tells look-ups from requests by the path as it was sent. A router would refuse paths that are no
/// text by itself, without an outcome.
struct Front<L> {
    lookup: Option<L>,
    path: Option<Path>,
}

impl<L: Endpoint> Endpoint for Front<L> {
    type Output = Response;

    async fn call(&self, request: Request) -> poem::Result<Response> {
        match (&self.lookup, &self.path) {
            (Some(lookup), _) if request.uri().path() == lookup::PATH => {
                Ok(lookup.call(request).await?.into_response())
            }
            (_, Some(path)) => path.call(request).await,
            _ => Ok(StatusCode::NOT_FOUND.into()),
        }
    }
}
