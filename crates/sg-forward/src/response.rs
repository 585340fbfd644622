//! Receives a target's response: buffered if it is small, else as a stream.

use bytes::{Bytes as Content, BytesMut};
use http::{HeaderMap, Method, StatusCode, header};
use sg_clock::Timer;
use sg_types::prelude::*;

use crate::{headers, history::Failure, memory::Reservation};

/// The largest response that is buffered until it is complete, in bytes.
pub const MAX_BUFFERED_BYTES: u64 = 256 * 1024;

/// A response that passed the checks.
#[derive(Debug)]
pub enum TargetResponse {
    /// A complete response.
    Complete {
        /// The status.
        status: StatusCode,
        /// The headers as received.
        headers: HeaderMap,
        /// The body.
        body: Content,
    },
    /// The start of a large response.
    Partial {
        /// The bytes received so far.
        first: Content,
        /// The rest of the response.
        rest: reqwest::Response,
    },
}

/// The limits on receiving a response.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// The largest allowed response.
    pub max_size: Bytes,
    /// The longest allowed silence on the connection.
    pub progress_timeout: Span,
    /// The deadline of the request.
    pub deadline: Instant,
    /// Whether a response of unstated length may be passed on before it is complete.
    pub may_stream: bool,
}

/// Reads the response to a request of `method` until it is complete. A response that may be
/// streamed is read only until it exceeds [`MAX_BUFFERED_BYTES`] or the memory budget.
///
/// # Errors
/// The [`Failure`] that the attempt failed with.
pub async fn receive(
    timer: &Timer,
    mut response: reqwest::Response,
    method: &Method,
    request: &id::Request,
    limits: Limits,
    reservation: &mut Reservation,
) -> Result<TargetResponse, Failure> {
    check_head(&response, method, request, limits)?;
    let may_stream = limits.may_stream || stated_length(response.headers()).is_some();
    let mut body = ChunkBuffer::Empty;
    while let Some(chunk) = next_chunk(timer, &mut response, limits).await? {
        let size = chunk.len() as u64;
        body.push(chunk);
        if body.len() > limits.max_size.get() {
            return Err(Failure::Invalid);
        }
        let fits = reservation.try_grow(size) && body.len() <= MAX_BUFFERED_BYTES;
        if !fits && may_stream {
            let first = body.into_content();
            return Ok(TargetResponse::Partial {
                first,
                rest: response,
            });
        }
    }
    Ok(TargetResponse::Complete {
        status: response.status(),
        headers: std::mem::take(response.headers_mut()),
        body: body.into_content(),
    })
}

/// Waits for the next chunk of a response; `None` if the framing proves that the response has
/// ended.
///
/// # Errors
/// [`Failure::Truncated`], [`Failure::NoProgress`] or [`Failure::DeadlinePassed`].
pub async fn next_chunk(
    timer: &Timer,
    response: &mut reqwest::Response,
    limits: Limits,
) -> Result<Option<Content>, Failure> {
    let progress_deadline = timer.now() + limits.progress_timeout;
    let until = progress_deadline.min(limits.deadline);
    let chunk = std::pin::pin!(response.chunk());
    match timer.until(until, chunk).await {
        Ok(Ok(chunk)) => Ok(chunk),
        Ok(Err(_)) => Err(Failure::Truncated),
        Err(_) if until == limits.deadline => Err(Failure::DeadlinePassed),
        Err(_) => Err(Failure::NoProgress),
    }
}

fn check_head(
    response: &reqwest::Response,
    method: &Method,
    request: &id::Request,
    limits: Limits,
) -> Result<(), Failure> {
    let named_request = response.headers().get(headers::REQUEST_ID);
    if named_request.is_some_and(|name| name.as_bytes() != request.as_str().as_bytes()) {
        return Err(Failure::Invalid);
    }
    if has_no_body(response, method) {
        return Ok(());
    }
    match stated_length(response.headers()) {
        Some(length) if length > limits.max_size.get() => Err(Failure::Invalid),
        Some(_) => Ok(()),
        None if response.headers().contains_key(header::TRANSFER_ENCODING) => Ok(()),
        None => Err(Failure::Truncated),
    }
}

fn stated_length(headers: &HeaderMap) -> Option<u64> {
    headers::parse_number(headers, &header::CONTENT_LENGTH)
}

fn has_no_body(response: &reqwest::Response, method: &Method) -> bool {
    method == Method::HEAD
        || matches!(
            response.status(),
            StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
        )
}

/// The chunks of a body, copied only if there is more than one.
enum ChunkBuffer {
    Empty,
    One(Content),
    Many(BytesMut),
}

impl ChunkBuffer {
    fn len(&self) -> u64 {
        match self {
            Self::Empty => 0,
            Self::One(chunk) => chunk.len() as u64,
            Self::Many(chunks) => chunks.len() as u64,
        }
    }

    fn push(&mut self, chunk: Content) {
        *self = match std::mem::replace(self, Self::Empty) {
            Self::Empty => Self::One(chunk),
            Self::One(first) => {
                let mut chunks = BytesMut::with_capacity(2 * (first.len() + chunk.len()));
                chunks.extend_from_slice(&first);
                chunks.extend_from_slice(&chunk);
                Self::Many(chunks)
            }
            Self::Many(mut chunks) => {
                chunks.extend_from_slice(&chunk);
                Self::Many(chunks)
            }
        };
    }

    fn into_content(self) -> Content {
        match self {
            Self::Empty => Content::new(),
            Self::One(chunk) => chunk,
            Self::Many(chunks) => chunks.freeze(),
        }
    }
}
