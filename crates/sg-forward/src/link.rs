//! Tracks callers' connections: detects when a caller disconnects and aborts a connection whose
//! response must not appear complete.
//!
//! The HTTP server keeps a connection open after a body failed or the caller disconnected: it would
//! end a truncated response cleanly and continue work for nobody. A [`Listener`] wraps the
//! connections below the HTTP server to prevent both.

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
use http::uri::Scheme;
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
const LINGER: Span = Span::from_secs(1);
/// The size of one read while discarding.
const LINGER_PART: usize = 16 * 1024;

/// A caller's connection, shared by its exchanges.
#[derive(Debug, Default)]
pub struct Link {
    broken: AtomicBool,
    gone: AtomicBool,
    left: Notify,
    writer: AtomicWaker,
    lingered: AtomicBool,
    reader: AtomicWaker,
}

impl Link {
    /// Fails all further writes, so that the connection closes without a proper end of its
    /// response.
    pub fn break_off(&self) {
        self.broken.store(true, Ordering::SeqCst);
        self.writer.wake();
    }

    /// Waits until the caller closes its side.
    pub async fn gone(&self) {
        let left = self.left.notified();
        tokio::pin!(left);
        left.as_mut().enable();
        if !self.gone.load(Ordering::SeqCst) {
            left.await;
        }
    }

    fn end_linger(&self) {
        self.lingered.store(true, Ordering::SeqCst);
        self.reader.wake();
    }

    fn close(&self) {
        self.gone.store(true, Ordering::SeqCst);
        self.left.notify_waiters();
    }

    fn check(&self) -> io::Result<()> {
        if self.broken.load(Ordering::SeqCst) {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        Ok(())
    }
}

/// The open connections by the caller's address. Clones share the map.
#[derive(Debug, Clone, Default)]
pub struct Links {
    open: Arc<Mutex<IndexMap<SocketAddr, Arc<Link>>>>,
}

impl Links {
    /// Returns the connection from `remote`, if it was accepted by a [`Listener`].
    #[must_use]
    pub fn find(&self, remote: &Addr) -> Option<Arc<Link>> {
        let Addr::SocketAddr(remote) = remote else {
            return None;
        };
        self.open.lock().get(remote).cloned()
    }

    fn open(&self, remote: SocketAddr) -> Arc<Link> {
        let link = Arc::new(Link::default());
        self.open.lock().insert(remote, link.clone());
        link
    }

    fn close(&self, remote: SocketAddr, link: &Arc<Link>) {
        let mut open = self.open.lock();
        let same = open
            .get(&remote)
            .is_some_and(|found| Arc::ptr_eq(found, link));
        if same {
            open.swap_remove(&remote);
        }
    }
}

/// Accepts callers' connections for a [`crate::Forward`].
#[derive(Debug)]
pub struct Listener<A> {
    inner: A,
    timer: Timer,
    links: Links,
}

impl<A> Listener<A> {
    /// Creates a listener that accepts with `inner` and registers each connection in `links`.
    #[must_use]
    pub fn new(inner: A, timer: Timer, links: Links) -> Self {
        Self {
            inner,
            timer,
            links,
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
        let noted = match &remote.0 {
            Addr::SocketAddr(address) => Some((*address, self.links.open(*address))),
            _ => None,
        };
        let io = Io {
            inner,
            noted,
            timer: self.timer.clone(),
            links: self.links.clone(),
            linger: None,
        };
        Ok((io, local, remote, scheme))
    }
}

/// The byte stream of one connection.
#[derive(Debug)]
pub struct Io<T> {
    inner: T,
    noted: Option<(SocketAddr, Arc<Link>)>,
    timer: Timer,
    links: Links,
    linger: Option<usize>,
}

impl<T> Io<T> {
    /// Starts the timer that ends lingering.
    fn start_linger(&self) {
        let Some((_, link)) = &self.noted else {
            return;
        };
        let (link, timer) = (Arc::downgrade(link), self.timer.clone());
        tokio::spawn(async move {
            timer.sleep(LINGER).await;
            if let Some(link) = link.upgrade() {
                link.end_linger();
            }
        });
    }

    /// Returns whether lingering on a closing connection must end.
    fn is_linger_over(&self, cx: &Context<'_>) -> bool {
        let Some(link) = self.link() else {
            return true;
        };
        link.reader.register(cx.waker());
        link.check().is_err() || link.lingered.load(Ordering::SeqCst)
    }

    fn link(&self) -> Option<&Link> {
        self.noted.as_ref().map(|(_, link)| link.as_ref())
    }

    fn before_write(&self, cx: &Context<'_>) -> io::Result<()> {
        let Some(link) = self.link() else {
            return Ok(());
        };
        link.writer.register(cx.waker());
        link.check()
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
        if ended && let Some(link) = self.link() {
            link.close();
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
        self.before_write(cx)?;
        Pin::new(&mut self.inner).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.before_write(cx)?;
        Pin::new(&mut self.inner).poll_write_vectored(cx, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.before_write(cx)?;
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let Some(mut left) = self.linger else {
            ready!(Pin::new(&mut self.inner).poll_shutdown(cx))?;
            self.linger = Some(LINGER_BYTES);
            self.start_linger();
            return self.poll_shutdown(cx);
        };
        while left > 0 && !self.is_linger_over(cx) {
            let mut part = [0; LINGER_PART];
            let mut part = ReadBuf::new(&mut part);
            let read = ready!(Pin::new(&mut self.inner).poll_read(cx, &mut part));
            if read.is_err() || part.filled().is_empty() {
                break;
            }
            left = left.saturating_sub(part.filled().len());
            self.linger = Some(left);
        }
        Poll::Ready(Ok(()))
    }
}

impl<T> Drop for Io<T> {
    fn drop(&mut self) {
        if let Some((remote, link)) = self.noted.take() {
            link.close();
            self.links.close(remote, &link);
        }
    }
}
