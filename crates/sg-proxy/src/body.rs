//! Bodies of responses to callers.

use std::{
    collections::VecDeque,
    pin::Pin,
    sync::atomic::{AtomicBool, Ordering},
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body::{Frame, SizeHint};
use hyper::body::Incoming;
use sg_clock::Timer;
use sg_types::prelude::{Arc, Bytes as Size, Instant};
use tokio::sync::oneshot;

use crate::{
    connections::Connection,
    memory::{Hold, Stage},
    stream::Delivery,
};

/// Maximum size of a body that is streamed and whose response does not declare a length. Such a body may
/// have no end.
const MAX_UNDECLARED_BYTES: u64 = 64 << 20;

/// Error of a body that ends early. The caller's connection is closed, so that the response does not look
/// complete.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The target's connection failed.
    #[error("the target broke the response off ({0})")]
    Broken(#[from] hyper::Error),
    /// The body was not complete at the request's deadline.
    #[error(
        "the response was not complete at the deadline; raise the route's timeout if it is legitimate"
    )]
    Late,
    /// The body is longer than a body without a declared length may be.
    #[error(
        "the response is longer than {MAX_UNDECLARED_BYTES} bytes and declares no length; let the target declare one"
    )]
    TooLong,
}

/// Why a streamed response was cut off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cut {
    /// The deadline passed while more of the body was due from the target.
    LateTarget,
    /// The deadline passed while the caller did not read what had arrived.
    SlowCaller,
    /// The body has no declared length and is too long.
    TooLong,
}

impl Cut {
    /// Returns the label in metrics and log lines.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::LateTarget => "late-target",
            Self::SlowCaller => "slow-caller",
            Self::TooLong => "too-long",
        }
    }
}

/// Body of a request of a caller.
#[derive(Debug)]
pub enum RequestBody {
    /// Body that arrives on the caller's connection.
    Received(Incoming),
    /// The request has no body.
    Empty,
}

impl http_body::Body for RequestBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        match self.get_mut() {
            Self::Received(incoming) => Pin::new(incoming).poll_frame(cx),
            Self::Empty => Poll::Ready(None),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Received(incoming) => incoming.is_end_stream(),
            Self::Empty => true,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Received(incoming) => incoming.size_hint(),
            Self::Empty => SizeHint::with_exact(0),
        }
    }
}

/// Body of a response to a caller.
#[derive(Debug)]
pub enum Body {
    /// Completely received body.
    Buffered(Buffered),
    /// Body whose remainder is still arriving from a target.
    Streamed(Box<Streamed>),
}

/// Segments of a body that are in memory.
#[derive(Debug, Default)]
pub struct Buffered {
    segments: VecDeque<Bytes>,
    length: u64,
    /// Hold that is charged for the segments of a target's response.
    hold: Option<Arc<Hold>>,
}

impl Buffered {
    fn new(segments: VecDeque<Bytes>) -> Self {
        let length = segments.iter().map(|segment| segment.len() as u64).sum();
        Self {
            segments,
            length,
            hold: None,
        }
    }

    fn next(&mut self) -> Option<Bytes> {
        let segment = self.segments.pop_front()?;
        self.length -= segment.len() as u64;
        Some(segment)
    }
}

/// State of a stream that its watch reads.
#[derive(Debug, Default)]
struct Progress {
    is_late: AtomicBool,
    /// Whether the next bytes are due from the target.
    awaits_target: AtomicBool,
}

/// Large response body that is forwarded while it arrives.
#[derive(Debug)]
pub struct Streamed {
    /// Data that was received before forwarding began.
    received: Buffered,
    remainder: Incoming,
    /// Connection to the target, which is closed if the caller disconnects.
    connection: Option<Connection>,
    /// Bytes that may still arrive, if the response declares no length.
    undeclared_left: Option<u64>,
    progress: Arc<Progress>,
    hold: Arc<Hold>,
    /// Tells the watch that the body is too long. Dropping the sender ends the watch.
    too_long: Option<oneshot::Sender<()>>,
}

impl Streamed {
    /// Creates the rest of a body of which `received` has arrived, and cuts the body off at `deadline`.
    /// `on_cut` is called if that happens, or if the body is too long.
    pub(crate) fn new(
        received: VecDeque<Bytes>,
        remainder: Incoming,
        connection: Connection,
        hold: Arc<Hold>,
        timer: Timer,
        deadline: Instant,
        on_cut: impl FnOnce(Cut) + Send + 'static,
    ) -> Self {
        let progress = Arc::new(Progress::default());
        let (too_long, too_long_receiver) = oneshot::channel();
        let target_task = connection.abort_handle();
        let watched = progress.clone();
        tokio::spawn(async move {
            let cut = match timer.until(deadline, too_long_receiver).await {
                Ok(Ok(())) => Cut::TooLong,
                // The body is complete, or the caller is gone.
                Ok(Err(_)) => return,
                Err(_) if watched.awaits_target.load(Ordering::Relaxed) => Cut::LateTarget,
                Err(_) => Cut::SlowCaller,
            };
            watched.is_late.store(true, Ordering::Relaxed);
            target_task.abort();
            on_cut(cut);
        });
        let received = Buffered::new(received);
        let is_declared = http_body::Body::size_hint(&remainder).exact().is_some();
        Self {
            undeclared_left: (!is_declared)
                .then(|| MAX_UNDECLARED_BYTES.saturating_sub(received.length)),
            received,
            remainder,
            connection: Some(connection),
            progress,
            hold,
            too_long: Some(too_long),
        }
    }

