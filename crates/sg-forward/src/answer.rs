//! Receives a target's response: buffered if it is small, else as a stream.

use bytes::{Bytes as Content, BytesMut};
use http::{HeaderMap, Method, StatusCode, header};
use sg_clock::Timer;
use sg_types::prelude::*;

use crate::{headers, history::Step, memory::Held};

/// The largest response that is buffered until it is complete, in bytes.
pub const WHOLE_LIMIT: u64 = 256 * 1024;

/// A response that passed the checks.
#[derive(Debug)]
pub enum Answer {
    /// A complete response.
    Whole {
        /// The status.
        status: StatusCode,
        /// The headers as received.
        headers: HeaderMap,
        /// The body.
        body: Content,
    },
    /// The start of a large response.
    Part {
        /// The bytes received so far.
        first: Content,
        /// The rest of the response.
        rest: reqwest::Response,
    },
}

/// The limits on receiving a response.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// The largest allowed response.
    pub limit: Bytes,
    /// The longest allowed silence on the connection.
    pub progress: Span,
    /// The deadline of the request.
    pub deadline: Instant,
    /// Whether a response of unstated length may be passed on before it is complete.
    pub may_stream: bool,
}

/// Reads the response to a request of `method` until it is complete or larger than [`WHOLE_LIMIT`].
///
/// # Errors
/// The [`Step`] that the attempt failed with.
pub async fn take(
    timer: &Timer,
    mut response: reqwest::Response,
    method: &Method,
    request: &id::Request,
    bounds: Bounds,
    held: &mut Held,
) -> Result<Answer, Step> {
    check_head(&response, method, request, bounds)?;
    let may_stream = bounds.may_stream || stated_length(response.headers()).is_some();
    let mut body = Gathered::Empty;
    while let Some(part) = next(timer, &mut response, bounds).await? {
        let size = part.len() as u64;
        body.push(part);
        if body.len() > bounds.limit.get() {
            return Err(Step::Wrong);
        }
        let fits = held.grow(size) && body.len() <= WHOLE_LIMIT;
        if !fits && may_stream {
            let first = body.into_content();
            return Ok(Answer::Part {
                first,
                rest: response,
            });
        }
    }
    Ok(Answer::Whole {
        status: response.status(),
        headers: std::mem::take(response.headers_mut()),
        body: body.into_content(),
    })
}

/// Waits for the next chunk of a response; `None` if the framing proves that the response has
/// ended.
///
/// # Errors
/// [`Step::Cut`], [`Step::Silent`] or [`Step::Late`].
pub async fn next(
    timer: &Timer,
    response: &mut reqwest::Response,
    bounds: Bounds,
) -> Result<Option<Content>, Step> {
    let silent = timer.now() + bounds.progress;
    let until = silent.min(bounds.deadline);
    let part = std::pin::pin!(response.chunk());
    match timer.until(until, part).await {
        Ok(Ok(part)) => Ok(part),
        Ok(Err(_)) => Err(Step::Cut),
        Err(_) if until == bounds.deadline => Err(Step::Late),
        Err(_) => Err(Step::Silent),
    }
}

fn check_head(
    response: &reqwest::Response,
    method: &Method,
    request: &id::Request,
    bounds: Bounds,
) -> Result<(), Step> {
    let named = response.headers().get(headers::REQUEST_ID);
    if named.is_some_and(|name| name.as_bytes() != request.as_str().as_bytes()) {
        return Err(Step::Wrong);
    }
    if is_empty(response, method) {
        return Ok(());
    }
    match stated_length(response.headers()) {
        Some(length) if length > bounds.limit.get() => Err(Step::Wrong),
        Some(_) => Ok(()),
        None if response.headers().contains_key(header::TRANSFER_ENCODING) => Ok(()),
        None => Err(Step::Cut),
    }
}

fn stated_length(headers: &HeaderMap) -> Option<u64> {
    headers::number(headers, &header::CONTENT_LENGTH)
}

fn is_empty(response: &reqwest::Response, method: &Method) -> bool {
    method == Method::HEAD
        || matches!(
            response.status(),
            StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
        )
}

/// The chunks of a body, copied only if there is more than one.
enum Gathered {
    Empty,
    One(Content),
    Many(BytesMut),
}

impl Gathered {
    fn len(&self) -> u64 {
        match self {
            Self::Empty => 0,
            Self::One(part) => part.len() as u64,
            Self::Many(parts) => parts.len() as u64,
        }
    }

    fn push(&mut self, part: Content) {
        *self = match std::mem::replace(self, Self::Empty) {
            Self::Empty => Self::One(part),
            Self::One(first) => {
                let mut parts = BytesMut::with_capacity(2 * (first.len() + part.len()));
                parts.extend_from_slice(&first);
                parts.extend_from_slice(&part);
                Self::Many(parts)
            }
            Self::Many(mut parts) => {
                parts.extend_from_slice(&part);
                Self::Many(parts)
            }
        };
    }

    fn into_content(self) -> Content {
        match self {
            Self::Empty => Content::new(),
            Self::One(part) => part,
            Self::Many(parts) => parts.freeze(),
        }
    }
}
