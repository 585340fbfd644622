//! HTTP endpoint for callers: lookups and requests.

use poem::{
    Endpoint, EndpointExt as _, IntoResponse as _, Request, Response, endpoint::BoxEndpoint, get,
    http::StatusCode,
};

use crate::{
    daemon::{Components, RequestPath},
    lookup,
    settings::Role,
};

/// Returns the endpoint for callers, according to the roles of the instance.
#[must_use]
pub fn endpoint(components: Components) -> BoxEndpoint<'static> {
    let forwards = components.settings.has_role(Role::Forward);
    let looks_up = components.settings.has_role(Role::Lookup);
    let dispatcher = Dispatcher {
        request_path: forwards.then(|| components.request_path.clone()),
        lookup: looks_up.then(|| get(lookup::Endpoint::new(components))),
    };
    dispatcher.boxed()
}

/// Dispatches lookups and requests by the raw URL path. A router would reject paths that are not
/// valid UTF-8 by itself, without an outcome header.
struct Dispatcher<L> {
    lookup: Option<L>,
    request_path: Option<RequestPath>,
}

impl<L: Endpoint> Endpoint for Dispatcher<L> {
    type Output = Response;

    async fn call(&self, request: Request) -> poem::Result<Response> {
        match (&self.lookup, &self.request_path) {
            (Some(lookup), _) if request.uri().path() == lookup::PATH => {
                Ok(lookup.call(request).await?.into_response())
            }
            (_, Some(request_path)) => request_path.call(request).await,
            _ => Ok(StatusCode::NOT_FOUND.into()),
        }
    }
}
