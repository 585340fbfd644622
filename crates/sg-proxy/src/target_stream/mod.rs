//! Stream of a connection to a target.

pub mod filter;
mod framing;

use std::{
    io::{self, IoSlice},
    pin::Pin,
    sync::atomic::{AtomicU64, Ordering},
    task::{Context, Poll, ready},
};

use http::HeaderName;
use parking_lot::Mutex;
use prometheus::IntCounter;
use sg_types::prelude::*;
use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use self::filter::{Filter, IdHash};

use crate::connections::TCP_USER_TIMEOUT;

/// Time for which data of a large request may stay unacknowledged. The kernel counts the time for which a
/// target reads nothing toward this limit. The deadline of a request ends it earlier in most cases.
const LARGE_REQUEST_TIMEOUT: Span = Span::from_secs(15);
/// Size of a body above which a request is large. The receive buffer of a target takes a smaller one even if
/// the target does not read.
const LARGE_BODY_BYTES: u64 = 4 << 10;

/// Size of the buffer for bytes that the filter examines.
const EXAMINED_BYTES: usize = 4 << 10;
/// Maximum number of reads that pass on nothing before other tasks run.
const MAX_READS_PER_TURN: usize = 16;

/// What the stream of a connection knows of the request in flight.
#[derive(Debug, Clone)]
pub(crate) struct Link(Arc<LinkState>);

#[derive(Debug)]
struct LinkState {
    /// Time in milliseconds for which the target may be silent while the request is at work.
    silence_millis: AtomicU64,
    filter: Mutex<Filter>,
}

impl Link {
    /// Creates a link of a connection whose target names requests in the field `id_header`.
    pub fn new(id_header: HeaderName) -> Self {
        Self(Arc::new(LinkState {
            silence_millis: AtomicU64::new(Span::from(TCP_USER_TIMEOUT).as_millis()),
            filter: Mutex::new(Filter::new(id_header)),
        }))
    }

    /// Records that the request `id` is sent next, with a body of `length` bytes, or of unknown length. The target
    /// may be silent for `silence`.
    pub fn expect(&self, id: Option<&[u8]>, is_head: bool, length: Option<u64>, silence: Span) {
        let is_large = length.is_none_or(|length| length > LARGE_BODY_BYTES);
        let silence = match is_large {
            true => silence.max(LARGE_REQUEST_TIMEOUT),
            false => silence,
        };
        let silence_millis = &self.0.silence_millis;
        silence_millis.store(silence.as_millis(), Ordering::Relaxed);
        self.0.filter.lock().expect(id, is_head);
    }

    /// Returns whether the connection carried a request with this id.
    pub fn has_carried(&self, id: IdHash) -> bool {
        self.0.filter.lock().has_carried(id)
    }

    /// Returns how many responses to other requests were passed over for the request in flight.
    pub fn passed_over(&self) -> u64 {
        self.0.filter.lock().passed_over()
    }

    fn silence(&self) -> Span {
        Span::from_millis(self.0.silence_millis.load(Ordering::Relaxed))
    }
}

/// Stream that passes over responses to other requests, because the HTTP library takes one response for each
/// request. It also gives the connection's socket the time for which the target may be silent: the socket starts
/// with [`TCP_USER_TIMEOUT`], by which a silent target is noticed early, and keeps the time of its last request.
#[derive(Debug)]
pub(crate) struct TargetStream {
    stream: TcpStream,
    link: Link,
    /// Number of responses that were passed over.
    passed_over: IntCounter,
    /// The socket's timeout.
    silence: Span,
}

impl TargetStream {
    pub fn new(stream: TcpStream, link: Link, passed_over: IntCounter) -> Self {
        Self {
            stream,
            link,
            passed_over,
            silence: TCP_USER_TIMEOUT.into(),
        }
    }

    /// Sets the socket's timeout for the request that is written.
    fn update_timeout(&mut self) {
        let silence = self.link.silence();
        if silence == self.silence {
            return;
        }
        self.silence = silence;
        let socket = SockRef::from(&self.stream);
        if let Err(error) = socket.set_tcp_user_timeout(Some(silence.into())) {
            log::debug!(error:% = error; "timeout of a connection to a target not set");
        }
    }
}

impl Drop for TargetStream {
    /// Drops the bytes of a request that is given up. The kernel would deliver them once the target reads again or the
    /// path carries them, and the target would run the request.
    fn drop(&mut self) {
        if !self.link.0.filter.lock().awaits_response() {
            return;
        }
        if let Err(error) = self.stream.set_zero_linger() {
            log::debug!(error:% = error; "connection to a target not reset");
        }
    }
}

impl AsyncRead for TargetStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        let mut filter = this.link.0.filter.lock();
        for _ in 0..MAX_READS_PER_TURN {
            if filter.is_open() {
                let before = buffer.filled().len();
                ready!(Pin::new(&mut this.stream).poll_read(cx, buffer))?;
                filter.pass(&buffer.filled()[before..]);
                return Poll::Ready(check(&filter));
            }
            this.passed_over.inc_by(filter.advance());
            check(&filter)?;
            let count = filter.ready().len().min(buffer.remaining());
            if count > 0 {
                buffer.put_slice(&filter.ready()[..count]);
                filter.consume(count);
                return Poll::Ready(Ok(()));
            }
            let mut examined = [0; EXAMINED_BYTES];
            let mut examined = ReadBuf::new(&mut examined);
            ready!(Pin::new(&mut this.stream).poll_read(cx, &mut examined))?;
            match examined.filled() {
                [] => filter.end(),
                bytes => filter.push(bytes),
            }
        }
        // Other tasks run before more bytes are discarded.
        cx.waker().wake_by_ref();
        Poll::Pending
    }
}

/// Returns an error if the end of a response can't be found.
fn check(filter: &Filter) -> io::Result<()> {
    if filter.has_failed() {
        let error = "the end of a response can't be found within the bounds";
        return Err(io::Error::new(io::ErrorKind::InvalidData, error));
    }
    Ok(())
}

impl AsyncWrite for TargetStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.update_timeout();
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.update_timeout();
        Pin::new(&mut self.stream).poll_write_vectored(cx, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
