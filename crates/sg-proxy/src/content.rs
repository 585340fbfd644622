//! Bodies of requests: read from the caller within the memory budget, and sent to targets in segments.
//!
//! A body that doesn't fit is sent while it is read, once. [`receive`] decides between the two.

use std::{
    collections::VecDeque,
    pin::Pin,
    sync::atomic::{AtomicBool, AtomicU64, Ordering},
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use http_body::{Body as _, Frame, SizeHint};
use http_body_util::BodyExt;
use parking_lot::Mutex;
use sg_clock::Timer;
use sg_types::prelude::{Arc, Bytes as Size, Instant, Span};

use crate::{
    body::RequestBody,
    memory::{Exhausted, FORWARDED_BYTES, Hold, Segments, Stage},
};

/// Length of the first part of a body that its fingerprint is taken from. A body that is longer is
/// fingerprinted by this part and its declared length, because the rest may not be known when the request
/// is sent.
pub const FINGERPRINTED_BYTES: u64 = 1 << 20;

/// Body of a request, as far as it was received before the request is sent.
#[derive(Debug, Clone)]
pub struct Content {
    segments: Arc<VecDeque<Bytes>>,
    length: u64,
    hold: Arc<Hold>,
    /// State of a body that is sent while it is read; `None` for a complete one.
    stream: Option<Arc<Stream>>,
}

/// State of a body that is sent while it is read.
#[derive(Debug)]
struct Stream {
    timer: Timer,
    /// What is to be sent. `None` once it has begun.
    unsent: Mutex<Option<Rest>>,
    /// Whether the caller ended the body early, made it too long or stalled.
    is_broken: AtomicBool,
    is_complete: AtomicBool,
    /// Since when the next bytes are due from the caller, in nanoseconds of the timer; 0 if they are not.
    awaited_since: AtomicU64,
}

#[derive(Debug)]
struct Rest {
    segments: VecDeque<Bytes>,
    body: RequestBody,
    /// Bytes that may still arrive.
    left: u64,
}

/// Limits of a body that is received.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Maximum length of the body.
    pub max_bytes: Size,
    /// Maximum number of bytes that are buffered of one body.
    pub max_buffered: Size,
    /// Maximum time without a byte.
    pub stall: Span,
    /// Time by which the body must have arrived.
    pub deadline: Instant,
}

/// Why a body was not received. The request did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The body is longer than allowed.
    TooLarge,
    /// The caller ended the body early.
    Broken,
    /// No byte arrived for too long.
    Stalled,
    /// The deadline passed.
    Late,
    /// The memory budget is used up.
    Exhausted,
}

impl Failure {
    /// Returns the label in metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::TooLarge => "too-large",
            Self::Broken => "broken",
            Self::Stalled => "stalled",
            Self::Late => "late",
            Self::Exhausted => "exhausted",
        }
    }
}

