//! Stream of a connection to a target.

use std::{
    io::{self, IoSlice},
    pin::Pin,
    sync::atomic::{AtomicBool, Ordering},
    task::{Context, Poll},
    time::Duration,
};

use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use sg_types::prelude::*;
use socket2::SockRef;
use tokio::net::TcpStream;

use crate::connections::TCP_USER_TIMEOUT;

/// Time for which data of a large request may stay unacknowledged. The kernel counts the time for which a
/// target reads nothing toward this limit. The deadline of a request ends it earlier in most cases.
const LARGE_REQUEST_TIMEOUT: Duration = Duration::from_secs(15);
/// Size of a body above which a request is large. The receive buffer of a target takes a smaller one even if
/// the target does not read.
const LARGE_BODY_BYTES: u64 = 4 << 10;

/// Size class of the request that is sent on a connection.
#[derive(Debug, Clone, Default)]
pub(crate) struct RequestSize(Arc<AtomicBool>);

impl RequestSize {
    /// Records that the next request has a body of `length` bytes, or of unknown length.
    pub fn set(&self, length: Option<u64>) {
        let is_large = length.is_none_or(|length| length > LARGE_BODY_BYTES);
        self.0.store(is_large, Ordering::Relaxed);
    }

    fn is_large(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// Stream that gives a target more time to read a large request. The connection's socket starts with
/// [`TCP_USER_TIMEOUT`], by which a silent target is noticed early.
#[derive(Debug)]
pub(crate) struct TargetStream {
    stream: TokioIo<TcpStream>,
    size: RequestSize,
    /// Whether the socket's timeout is the one for large requests.
    is_large: bool,
}

impl TargetStream {
    pub fn new(stream: TcpStream, size: RequestSize) -> Self {
        Self {
            stream: TokioIo::new(stream),
            size,
            is_large: false,
        }
    }

    /// Sets the socket's timeout for the request that is written.
    fn update_timeout(&mut self) {
        let is_large = self.size.is_large();
        if is_large == self.is_large {
            return;
        }
        self.is_large = is_large;
        let timeout = if is_large {
            LARGE_REQUEST_TIMEOUT
        } else {
            TCP_USER_TIMEOUT
        };
        let set = SockRef::from(self.stream.inner()).set_tcp_user_timeout(Some(timeout));
        if let Err(error) = set {
            log::debug!(error:% = error; "timeout of a connection to a target not set");
        }
    }
}

impl Read for TargetStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl Write for TargetStream {
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
