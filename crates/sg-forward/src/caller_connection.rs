//! Tracks callers' connections: detects when a caller disconnects and aborts a connection whose
//! response must not appear complete.
//!
//! The HTTP server keeps a connection open after a body failed or the caller disconnected. It would
//! end a truncated response as if it were complete, and continue work whose result nobody reads. A
//! [`Listener`] wraps the connections below the HTTP server to prevent both.

use std::{
    io::{self, IoSlice},
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll, ready},
};

use futures_util::task::AtomicWaker;
use http::{Version, uri::Scheme};
use parking_lot::Mutex;
use poem::{
    Addr,
    listener::Acceptor,
    web::{LocalAddr, RemoteAddr},
};
use sg_clock::Timer;
use sg_types::{prelude::IndexMap, time::Span};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    sync::Notify,
};

/// The number of bytes of a refused body that are read and discarded, so that the caller can read
/// the refusal: unread bytes would make the kernel reset the connection.
const LINGER_BYTES: usize = 1024 * 1024;
/// The time limit for discarding a refused body.
const LINGER_TIMEOUT: Span = Span::from_secs(1);
/// The size of one read while discarding.
const LINGER_READ_BYTES: usize = 16 * 1024;

/// A caller's connection, shared by the exchanges on it.
#[derive(Debug, Default)]
pub struct CallerConnection {
    aborted: AtomicBool,
    lacks_chunks: AtomicBool,
    gone: AtomicBool,
    gone_notify: Notify,
    write_waker: AtomicWaker,
    linger_ended: AtomicBool,
    read_waker: AtomicWaker,
}

impl CallerConnection {
    /// Records the version of HTTP in which the caller sent the request in progress.
    pub fn record_version(&self, version: Version) {
        let lacks_chunks = version < Version::HTTP_11;
        self.lacks_chunks.store(lacks_chunks, Ordering::Relaxed);
    }

    /// Returns whether the caller can tell a response of unstated length that ends early from a complete one.
    #[must_use]
    pub fn takes_chunks(&self) -> bool {
        !self.lacks_chunks.load(Ordering::Relaxed)
    }

    /// Fails all further writes, so that the connection closes without a proper end of its
    /// response.
    pub fn abort(&self) {
        self.aborted.store(true, Ordering::SeqCst);
        self.write_waker.wake();
    }

    /// Waits until the caller closes its side.
    pub async fn wait_gone(&self) {
        let gone_notify = self.gone_notify.notified();
        tokio::pin!(gone_notify);
        gone_notify.as_mut().enable();
        if !self.gone.load(Ordering::SeqCst) {
            gone_notify.await;
        }
    }

    fn end_linger(&self) {
        self.linger_ended.store(true, Ordering::SeqCst);
        self.read_waker.wake();
    }

    fn mark_gone(&self) {
        self.gone.store(true, Ordering::SeqCst);
        self.gone_notify.notify_waiters();
    }

    fn ensure_not_aborted(&self) -> io::Result<()> {
        if self.aborted.load(Ordering::SeqCst) {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        Ok(())
    }
}

/// The open connections by the caller's address. Clones share the map.
#[derive(Debug, Clone, Default)]
pub struct CallerConnections {
    open: Arc<Mutex<IndexMap<SocketAddr, Arc<CallerConnection>>>>,
}

impl CallerConnections {
    /// Returns the connection from `remote`, if it was accepted by a [`Listener`].
    #[must_use]
    pub fn find(&self, remote: &Addr) -> Option<Arc<CallerConnection>> {
        let Addr::SocketAddr(remote) = remote else {
            return None;
        };
        self.open.lock().get(remote).cloned()
    }

    fn register(&self, remote: SocketAddr) -> Arc<CallerConnection> {
        let caller = Arc::new(CallerConnection::default());
        self.open.lock().insert(remote, caller.clone());
        caller
    }

