//! The HTTP handler of a target.

use std::sync::Arc;

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use poem::{Body, Endpoint, Request, Response, http::StatusCode};
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde::{Deserialize, Serialize};
use sg_types::time::Span;

use super::{
    Clock, Control, End, Header, POISON, POISON_DOWN, Report, ResponseFault, Run, Shared, State,
    record::micros,
};
use crate::reply;

/// The largest body of a request, in bytes.
const BODY_LIMIT: usize = 16 << 20;

/// The largest response that a caller may ask for, in bytes.
const RESPONSE_LIMIT: usize = 16 << 20;

/// The delay before connections are silenced, so that the control call itself gets its response.
const SILENCE_DELAY: Span = Span::from_millis(20);

/// The delay between sending the first half of a truncated response and resetting the connection, so
/// that the half reaches the caller.
const TRUNCATION_DELAY: Span = Span::from_millis(5);

/// The range of the random multiplier of the service time.
const JITTER: std::ops::Range<f64> = 0.5..1.5;

/// The handler of all requests to a target.
pub(super) struct Handler(pub(super) Arc<Shared>);

/// The body of a target's response. The caller checks that the body belongs to its request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ResponseBody {
    /// The request id, from `Sg-Request-Id`.
    pub request: String,
    /// The name of the target.
    pub target: String,
    /// The path with its query.
    pub path: String,
    /// The client account, from `Sg-Account`.
    pub account: Option<String>,
    /// Padding up to the requested size.
    pub fill: String,
}

#[derive(Debug, Serialize)]
struct Load {
    application_utilization: f64,
    named_metrics: LoadMetrics,
}

#[derive(Debug, Serialize)]
struct LoadMetrics {
    in_flight: f64,
    slots: u32,
}

impl Endpoint for Handler {
    type Output = Response;

    async fn call(&self, mut request: Request) -> poem::Result<Response> {
        let shared = &self.0;
        let response = match request.uri().path() {
            "/_control" => match reply::read_json(&mut request).await {
                Ok(control) => {
                    shared.apply_control_call(&control);
                    reply::json(&control)
                }
                Err(error) => error.response(),
            },
            "/_records" => reply::json(&shared.records()),
            "/_clock" => reply::json(&Clock {
                now_us: micros(shared.timer.now()),
            }),
            "/health" => shared.health_response(),
            "/load" => shared.load_response(),
            _ => shared.handle_until_closed(request).await,
        };
        Ok(response)
    }
}

/// An occupied slot of the target; dropping it frees the slot and records the end of the run.
struct Slot {
    shared: Arc<Shared>,
    index: Option<usize>,
    end: End,
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now = self.shared.timer.now();
        let mut state = self.shared.state.lock();
        state.in_flight -= 1;
        state.records.record_end(self.index, self.end, now);
    }
}

/// The reason for which a target refuses a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Refusal {
    Leaving,
    Shed,
    BodyIncomplete,
}

impl Refusal {
    /// Returns the reason to refuse a new request in this state, if there is one.
    fn for_state(state: &State) -> Option<Self> {
        if state.behaviour.leaving {
            return Some(Self::Leaving);
        }
        let full = state.behaviour.shed || state.in_flight >= state.behaviour.slots;
        full.then_some(Self::Shed)
    }

    const fn as_str(self) -> &'static str {
        match self {
            Self::Leaving => "leaving",
            Self::Shed => "shed",
            Self::BodyIncomplete => "body-incomplete",
        }
    }

    fn response(self) -> Response {
        let status = match self {
            Self::BodyIncomplete => StatusCode::BAD_REQUEST,
            Self::Leaving | Self::Shed => StatusCode::SERVICE_UNAVAILABLE,
        };
        let mut response = Response::builder()
            .status(status)
            .header("Sg-Outcome", "not-run");
        if self == Self::Leaving {
            response = response.header("Sg-Leaving", "yes");
        }
        response.body(self.as_str())
    }
}

