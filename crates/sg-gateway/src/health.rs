//! Sends health checks to targets whose state is uncertain.

use std::net::SocketAddr;

use http::{Request, Uri};
use http_body_util::{BodyExt, Limited};
use sg_place::Target;
use sg_proxy::{
    connections::{ReusePolicy, SendError, Timeouts},
    content::Outgoing,
};
use sg_store::Store;
use sg_types::prelude::*;
use tokio::task::JoinSet;

use crate::{Interpreter, Protocol, daemon::Context, ports::HealthReport};

/// The interval between two rounds of health checks.
const CHECK_INTERVAL: Span = Span::from_millis(500);
/// The time limit of a health check, including the time for which the check waits for a slot of the
/// target like any request. On a slow link the limit is longer.
const CHECK_TIMEOUT: Span = Span::from_millis(800);
/// The part of the time limit for connecting to the target.
const CONNECT_FRACTION: f64 = 0.75;
/// The largest body of a response to a health check. A longer one may have no end.
const MAX_BODY_BYTES: usize = 16 << 10;
/// The largest number of targets checked in one round.
const MAX_CHECKS: usize = 8;

/// Sends rounds of health checks until the future is dropped.
pub(crate) async fn run<D: Protocol, I: Interpreter, S: Store>(context: Arc<Context<D, I, S>>) {
    let mut ticks = context.timer.every(CHECK_INTERVAL);
    loop {
        ticks.tick().await;
        let unverified = context.core.targets_to_check(MAX_CHECKS);
        let checks = unverified.into_iter().map(|(target, path)| {
            let context = context.clone();
            tokio::spawn(async move { check(&context, &target, &path).await })
        });
        let checks: Vec<_> = checks.collect();
        check_reach(&context).await;
        for check in checks {
            if let Err(error) = check.await {
                log::warn!(error:% = error; "health check broke off");
            }
        }
    }
}

/// Finds out whether this instance still reaches any target, if it may have lost its paths to all of them.
/// Any response counts, also one that says that the target is unhealthy.
async fn check_reach<D: Protocol, I: Interpreter, S: Store>(context: &Arc<Context<D, I, S>>) {
    let targets = context.core.reach_checks();
    if targets.is_empty() {
        return;
    }
    let mut checks = JoinSet::new();
    for (target, path) in targets {
        let context = context.clone();
        checks.spawn(async move {
            let health = request_health(&context, target.address, &path).await;
            let is_reached = health.is_ok();
            if let Err(error) = health {
                context.core.record_failed_check(&target, error);
            }
            is_reached
        });
    }
    let mut is_reached = false;
    while let Some(check) = checks.join_next().await {
        is_reached |= matches!(check, Ok(true));
        if is_reached {
            break;
        }
    }
    context.core.record_reach_round(is_reached);
}

/// Checks one target and records the result. Ignores a response that does not arrive in time or comes
/// from another target.
async fn check<D: Protocol, I: Interpreter, S: Store>(
    context: &Context<D, I, S>,
    target: &Target,
    path: &str,
) {
    let sent_at = context.timer.now();
    let Ok(health) = request_health(context, target.address, path).await else {
        return;
    };
    context.core.record_reached();
    let is_expected_target = health
        .target
        .as_ref()
        .is_none_or(|responding| *responding == target.id);
    if !is_expected_target {
        log::info!(target_id:% = target.id, address:% = target.address; "address has another target");
        return;
    }
    let report = health.self_report;
    if report.rate_limit.is_some() {
        context
            .core
            .record_rate_limit(&target.id, report.rate_limit, sent_at);
    }
    context
        .core
        .record_health_check(target, health.healthy, health.cold_for, &report);
}

/// Sends one health check. Returns the error if the target can't be reached, and none if the response is late or
/// broken.
async fn request_health<D: Protocol, I: Interpreter, S: Store>(
    context: &Context<D, I, S>,
    address: SocketAddr,
    path: &str,
) -> Result<HealthReport, Option<SendError>> {
    let timeout = context.core.stretch(CHECK_TIMEOUT);
    let deadline = context.timer.now() + timeout;
    let request = health_request(context, address, path).ok_or(None)?;
    let connections = &context.core.connections;
    let exchange = async {
        let sent = connections.send(
            address,
            request,
            ReusePolicy {
                max_idle: Span::ZERO,
            },
            Timeouts::with_connect(timeout.mul_f64(CONNECT_FRACTION)),
            || true,
        );
        let (response, exchange) = sent.await.map_err(Some)?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, MAX_BODY_BYTES).collect().await;
        body.map_err(|_| None)?;
        connections.put_back(exchange, None);
        Ok(context.core.dialect.parse_health_check(&head))
    };
    let exchange = context.timer.until(deadline, exchange).await;
    exchange.unwrap_or(Err(None))
}

fn health_request<D: Protocol, I: Interpreter, S: Store>(
    context: &Context<D, I, S>,
    address: SocketAddr,
    path: &str,
) -> Option<Request<Outgoing>> {
    let mut request = Request::new(Outgoing::empty());
    *request.uri_mut() = path.parse::<Uri>().ok()?;
    *request.headers_mut() = context.core.dialect.health_check_headers();
    let host = http::HeaderValue::from_str(&address.to_string()).ok()?;
    request.headers_mut().insert(http::header::HOST, host);
    Some(request)
}