/// Receives `body` into `segments`, and passes each part that is fingerprinted to `hash`.
pub async fn receive(
    mut body: RequestBody,
    mut segments: Segments,
    limits: Limits,
    timer: &Timer,
    mut hash: impl FnMut(&[u8]),
) -> Result<Content, Failure> {
    let declared = body.size_hint().exact();
    if declared.is_some_and(|length| length > limits.max_bytes.get()) {
        return Err(Failure::TooLarge);
    }
    let hold = segments.hold().clone();
    let began = timer.now();
    loop {
        let stalls_at = timer.now() + limits.stall;
        let frame = tokio::select! {
            biased;
            () = hold.evicted() => return Err(Failure::Exhausted),
            frame = timer.until(limits.deadline.min(stalls_at), body.frame()) => frame,
        };
        let frame = match frame {
            Ok(Some(frame)) => frame.map_err(|_| Failure::Broken)?,
            Ok(None) => return Ok(Content::complete(segments)),
            Err(_) if timer.now() >= limits.deadline => return Err(Failure::Late),
            Err(_) => return Err(Failure::Stalled),
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let known = segments.length();
        if known + data.len() as u64 > limits.max_bytes.get() {
            return Err(Failure::TooLarge);
        }
        let hashed = FINGERPRINTED_BYTES.saturating_sub(known);
        hash(&data[..data.len().min(hashed as usize)]);
        let is_too_large = known + data.len() as u64 > limits.max_buffered.get();
        let appended = match is_too_large {
            true => Err(Exhausted),
            false => {
                let append = segments.append_when_released(&data);
                let append = timer.until(limits.deadline, append).await;
                append.map_err(|_| Failure::Late)?
            }
        };
        if appended == Err(Exhausted) {
            let now = timer.now();
            let progress = Progress {
                received: known,
                declared,
                elapsed: now.since(began),
                left: limits.deadline.since(now),
            };
            if hold.is_evicted() || !progress.may_stream() {
                return Err(Failure::Exhausted);
            }
            segments.append_over(&data);
            let left = limits.max_bytes.get() - segments.length();
            return Ok(Content::streamed(segments, body, left, timer.clone()));
        }
    }
}

/// Progress of a body that can't be buffered.
#[derive(Debug, Clone, Copy)]
pub struct Progress {
    /// Bytes received so far.
    pub received: u64,
    /// Declared length.
    pub declared: Option<u64>,
    /// Time since the body began.
    pub elapsed: Span,
    /// Time until the request's deadline.
    pub left: Span,
}

impl Progress {
    /// Returns whether the body may be sent to a target while it is read: the fingerprint is complete, and
    /// at the rate so far the rest arrives in half of the time left, so that the other half is for the
    /// target's work. A body of unknown length is assumed to be half received.
    #[must_use]
    pub fn may_stream(&self) -> bool {
        if self.received < FINGERPRINTED_BYTES {
            return false;
        }
        let declared = self.declared.unwrap_or(2 * self.received);
        let rest = declared.saturating_sub(self.received) as f64;
        let seconds = self.elapsed.as_secs_f64() * rest / self.received as f64;
        seconds <= self.left.as_secs_f64() / 2.0
    }
}

impl Content {
    /// Creates a body that was received completely.
    pub fn complete(segments: Segments) -> Self {
        Self {
            length: segments.length(),
            hold: segments.hold().clone(),
            segments: Arc::new(segments.into_list()),
            stream: None,
        }
    }

    fn streamed(segments: Segments, body: RequestBody, left: u64, timer: Timer) -> Self {
        let (length, hold) = (segments.length(), segments.hold().clone());
        hold.grow_over(FORWARDED_BYTES);
        let rest = Rest {
            segments: segments.into_list(),
            body,
            left,
        };
        Self {
            segments: Arc::default(),
            length,
            hold,
            stream: Some(Arc::new(Stream {
                timer,
                unsent: Mutex::new(Some(rest)),
                is_broken: AtomicBool::new(false),
                is_complete: AtomicBool::new(false),
                awaited_since: AtomicU64::new(0),
            })),
        }
    }

    /// Returns whether the body is sent while it is read.
    pub fn is_streamed(&self) -> bool {
        self.stream.is_some()
    }

    /// Returns whether the body was sent and can't be sent again.
    pub fn is_spent(&self) -> bool {
        let stream = self.stream.as_ref();
        stream.is_some_and(|stream| stream.unsent.lock().is_none())
    }

    /// Returns whether the body was streamed and the caller did not send it completely.
    pub fn is_broken(&self) -> bool {
        let stream = self.stream.as_ref();
        stream.is_some_and(|stream| stream.is_broken.load(Ordering::Relaxed))
    }

    /// Returns whether the caller has more of the body to send.
    pub fn is_incomplete(&self) -> bool {
        let stream = self.stream.as_ref();
        stream.is_some_and(|stream| !stream.is_complete.load(Ordering::Relaxed))
    }

    /// Records that targets may run the request from now on, so that it keeps its memory.
    ///
    /// # Errors
    /// Returns [`Exhausted`] if the request was told before to give up its memory.
    pub fn set_forwarded(&self) -> Result<(), Exhausted> {
        self.hold.set_stage(Stage::Forwarded);
        match self.hold.is_evicted() {
            true => Err(Exhausted),
            false => Ok(()),
        }
    }

    /// Waits until the caller of a streamed body has sent nothing for `stall` although bytes are due.
    pub async fn stalled(&self, stall: Span) {
        let Some(stream) = &self.stream else {
            return std::future::pending().await;
        };
        loop {
            let now = stream.timer.now();
            let since = Span::from_nanos(stream.awaited_since.load(Ordering::Relaxed));
            let since = match since {
                Span::ZERO => now,
                since => Instant::START + since,
            };
            if now.since(since) >= stall {
                stream.is_broken.store(true, Ordering::Relaxed);
                return;
            }
            stream.timer.sleep_until(since + stall).await;
        }
    }

    /// Returns the body for one send. A streamed one that was sent already is an error at once.
    pub fn outgoing(&self) -> Outgoing {
        match &self.stream {
            None => Outgoing {
                segments: (*self.segments).clone(),
                left: self.length,
                streamed: None,
            },
            Some(stream) => Outgoing {
                segments: VecDeque::new(),
                left: 0,
                streamed: Some(Streamed {
                    rest: stream.unsent.lock().take(),
                    stream: stream.clone(),
                    has_begun: false,
                }),
            },
        }
    }
}

/// Body of a request to a target.
#[derive(Debug)]
pub struct Outgoing {
    segments: VecDeque<Bytes>,
    /// Bytes of `segments`.
    left: u64,
    streamed: Option<Streamed>,
}

#[derive(Debug)]
struct Streamed {
    rest: Option<Rest>,
    stream: Arc<Stream>,
    has_begun: bool,
}

/// Error of a streamed body, which breaks the request to the target off.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the caller did not send the whole body, or the body was sent before")]
pub struct Broken;

impl Outgoing {
    /// Returns a body without bytes.
    #[must_use]
    pub fn empty() -> Self {
        Self {
            segments: VecDeque::new(),
            left: 0,
            streamed: None,
        }
    }
}

impl Streamed {
    fn poll_frame(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        self.has_begun = true;
        let Some(rest) = &mut self.rest else {
            return Poll::Ready(Some(Err(Broken)));
        };
        let stream = &self.stream;
        if let Some(segment) = rest.segments.pop_front() {
            stream.record_end(rest);
            return Poll::Ready(Some(Ok(Frame::data(segment))));
        }
        let frame = Pin::new(&mut rest.body).poll_frame(cx);
        if frame.is_ready() {
            stream.awaited_since.store(0, Ordering::Relaxed);
        } else if stream.awaited_since.load(Ordering::Relaxed) == 0 {
            let since = stream.timer.now().since(Instant::START).as_nanos();
            stream.awaited_since.store(since, Ordering::Relaxed);
        }
        let Some(frame) = ready!(frame) else {
            stream.is_complete.store(true, Ordering::Relaxed);
            return Poll::Ready(None);
        };
        let length = frame
            .as_ref()
            .ok()
            .and_then(Frame::data_ref)
            .map_or(0, Bytes::len) as u64;
        if frame.is_err() || length > rest.left {
            stream.is_broken.store(true, Ordering::Relaxed);
            return Poll::Ready(Some(Err(Broken)));
        }
        rest.left -= length;
        stream.record_end(rest);
        Poll::Ready(frame.ok().map(Ok))
    }
}

impl Stream {
    /// Records that the body is complete if nothing of `rest` is left. The HTTP library does not ask again
    /// after the last byte of a declared length.
    fn record_end(&self, rest: &Rest) {
        if rest.segments.is_empty() && rest.body.is_end_stream() {
            self.is_complete.store(true, Ordering::Relaxed);
        }
    }
}

impl Drop for Streamed {
    fn drop(&mut self) {
        // No byte was sent, so that the body may still go to another target.
        if !self.has_begun && self.rest.is_some() {
            *self.stream.unsent.lock() = self.rest.take();
        }
    }
}

impl http_body::Body for Outgoing {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        let outgoing = self.get_mut();
        if let Some(streamed) = &mut outgoing.streamed {
            return streamed.poll_frame(cx);
        }
        let segment = outgoing.segments.pop_front();
        outgoing.left -= segment.as_ref().map_or(0, |segment| segment.len() as u64);
        Poll::Ready(segment.map(|segment| Ok(Frame::data(segment))))
    }

    fn is_end_stream(&self) -> bool {
        self.streamed.is_none() && self.segments.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        let Some(streamed) = &self.streamed else {
            return SizeHint::with_exact(self.left);
        };
        let Some(rest) = &streamed.rest else {
            return SizeHint::default();
        };
        let received: u64 = rest
            .segments
            .iter()
            .map(|segment| segment.len() as u64)
            .sum();
        match rest.body.size_hint().exact() {
            Some(length) => SizeHint::with_exact(received + length),
            None => SizeHint::default(),
        }
    }
}
