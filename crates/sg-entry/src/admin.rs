//! HTTP endpoint for operators.

#![expect(
    clippy::needless_pass_by_value,
    reason = "poem passes extractors by value"
)]

mod status;

use std::str::FromStr;

use poem::{
    EndpointExt as _, IntoResponse as _, Response, Route,
    endpoint::BoxEndpoint,
    get, handler,
    http::StatusCode,
    web::{Data, Json, Path},
};
use prometheus::{Encoder as _, TextEncoder};
use sg_types::prelude::*;

use crate::{daemon::Components, splits};

/// Returns the endpoint of the admin address.
#[must_use]
pub fn endpoint(components: Components) -> BoxEndpoint<'static> {
    Route::new()
        .at("/metrics", get(serve_metrics))
        .at("/status", get(serve_status))
        .at("/report", get(serve_report))
        .at(splits::PATH, get(serve_splits))
        .at("/explain/:revision", get(serve_evidence))
        .at("/why/:request", get(serve_request_record))
        .data(components)
        .boxed()
}

#[handler]
fn serve_metrics(components: Data<&Components>) -> Response {
    let encoder = TextEncoder::new();
    let mut text = Vec::new();
    match encoder.encode(&components.registry.gather(), &mut text) {
        Ok(()) => Response::builder()
            .content_type(encoder.format_type())
            .body(text),
        Err(error) => {
            log::warn!("the metrics can't be encoded: {error}");
            StatusCode::INTERNAL_SERVER_ERROR.into_response()
        }
    }
}

#[handler]
fn serve_status(components: Data<&Components>) -> Response {
    Json(status::instance_status(&components)).into_response()
}

/// Serves the detailed reports of all components.
#[handler]
fn serve_report(components: Data<&Components>) -> Response {
    Json(status::Report::of(&components)).into_response()
}

/// Serves the splits in force, which starting instances adopt.
#[handler]
fn serve_splits(components: Data<&Components>) -> Response {
    if !components.ready.is_ready() {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    Json(components.steering.service_splits()).into_response()
}

/// Serves the counters before and after a change of revision.
#[handler]
fn serve_evidence(components: Data<&Components>, revision: poem::Result<Path<String>>) -> Response {
    let Some(revision) = parse_segment::<Revision>(revision) else {
        let text = "that is no revision; ask like /explain/12";
        return text.with_status(StatusCode::BAD_REQUEST).into_response();
    };
    let now = components.timer.now();
    let counts = components.request_path.counters();
    match components.evidence.explain(revision, &counts, now) {
        Some(evidence) => Json(evidence).into_response(),
        None => not_found("this run doesn't know that revision, or no longer; ask other instances"),
    }
}

/// Serves the record of one request.
#[handler]
fn serve_request_record(
    components: Data<&Components>,
    request: poem::Result<Path<String>>,
) -> Response {
    let Some(request) = parse_segment::<id::Request>(request) else {
        let text = "that is no request's id; take it from Sg-Request-Id";
        return text.with_status(StatusCode::BAD_REQUEST).into_response();
    };
    match components.request_path.find_record(&request) {
        Some(record) => Json(record).into_response(),
        None => not_found("this run doesn't know that request, or no longer; ask other instances"),
    }
}

/// Parses a path segment. Returns `None` if the segment is not valid UTF-8 or not a valid value.
fn parse_segment<T: FromStr>(segment: poem::Result<Path<String>>) -> Option<T> {
    segment.ok()?.parse().ok()
}

fn not_found(text: &'static str) -> Response {
    text.with_status(StatusCode::NOT_FOUND).into_response()
}