impl Shared {
    /// Applies a control call. A requested silence is delayed so that the call's own response is
    /// sent.
    fn apply_control_call(self: &Arc<Self>, control: &Control) {
        self.control(&Control {
            silence: false,
            ..control.clone()
        });
        if control.silence {
            let shared = self.clone();
            tokio::spawn(async move {
                shared.timer.sleep(SILENCE_DELAY).await;
                shared.switch.silence();
            });
        }
    }

    /// Handles a request until the response is ready or the caller disconnects.
    async fn handle_until_closed(self: &Arc<Self>, request: Request) -> Response {
        let Some(peer) = request.remote_addr().as_socket_addr().copied() else {
            return self.handle(request).await;
        };
        tokio::select! {
            response = self.handle(request) => response,
            () = self.switch.wait_closed(peer) => reply::status(StatusCode::SERVICE_UNAVAILABLE),
        }
    }

    async fn handle(self: &Arc<Self>, mut request: Request) -> Response {
        let Ok(body) = request.take_body().into_bytes_limit(BODY_LIMIT).await else {
            let refusal = Refusal::BodyIncomplete;
            self.state.lock().records.record_refusal(refusal.as_str());
            return refusal.response();
        };
        let mut slot = match self.acquire_slot(&request) {
            Ok(slot) => slot,
            Err(refusal) => return refusal.response(),
        };
        if contains_poison(&body) {
            self.crash(POISON_DOWN);
            return std::future::pending().await;
        }
        let (service_time, fault, late) = self.plan_response(&request);
        self.timer.sleep(service_time).await;
        match fault {
            ResponseFault::Late => self.timer.sleep(late).await,
            ResponseFault::Silent => return std::future::pending().await,
            ResponseFault::Whole | ResponseFault::Truncated => {}
        }
        slot.end = End::Answered;
        self.response(&request, fault == ResponseFault::Truncated)
    }

    /// Occupies a slot and records the run, or refuses the request as not run.
    fn acquire_slot(self: &Arc<Self>, request: &Request) -> Result<Slot, Refusal> {
        let now = self.timer.now();
        let mut guard = self.state.lock();
        let state = &mut *guard;
        if let Some(refusal) = Refusal::for_state(state) {
            state.records.record_refusal(refusal.as_str());
            if refusal == Refusal::Leaving {
                state.records.leaving_offers_us.push(micros(now));
            }
            return Err(refusal);
        }
        state.in_flight += 1;
        let peak = &mut state.records.most_in_flight;
        *peak = (*peak).max(u64::from(state.in_flight));
        let index = state.records.record_start(new_run(request, micros(now)));
        drop(guard);
        Ok(Slot {
            shared: self.clone(),
            index,
            end: End::Dropped,
        })
    }

    /// Returns the service time of the request, the response fault and the delay of late responses.
    fn plan_response(&self, request: &Request) -> (Span, ResponseFault, Span) {
        let now = self.timer.now();
        let state = self.state.lock();
        let behaviour = &state.behaviour;
        let request_id = header_text(request, "Sg-Request-Id").unwrap_or_default();
        let jitter = jitter(self.options.seed, &request_id);
        let cold = self.cold_factor(&state, now);
        let service_time = behaviour.service_time.mul_f64(jitter * cold);
        (service_time, behaviour.answers, behaviour.late)
    }

    /// Returns the cold start multiplier of the service time, which falls linearly to one.
    fn cold_factor(&self, state: &State, now: sg_types::time::Instant) -> f64 {
        let cold = state.behaviour.cold;
        if cold.span == Span::ZERO {
            return 1.0;
        }
        let warm_fraction = now.since(state.started).as_secs_f64() / cold.span.as_secs_f64();
        1.0 + (cold.factor - 1.0) * (1.0 - warm_fraction).max(0.0)
    }

    fn response(&self, request: &Request, truncated: bool) -> Response {
        let mut body = ResponseBody {
            request: header_text(request, "Sg-Request-Id").unwrap_or_default(),
            target: self.options.name.to_string(),
            path: path_and_query(request),
            account: header_text(request, "Sg-Account"),
            fill: String::new(),
        };
        let unpadded_len = serde_json::to_vec(&body).map_or(0, |text| text.len());
        body.fill = "x".repeat(requested_size(request).saturating_sub(unpadded_len));
        if truncated {
            return self.truncated_response(&body);
        }
        reply::json(&body)
    }

