//! The endpoint that operators reach.

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

use crate::{daemon::Parts, positions};

/// The endpoint that operators reach.
#[must_use]
pub fn endpoint(parts: Parts) -> BoxEndpoint<'static> {
    Route::new()
        .at("/metrics", get(metrics))
        .at("/status", get(status))
        .at("/report", get(report))
        .at(positions::PATH, get(splits))
        .at("/explain/:revision", get(explain))
        .at("/why/:request", get(why))
        .data(parts)
        .boxed()
}

#[handler]
fn metrics(parts: Data<&Parts>) -> Response {
    let encoder = TextEncoder::new();
    let mut text = Vec::new();
    match encoder.encode(&parts.registry.gather(), &mut text) {
        Ok(()) => Response::builder()
            .content_type(encoder.format_type())
            .body(text),
        Err(error) => {
            log::warn!("the counters can't be written: {error}");
            StatusCode::INTERNAL_SERVER_ERROR.into_response()
        }
    }
}

#[handler]
fn status(parts: Data<&Parts>) -> Response {
    Json(state::of(&parts)).into_response()
}

/// Everything that the parts report, for a close look.
#[handler]
fn report(parts: Data<&Parts>) -> Response {
    Json(state::Report::of(&parts)).into_response()
}

/// The splits in force, for instances that start.
#[handler]
fn splits(parts: Data<&Parts>) -> Response {
    if !parts.ready.is_ready() {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    Json(parts.steer.positions()).into_response()
}

#[handler]
fn explain(parts: Data<&Parts>, revision: poem::Result<Path<String>>) -> Response {
    let Some(revision) = read::<Revision>(revision) else {
        let text = "that is no revision; ask like /explain/12";
        return text.with_status(StatusCode::BAD_REQUEST).into_response();
    };
    let now = parts.timer.now();
    let counts = parts.path.counts();
    match parts.evidence.explain(revision, &counts, now) {
        Some(evidence) => Json(evidence).into_response(),
        None => unknown("this run doesn't know that revision, or no longer; ask other instances"),
    }
}

#[handler]
fn why(parts: Data<&Parts>, request: poem::Result<Path<String>>) -> Response {
    let Some(request) = read::<id::Request>(request) else {
        let text = "that is no request's id; take it from Sg-Request-Id";
        return text.with_status(StatusCode::BAD_REQUEST).into_response();
    };
    match parts.path.why(&request) {
        Some(record) => Json(record).into_response(),
        None => unknown("this run doesn't know that request, or no longer; ask other instances"),
    }
}

/// The value in a path; `None` if it is none, or no text at all.
fn read<T: FromStr>(part: poem::Result<Path<String>>) -> Option<T> {
    part.ok()?.parse().ok()
}

fn unknown(text: &'static str) -> Response {
    text.with_status(StatusCode::NOT_FOUND).into_response()
}