    fn remove(&self, remote: SocketAddr, caller: &Arc<CallerConnection>) {
        let mut open = self.open.lock();
        let is_same = open
            .get(&remote)
            .is_some_and(|found| Arc::ptr_eq(found, caller));
        if is_same {
            open.swap_remove(&remote);
        }
    }
}

/// Accepts callers' connections for a [`crate::Forward`].
#[derive(Debug)]
pub struct Listener<A> {
    inner: A,
    timer: Timer,
    callers: CallerConnections,
}

impl<A> Listener<A> {
    /// Creates a listener that accepts with `inner` and registers each connection in `callers`.
    #[must_use]
    pub fn new(inner: A, timer: Timer, callers: CallerConnections) -> Self {
        Self {
            inner,
            timer,
            callers,
        }
    }
}

impl<A: Acceptor> Acceptor for Listener<A> {
    type Io = Io<A::Io>;

    fn local_addr(&self) -> Vec<LocalAddr> {
        self.inner.local_addr()
    }

    async fn accept(&mut self) -> io::Result<(Self::Io, LocalAddr, RemoteAddr, Scheme)> {
        let (inner, local, remote, scheme) = self.inner.accept().await?;
        let caller_entry = match &remote.0 {
            Addr::SocketAddr(address) => Some((*address, self.callers.register(*address))),
            _ => None,
        };
        let io = Io {
            inner,
            caller_entry,
            timer: self.timer.clone(),
            callers: self.callers.clone(),
            linger_remaining: None,
        };
        Ok((io, local, remote, scheme))
    }
}

/// The byte stream of one connection.
#[derive(Debug)]
pub struct Io<T> {
    inner: T,
    caller_entry: Option<(SocketAddr, Arc<CallerConnection>)>,
    timer: Timer,
    callers: CallerConnections,
    linger_remaining: Option<usize>,
}

impl<T> Io<T> {
    /// Starts the timer that ends lingering.
    fn start_linger(&self) {
        let Some((_, caller)) = &self.caller_entry else {
            return;
        };
        let (caller, timer) = (Arc::downgrade(caller), self.timer.clone());
        tokio::spawn(async move {
            timer.sleep(LINGER_TIMEOUT).await;
            if let Some(caller) = caller.upgrade() {
                caller.end_linger();
            }
        });
    }

    /// Returns whether lingering on a closing connection must end.
    fn is_linger_over(&self, cx: &Context<'_>) -> bool {
        let Some(caller) = self.caller() else {
            return true;
        };
        caller.read_waker.register(cx.waker());
        caller.ensure_not_aborted().is_err() || caller.linger_ended.load(Ordering::SeqCst)
    }

    fn caller(&self) -> Option<&CallerConnection> {
        self.caller_entry
            .as_ref()
            .map(|(_, caller)| caller.as_ref())
    }

    fn check_writable(&self, cx: &Context<'_>) -> io::Result<()> {
        let Some(caller) = self.caller() else {
            return Ok(());
        };
        caller.write_waker.register(cx.waker());
        caller.ensure_not_aborted()
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for Io<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.inner).poll_read(cx, buffer);
        let ended = match &read {
            Poll::Ready(Ok(())) => buffer.filled().len() == before,
            Poll::Ready(Err(_)) => true,
            Poll::Pending => false,
        };
        if ended && let Some(caller) = self.caller() {
            caller.mark_gone();
        }
        read
    }
}

impl<T: AsyncRead + AsyncWrite + Unpin> AsyncWrite for Io<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check_writable(cx)?;
        Pin::new(&mut self.inner).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check_writable(cx)?;
        Pin::new(&mut self.inner).poll_write_vectored(cx, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.check_writable(cx)?;
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let Some(mut remaining) = self.linger_remaining else {
            ready!(Pin::new(&mut self.inner).poll_shutdown(cx))?;
            self.linger_remaining = Some(LINGER_BYTES);
            self.start_linger();
            return self.poll_shutdown(cx);
        };
        while remaining > 0 && !self.is_linger_over(cx) {
            let mut part = [0; LINGER_READ_BYTES];
            let mut part = ReadBuf::new(&mut part);
            let read = ready!(Pin::new(&mut self.inner).poll_read(cx, &mut part));
            if read.is_err() || part.filled().is_empty() {
                break;
            }
            remaining = remaining.saturating_sub(part.filled().len());
            self.linger_remaining = Some(remaining);
        }
        Poll::Ready(Ok(()))
    }
}

impl<T> Drop for Io<T> {
    fn drop(&mut self) {
        if let Some((remote, caller)) = self.caller_entry.take() {
            caller.mark_gone();
            self.callers.remove(remote, &caller);
        }
    }
}
