//! The way of one request through a target.

use std::sync::Arc;

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use poem::{Body, Endpoint, Request, Response, http::StatusCode};
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde::{Deserialize, Serialize};
use sg_types::time::Span;

use super::{
    Answers, Clock, Control, End, Header, POISON, POISON_DOWN, Report, Run, Shared, State,
    record::micros,
};
use crate::reply;

/// The largest body of a request, in bytes.
const BODY_LIMIT: usize = 16 << 20;

/// The largest answer that a caller may ask for, in bytes.
const ANSWER_LIMIT: usize = 16 << 20;

/// How long a call that asks for silence has for its own answer.
const SILENCE_PAUSE: Span = Span::from_millis(20);

/// How long a truncated answer waits between its half and its end, so that the half is sent.
const BREAK_PAUSE: Span = Span::from_millis(5);

/// The least and most that jitter multiplies the service time by.
const JITTER: std::ops::Range<f64> = 0.5..1.5;

/// The target's front.
pub(super) struct Front(pub(super) Arc<Shared>);

/// The answer of a target. Its caller checks that it is the answer to its own request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Answer {
    /// The request, from `Sg-Request-Id`.
    pub request: String,
    /// The target.
    pub target: String,
    /// The path with its query.
    pub path: String,
    /// The client account, from `Sg-Account`.
    pub account: Option<String>,
    /// Fills the answer up to the size that was asked for.
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

impl Endpoint for Front {
    type Output = Response;

    async fn call(&self, mut request: Request) -> poem::Result<Response> {
        let shared = &self.0;
        let response = match request.uri().path() {
            "/_control" => match reply::read(&mut request).await {
                Ok(control) => {
                    shared.control_by_call(&control);
                    reply::json(&control)
                }
                Err(error) => error.response(),
            },
            "/_records" => reply::json(&shared.records()),
            "/_clock" => reply::json(&Clock {
                now_us: micros(shared.timer.now()),
            }),
            "/health" => shared.health(),
            "/load" => shared.load(),
            _ => shared.until_closed(request).await,
        };
        Ok(response)
    }
}

/// A slot of the target; dropping it gives the slot back and notes the end of the run.
struct Work {
    shared: Arc<Shared>,
    place: Option<usize>,
    end: End,
}

impl Drop for Work {
    fn drop(&mut self) {
        let now = self.shared.timer.now();
        let mut state = self.shared.state.lock();
        state.in_flight -= 1;
        state.records.end(self.place, self.end, now);
    }
}

/// Why a target does not run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Refused {
    Leaving,
    Shed,
    BodyIncomplete,
}