    fn poll_remainder(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        let frame = http_body::Body::poll_frame(Pin::new(&mut self.remainder), cx);
        self.progress
            .awaits_target
            .store(frame.is_pending(), Ordering::Relaxed);
        // A connection that was closed at the deadline looks like the end of the body.
        if frame.is_ready() && self.progress.is_late.load(Ordering::Relaxed) {
            return Poll::Ready(Some(Err(Error::Late)));
        }
        match frame {
            Poll::Ready(Some(Ok(frame))) => Poll::Ready(Some(self.count(frame))),
            Poll::Ready(None) => {
                self.too_long = None;
                if let Some(connection) = self.connection.take() {
                    connection.close();
                }
                Poll::Ready(None)
            }
            other => other.map_err(Error::from),
        }
    }

    /// Counts the bytes of `frame` if the body declares no length.
    fn count(&mut self, frame: Frame<Bytes>) -> Result<Frame<Bytes>, Error> {
        let length = frame.data_ref().map_or(0, |data| data.len() as u64);
        self.hold.record_progress(Size::new(length));
        let Some(left) = &mut self.undeclared_left else {
            return Ok(frame);
        };
        if length <= *left {
            *left -= length;
            return Ok(frame);
        }
        if let Some(too_long) = self.too_long.take() {
            // The watch is gone if the deadline has passed.
            let _ = too_long.send(());
        }
        Err(Error::TooLong)
    }
}

impl Body {
    /// Returns whether all of the data is in memory.
    #[must_use]
    pub fn is_received(&self) -> bool {
        matches!(self, Self::Buffered(_))
    }

    /// Lets the memory of the body be given up, because the caller may read the body now.
    pub(crate) fn open(&self) {
        match self {
            Self::Buffered(buffered) => {
                if let Some(hold) = &buffered.hold {
                    hold.set_stage(Stage::Open);
                }
            }
            Self::Streamed(streamed) => {
                streamed.hold.set_stage(Stage::Open);
                streamed.hold.make_room();
            }
        }
    }

    /// Returns a body with all of its data in memory, which `hold` is charged for.
    #[must_use]
    pub(crate) fn held(segments: VecDeque<Bytes>, hold: Arc<Hold>) -> Self {
        Self::Buffered(Buffered {
            hold: Some(hold),
            ..Buffered::new(segments)
        })
    }

    /// Returns a body with all of its data in memory.
    #[must_use]
    pub fn buffered(bytes: Bytes) -> Self {
        let is_empty = bytes.is_empty();
        Self::segmented(std::iter::once(bytes).filter(|_| !is_empty).collect())
    }

    /// Returns a body with all of its data in memory, in segments.
    #[must_use]
    pub(crate) fn segmented(segments: VecDeque<Bytes>) -> Self {
        Self::Buffered(Buffered::new(segments))
    }
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        match self.get_mut() {
            Self::Buffered(buffered) => {
                Poll::Ready(buffered.next().map(|segment| Ok(Frame::data(segment))))
            }
            Self::Streamed(streamed) => match streamed.received.next() {
                Some(received) => Poll::Ready(Some(Ok(Frame::data(received)))),
                None => streamed.poll_remainder(cx),
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(buffered) => buffered.segments.is_empty(),
            Self::Streamed(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(buffered) => SizeHint::with_exact(buffered.length),
            Self::Streamed(streamed) => {
                let received = streamed.received.length;
                match streamed.remainder.size_hint().exact() {
                    Some(remainder) => SizeHint::with_exact(received + remainder),
                    None => SizeHint::default(),
                }
            }
        }
    }
}

/// Body of a response, with the guard that tells the caller's connection when the HTTP library has taken it.
#[derive(Debug)]
pub(crate) struct Delivered {
    body: Body,
    delivery: Delivery,
}

impl Delivered {
    pub fn new(body: Body, delivery: Delivery) -> Self {
        Self { body, delivery }
    }
}

impl http_body::Body for Delivered {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        let frame = Pin::new(&mut self.body).poll_frame(cx);
        if matches!(frame, Poll::Ready(None)) {
            self.delivery.set_whole();
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