    /// Returns a response that states its full length and breaks off halfway.
    fn truncated_response(&self, body: &ResponseBody) -> Response {
        let complete = serde_json::to_vec(body).unwrap_or_default();
        let half = Bytes::copy_from_slice(&complete[..complete.len() / 2]);
        let timer = self.timer.clone();
        let reset = stream::once(async move {
            timer.sleep(TRUNCATION_DELAY).await;
            Err(std::io::Error::from(std::io::ErrorKind::ConnectionReset))
        });
        let parts = stream::iter([Ok(half)]).chain(reset);
        Response::builder()
            .content_type("application/json")
            .header("Content-Length", complete.len())
            .body(Body::from_bytes_stream(parts))
    }

    /// Returns the report, refreshed if it is older than the lag, and the current behaviour.
    fn report(&self) -> (Report, super::Behaviour) {
        let now = self.timer.now();
        let mut state = self.state.lock();
        if now.since(state.report.at) >= state.behaviour.lag {
            state.report = Report {
                at: now,
                in_flight: state.in_flight,
                healthy: !state.behaviour.leaving,
            };
        }
        (state.report, state.behaviour.clone())
    }

    fn health_response(&self) -> Response {
        let (report, behaviour) = self.report();
        let status = match behaviour.healthy.unwrap_or(report.healthy) {
            true => StatusCode::OK,
            false => StatusCode::SERVICE_UNAVAILABLE,
        };
        let mut response = Response::builder().status(status);
        if behaviour.leaving && behaviour.healthy.is_none() {
            response = response.header("Sg-Leaving", "yes");
        }
        response.finish()
    }

    fn load_response(&self) -> Response {
        let (report, behaviour) = self.report();
        let in_flight = f64::from(report.in_flight) * behaviour.lie;
        reply::json(&Load {
            application_utilization: in_flight / f64::from(behaviour.slots.max(1)),
            named_metrics: LoadMetrics {
                in_flight,
                slots: behaviour.slots,
            },
        })
    }
}

fn contains_poison(body: &Bytes) -> bool {
    body.windows(POISON.len())
        .any(|part| part == POISON.as_bytes())
}

fn new_run(request: &Request, start_us: u64) -> Run {
    let headers = request.headers().iter().map(|(name, value)| Header {
        name: name.to_string(),
        value: String::from_utf8_lossy(value.as_bytes()).into_owned(),
    });
    Run {
        request: header_text(request, "Sg-Request-Id").unwrap_or_default(),
        ticket: header_text(request, "Idempotency-Key"),
        account: header_text(request, "Sg-Account"),
        method: request.method().to_string(),
        path: path_and_query(request),
        headers: headers.collect(),
        start_us,
        end_us: 0,
        end: End::Running,
    }
}

fn header_text(request: &Request, name: &str) -> Option<String> {
    request.header(name).map(str::to_owned)
}

fn path_and_query(request: &Request) -> String {
    let uri = request.uri();
    uri.path_and_query()
        .map_or_else(|| uri.path().to_owned(), ToString::to_string)
}

/// Returns the requested `size` of the response from the query, in bytes.
fn requested_size(request: &Request) -> usize {
    let query = request.uri().query().unwrap_or_default();
    let size = query.split('&').find_map(|pair| pair.strip_prefix("size="));
    size.and_then(|size| size.parse().ok())
        .unwrap_or(0)
        .min(RESPONSE_LIMIT)
}

/// Returns the multiplier of the service time, which is the same for the same request and seed.
fn jitter(seed: u64, request_id: &str) -> f64 {
    let digest = request_id.bytes().fold(seed, |sum, byte| {
        sum.wrapping_mul(0x0100_0000_01b3) ^ u64::from(byte)
    });
    StdRng::seed_from_u64(digest).random_range(JITTER)
}
