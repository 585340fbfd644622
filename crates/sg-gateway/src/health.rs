//! Sends health checks to targets whose state is uncertain.

use std::net::SocketAddr;

use http::{Request, Uri};
use http_body_util::{BodyExt, Limited};
use sg_place::Target;
use sg_proxy::{connections::ReusePolicy, content::Outgoing};
use sg_store::Store;
use sg_types::prelude::*;
use tokio::task::JoinSet;

use crate::{Interpreter, Protocol, daemon::Context, ports::HealthReport};

/// The interval between two rounds of health checks.
const CHECK_INTERVAL: Span = Span::from_millis(500);
/// The time limit of a health check, including the time for which the check waits for a slot of the
/// target like any request.
const CHECK_TIMEOUT: Span = Span::from_millis(800);
/// The time limit for connecting to a target.
const CONNECT_TIMEOUT: Span = Span::from_millis(300);
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
    for (_, address, path) in targets {
        let context = context.clone();
        checks.spawn(async move {
            let deadline = context.timer.now() + CHECK_TIMEOUT;
            let exchange = request_health(&context, address, &path);
            matches!(context.timer.until(deadline, exchange).await, Ok(Some(_)))
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
    let exchange = request_health(context, target.address, path);
    let result = context
        .timer
        .until(context.timer.now() + CHECK_TIMEOUT, exchange)
        .await;
    let Ok(Some(health)) = result else {
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

/// Sends one health check; `None` if the target can't be reached or does not respond.
async fn request_health<D: Protocol, I: Interpreter, S: Store>(
    context: &Context<D, I, S>,
    address: SocketAddr,
    path: &str,
) -> Option<HealthReport> {
    let mut request = Request::new(Outgoing::empty());
    *request.uri_mut() = path.parse::<Uri>().ok()?;
    *request.headers_mut() = context.core.dialect.health_check_headers();
    let host = http::HeaderValue::from_str(&address.to_string()).ok()?;
    request.headers_mut().insert(http::header::HOST, host);
    let connections = &context.core.connections;
    let (response, exchange) = connections
        .send(
            address,
            request,
            ReusePolicy {
                max_idle: Span::ZERO,
            },
            CONNECT_TIMEOUT,
            || true,
        )
        .await
        .ok()?;
    let (head, body) = response.into_parts();
    Limited::new(body, MAX_BODY_BYTES).collect().await.ok()?;
    connections.put_back(exchange, None);
    Some(context.core.dialect.parse_health_check(&head))
}