impl Refused {
    /// Why the target takes no new request now, if it doesn't.
    fn now(state: &State) -> Option<Self> {
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
    /// Changes the behaviour; lets the answer to the call itself out before a silence.
    fn control_by_call(self: &Arc<Self>, control: &Control) {
        self.control(&Control {
            silence: false,
            ..control.clone()
        });
        if control.silence {
            let shared = self.clone();
            tokio::spawn(async move {
                shared.timer.sleep(SILENCE_PAUSE).await;
                shared.switch.silence();
            });
        }
    }

    /// Works on a request until its caller goes away.
    async fn until_closed(self: &Arc<Self>, request: Request) -> Response {
        let Some(peer) = request.remote_addr().as_socket_addr().copied() else {
            return self.work(request).await;
        };
        tokio::select! {
            response = self.work(request) => response,
            () = self.switch.closed(peer) => reply::status(StatusCode::SERVICE_UNAVAILABLE),
        }
    }

    async fn work(self: &Arc<Self>, mut request: Request) -> Response {
        let Ok(body) = request.take_body().into_bytes_limit(BODY_LIMIT).await else {
            let refused = Refused::BodyIncomplete;
            self.state.lock().records.refuse(refused.as_str());
            return refused.response();
        };
        let mut work = match self.take(&request) {
            Ok(work) => work,
            Err(refused) => return refused.response(),
        };
        if holds_poison(&body) {
            self.crash(POISON_DOWN);
            return std::future::pending().await;
        }
        let (span, answers, late) = self.plan(&request);
        self.timer.sleep(span).await;
        match answers {
            Answers::Late => self.timer.sleep(late).await,
            Answers::Silent => return std::future::pending().await,
            Answers::Whole | Answers::Truncated => {}
        }
        work.end = End::Answered;
        self.answer(&request, answers == Answers::Truncated)
    }

    /// Takes a slot and notes the run, or refuses the request as not run.
    fn take(self: &Arc<Self>, request: &Request) -> Result<Work, Refused> {
        let now = self.timer.now();
        let mut guard = self.state.lock();
        let state = &mut *guard;
        if let Some(refused) = Refused::now(state) {
            state.records.refuse(refused.as_str());
            if refused == Refused::Leaving {
                state.records.leaving_offers_us.push(micros(now));
            }
            return Err(refused);
        }
        state.in_flight += 1;
        let most = &mut state.records.most_in_flight;
        *most = (*most).max(u64::from(state.in_flight));
        let place = state.records.begin(run(request, micros(now)));
        drop(guard);
        Ok(Work {
            shared: self.clone(),
            place,
            end: End::Dropped,
        })
    }

    /// How long the request runs, and how its answer goes.
    fn plan(&self, request: &Request) -> (Span, Answers, Span) {
        let now = self.timer.now();
        let state = self.state.lock();
        let behaviour = &state.behaviour;
        let name = text(request, "Sg-Request-Id").unwrap_or_default();
        let jitter = jitter(self.options.seed, &name);
        let cold = self.cold_factor(&state, now);
        let span = behaviour.service_time.mul_f64(jitter * cold);
        (span, behaviour.answers, behaviour.late)
    }

    fn cold_factor(&self, state: &State, now: sg_types::time::Instant) -> f64 {
        let cold = state.behaviour.cold;
        if cold.span == Span::ZERO {
            return 1.0;
        }
        let warm = now.since(state.started).as_secs_f64() / cold.span.as_secs_f64();
        1.0 + (cold.factor - 1.0) * (1.0 - warm).max(0.0)
    }

    fn answer(&self, request: &Request, truncated: bool) -> Response {
        let mut answer = Answer {
            request: text(request, "Sg-Request-Id").unwrap_or_default(),
            target: self.options.name.to_string(),
            path: path(request),
            account: text(request, "Sg-Account"),
            fill: String::new(),
        };
        let bare = serde_json::to_vec(&answer).map_or(0, |text| text.len());
        answer.fill = "x".repeat(wanted_size(request).saturating_sub(bare));
        if truncated {
            return self.cut_short(&answer);
        }
        reply::json(&answer)
    }

    /// An answer that states its whole length and breaks off halfway.
    fn cut_short(&self, answer: &Answer) -> Response {
        let whole = serde_json::to_vec(answer).unwrap_or_default();
        let half = Bytes::copy_from_slice(&whole[..whole.len() / 2]);
        let timer = self.timer.clone();
        let broken = stream::once(async move {
            timer.sleep(BREAK_PAUSE).await;
            Err(std::io::Error::from(std::io::ErrorKind::ConnectionReset))
        });
        let parts = stream::iter([Ok(half)]).chain(broken);
        Response::builder()
            .content_type("application/json")
            .header("Content-Length", whole.len())
            .body(Body::from_bytes_stream(parts))
    }

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

    fn health(&self) -> Response {
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

    fn load(&self) -> Response {
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

fn holds_poison(body: &Bytes) -> bool {
    body.windows(POISON.len())
        .any(|part| part == POISON.as_bytes())
}

fn run(request: &Request, start_us: u64) -> Run {
    let headers = request.headers().iter().map(|(name, value)| Header {
        name: name.to_string(),
        value: String::from_utf8_lossy(value.as_bytes()).into_owned(),
    });
    Run {
        request: text(request, "Sg-Request-Id").unwrap_or_default(),
        ticket: text(request, "Idempotency-Key"),
        account: text(request, "Sg-Account"),
        method: request.method().to_string(),
        path: path(request),
        headers: headers.collect(),
        start_us,
        end_us: 0,
        end: End::Running,
    }
}

fn text(request: &Request, name: &str) -> Option<String> {
    request.header(name).map(str::to_owned)
}

fn path(request: &Request) -> String {
    let uri = request.uri();
    uri.path_and_query()
        .map_or_else(|| uri.path().to_owned(), ToString::to_string)
}

/// The `size` of the query, in bytes.
fn wanted_size(request: &Request) -> usize {
    let query = request.uri().query().unwrap_or_default();
    let size = query.split('&').find_map(|pair| pair.strip_prefix("size="));
    size.and_then(|size| size.parse().ok())
        .unwrap_or(0)
        .min(ANSWER_LIMIT)
}

/// The same for the same request and seed.
fn jitter(seed: u64, name: &str) -> f64 {
    let digest = name.bytes().fold(seed, |sum, byte| {
        sum.wrapping_mul(0x0100_0000_01b3) ^ u64::from(byte)
    });
    StdRng::seed_from_u64(digest).random_range(JITTER)
}
