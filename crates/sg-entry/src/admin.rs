//! HTTP endpoint for operators.

#![expect(
    clippy::needless_pass_by_value,
    reason = "extractors are handed over by value"
)]

mod state;

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

use crate::{daemon::Components, positions};

/// Returns the routes that the admin address serves.
#[must_use]
pub fn endpoint(components: Components) -> BoxEndpoint<'static> {
    Route::new()
        .at("/metrics", get(metrics))
        .at("/status", get(status))
        .at("/report", get(report))
        .at(positions::PATH, get(splits))
        .at("/explain/:revision", get(explain))
        .at("/why/:request", get(why))
        .data(components)
        .boxed()
}

#[handler]
fn metrics(components: Data<&Components>) -> Response {
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
fn status(components: Data<&Components>) -> Response {
    Json(state::instance_status(&components)).into_response()
}

/// Serves the detailed reports of all components.
#[handler]
fn report(components: Data<&Components>) -> Response {
    Json(state::Report::of(&components)).into_response()
}

/// Serves the splits in force, which starting instances adopt.
#[handler]
fn splits(components: Data<&Components>) -> Response {
    if !components.ready.is_ready() {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    Json(components.steer.service_splits()).into_response()
}

#[handler]
fn explain(components: Data<&Components>, revision: poem::Result<Path<String>>) -> Response {
    let Some(revision) = parse_segment::<Revision>(revision) else {
        let text = "that is no revision; ask like /explain/12";
        return text.with_status(StatusCode::BAD_REQUEST).into_response();
    };
    let now = components.timer.now();
    let counts = components.path.counters();
    match components.evidence.explain(revision, &counts, now) {
        Some(evidence) => Json(evidence).into_response(),
        None => not_found("this run doesn't know that revision, or no longer; ask other instances"),
    }
}

#[handler]
fn why(components: Data<&Components>, request: poem::Result<Path<String>>) -> Response {
    let Some(request) = parse_segment::<id::Request>(request) else {
        let text = "that is no request's id; take it from Sg-Request-Id";
        return text.with_status(StatusCode::BAD_REQUEST).into_response();
    };
    match components.path.find_record(&request) {
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
