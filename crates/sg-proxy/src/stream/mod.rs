//! Stream of a caller's connection.
//!
//! The HTTP library stops reading while it holds bytes of a further request, so that it does not notice the
//! end of the stream or a reset. [`Socket`] therefore reads ahead of the library into a bounded buffer, and
//! [`Stream`] is what the library reads from and writes to. [`Socket::watch`] reports why a connection has to
//! end before the library ends it, and [`Socket::linger`] closes a connection without the loss of data in
//! transit to the caller.
//!
//! A caller may repeat a request that got no response only if it was not read. Once the last response of a
//! connection is decided, nothing behind its request is read.

mod ahead;
mod chunks;
mod linger;
mod progress;

use std::{
    future::poll_fn,
    io::{self, IoSlice},
    mem::MaybeUninit,
    net::Shutdown,
    pin::{Pin, pin},
    task::{Context, Poll, Waker},
};

use hyper::rt::{Read, ReadBufCursor, Write};
use parking_lot::Mutex;
use sg_clock::Timer;
use sg_types::prelude::*;
use socket2::SockRef;
use tokio::{io::Interest, net::TcpStream};

use crate::memory::Hold;

pub use progress::{Arrival, Ending};
use progress::{Check, End, NextRead, Progress};

/// Maximum number of bytes that are read ahead of the HTTP library. The library holds one head or a piece of
/// a body besides.
const MAX_READ_AHEAD: usize = 32 << 10;
/// Bytes that are read ahead on every connection, part of the memory that each connection is charged with.
const UNCHARGED_READ_AHEAD: usize = 4 << 10;
/// Maximum number of bytes that the HTTP library takes at once. The library doubles its buffer, which starts with
/// 8 KiB, when it is filled, and keeps it for as long as the connection.
const MAX_TAKEN: usize = (8 << 10) - 1;
/// Maximum number of bytes per read.
const READ_SIZE: usize = 16 << 10;
/// Socket of a caller, shared by the HTTP library and the task of the connection.
#[derive(Debug)]
pub struct Socket {
    stream: TcpStream,
    hold: Arc<Hold>,
    timer: Timer,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    progress: Progress,
    /// Bytes that the buffer is charged with beyond those of every connection.
    charged: Bytes,
    /// Waker of the task of the connection since the HTTP library last waited for bytes.
    reader: Option<Waker>,
    /// Whether the end of the connection would end the response that is being written.
    ends_by_close: bool,
    /// Whether the HTTP library has taken the last byte of the response.
    is_whole: bool,
}

/// What follows the bytes of a stream that were read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Unread {
    End(End),
    Bytes,
    Nothing,
}

impl Socket {
    /// Creates the socket of a connection that was just accepted and whose memory is charged to `hold`.
    #[must_use]
    pub fn new(stream: TcpStream, hold: Arc<Hold>, timer: Timer) -> Arc<Self> {
        let state = State {
            progress: Progress::new(timer.now()),
            charged: Bytes::new(0),
            reader: None,
            ends_by_close: false,
            is_whole: false,
        };
        Arc::new(Self {
            stream,
            hold,
            timer,
            state: Mutex::new(state),
        })
    }

    /// Returns the hold that the memory of the connection is charged to.
    #[must_use]
    pub fn hold(&self) -> &Arc<Hold> {
        &self.hold
    }

    /// Records that the HTTP library handed over a request whose body has `length` bytes, if that is known.
    pub fn start_request(&self, length: Option<u64>) -> Arrival {
        let now = self.timer.now();
        self.state.lock().progress.start_request(length, now)
    }

    /// Records that the response is ready, and whether it is in memory. The caller may take until `until` to
    /// read it. If the caller takes the end of the connection for that of the response, the connection is
    /// reset unless the response is written completely.
    #[must_use]
    pub fn start_response(
        self: &Arc<Self>,
        until: Option<Instant>,
        is_received: bool,
        ends_by_close: bool,
    ) -> Delivery {
        let until = until.unwrap_or_else(|| self.timer.now());
        let mut state = self.state.lock();
        state.is_whole = false;
        state.ends_by_close = ends_by_close;
        state.progress.start_response(until, is_received);
        if ends_by_close {
            self.reset_on_close();
        }
        Delivery(self.clone())
    }

    /// Returns whether the connection has to reset, because its response is not complete and its close would
    /// look like the end.
    pub fn must_reset(&self) -> bool {
        self.state.lock().ends_by_close
    }

    /// Passes the complete head of a request that begins `skipped` bytes behind the request in progress to
    /// `parse`, with the time at which the head was read.
    pub fn waiting_head<T>(
        &self,
        skipped: usize,
        parse: impl FnOnce(&[u8], Instant) -> T,
    ) -> Option<T> {
        let state = self.state.lock();
        let (head, read_at) = state.progress.ahead.waiting_head(skipped)?;
        Some(parse(head, read_at))
    }

    /// Returns whether a request was read that the HTTP library has not reached.
    pub fn has_waiting_request(&self) -> bool {
        self.state.lock().progress.ahead.has_waiting_request()
    }

    /// Records that the connection closes with the responses to the requests that were read. Of what the caller
    /// sends on, only the rest of a body is read.
    pub fn end_requests(&self) {
        self.state.lock().progress.end_requests();
    }

    /// Returns whether the connection closes with the responses to the requests that were read.
    pub fn is_ending(&self) -> bool {
        self.state.lock().progress.is_last
    }

    /// Records that what the caller sends on can't be told apart into requests.
    pub fn end_framing(&self) {
        self.state.lock().progress.end_framing();
    }

    /// Returns whether the connection closes with a response that is written now, because the rest of the
    /// request's body is due.
    pub fn is_body_due(&self) -> bool {
        self.state.lock().progress.ahead.is_body_due()
    }

    /// Returns whether the caller sent on behind the last request, which is left unread.
    pub fn is_crossed(&self) -> bool {
        self.state.lock().progress.is_crossed
    }

    /// Returns whether the connection was reset while a request was handled.
    pub fn is_request_lost(&self) -> bool {
        self.state.lock().progress.is_request_lost()
    }

    /// Reads ahead and waits until the connection has to end. `head_timeout` is the time in which the head of
    /// a request has to be complete.
    pub async fn watch(&self, head_timeout: impl Fn() -> Span) -> Ending {
        loop {
            let next = self.state.lock().progress.next_check(&head_timeout);
            match next {
                Some((at, Check::End(ending))) if at <= self.timer.now() => return ending,
                Some((at, Check::Probe)) if at <= self.timer.now() => {
                    self.probe();
                    continue;
                }
                _ => {}
            }
            let changed = poll_fn(|cx| {
                let mut state = self.state.lock();
                self.poll_read_ahead(&mut state, cx);
                match state.progress.next_check(&head_timeout) == next {
                    true => Poll::Pending,
                    false => Poll::Ready(()),
                }
            });
            let check_time = async {
                match next {
                    Some((at, _)) => self.timer.sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                biased;
                () = changed => {}
                () = check_time => {}
            }
        }
    }

    /// Makes the close of the socket drop the data that the caller has not read.
    pub fn reset_on_close(&self) {
        if let Err(error) = self.stream.set_zero_linger() {
            log::debug!(error:% = error; "caller's connection not reset");
        }
    }

    /// Reads into the buffer until the socket has no more bytes, the buffer is full or no more may be read.
    fn poll_read_ahead(&self, state: &mut State, cx: &mut Context<'_>) {
        let progress = &mut state.progress;
        while progress.end.is_none() {
            let max = match progress.next_read() {
                NextRead::UpTo(max) => max,
                NextRead::OnlyEnd => return self.poll_end(progress, cx),
            };
            let room = self.room(progress.ahead.len(), &mut state.charged);
            progress.is_full = room == 0;
            if progress.is_full {
                return;
            }
            let Poll::Ready(ready) = self.stream.poll_read_ready(cx) else {
                return;
            };
            let mut scratch = [0; READ_SIZE];
            let scratch = &mut scratch[..room.min(READ_SIZE).min(max)];
            let read = ready.and_then(|()| self.stream.try_read(scratch));
            let now = self.timer.now();
            match read {
                Ok(0) => progress.record_end(End::Closed(now)),
                Ok(count) => progress.ahead.push(&scratch[..count], now),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => progress.record_end(End::Reset(now)),
            }
        }
    }

    /// Returns how many bytes may be read to those that the buffer has. A full buffer is charged to the memory
    /// budget while it has more bytes than every connection may have.
    fn room(&self, length: usize, charged: &mut Bytes) -> usize {
        if length < UNCHARGED_READ_AHEAD {
            if charged.get() > 0 && length == 0 {
                self.hold.shrink(*charged);
                *charged = Bytes::new(0);
            }
            if charged.get() == 0 {
                return UNCHARGED_READ_AHEAD - length;
            }
        } else if charged.get() == 0 {
            // Without memory, the socket is checked at an interval as if the buffer was full.
            let bytes = Bytes::new(MAX_READ_AHEAD as u64);
            if self.hold.grow(bytes).is_err() {
                return 0;
            }
            *charged = bytes;
        }
        MAX_READ_AHEAD.saturating_sub(length)
    }

    /// Waits for the end of the stream without a read.
    fn poll_end(&self, progress: &mut Progress, cx: &mut Context<'_>) {
        progress.is_full = false;
        while let Poll::Ready(Ok(())) = self.stream.poll_read_ready(cx) {
            match self.find_unread() {
                Unread::End(end) => return progress.record_end(end),
                Unread::Bytes => progress.is_crossed = true,
                Unread::Nothing => {}
            }
        }
    }

    /// Returns what follows the bytes that were read. The socket becomes readable again only with more bytes or
    /// the end of the stream.
    fn find_unread(&self) -> Unread {
        // Cleared before the check, so that what arrives after the check wakes the task.
        let unread = || Err::<(), _>(io::ErrorKind::WouldBlock.into());
        // The error is the one that is passed in.
        let _ = self.stream.try_io(Interest::READABLE, unread);
        if let Some(end) = self.find_end() {
            return Unread::End(end);
        }
        // Not every system reports the end of the stream apart from its bytes.
        let next = SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]);
        match next {
            Ok(0) => Unread::End(End::Closed(self.timer.now())),
            Ok(_) => Unread::Bytes,
            Err(_) => Unread::Nothing,
        }
    }

    /// Checks whether the caller has closed its side behind bytes that do not fit into the buffer.
    fn probe(&self) {
        let end = self.find_end();
        let progress = &mut self.state.lock().progress;
        progress.record_probe(self.timer.now());
        if let Some(end) = end {
            progress.record_end(end);
        }
    }

    /// Returns the end of the stream behind bytes that may be unread.
    fn find_end(&self) -> Option<End> {
        let is_reset = !matches!(self.stream.take_error(), Ok(None));
        // The state is available without a wait.
        let ready = pin!(self.stream.ready(Interest::READABLE))
            .poll(&mut Context::from_waker(Waker::noop()));
        let is_closed = matches!(ready, Poll::Ready(Ok(ready)) if ready.is_read_closed());
        // A connection that was reset has no peer any more.
        let is_gone = self.stream.peer_addr().is_err();
        let now = self.timer.now();
        if is_reset || is_gone {
            return Some(End::Reset(now));
        }
        is_closed.then_some(End::Closed(now))
    }

    /// Records the result of a write.
    fn record_write(&self, written: &Poll<io::Result<usize>>) {
        let now = self.timer.now();
        let progress = &mut self.state.lock().progress;
        match written {
            Poll::Ready(Ok(count)) => progress.record_written(*count),
            Poll::Ready(Err(_)) => progress.record_end(End::Reset(now)),
            Poll::Pending => progress.record_stall(now),
        }
    }

    fn poll_write_with(
        &self,
        cx: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        let written = loop {
            match self.stream.poll_write_ready(cx) {
                Poll::Pending => break Poll::Pending,
                Poll::Ready(Err(error)) => break Poll::Ready(Err(error)),
                Poll::Ready(Ok(())) => {}
            }
            match write(&self.stream) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                written => break Poll::Ready(written),
            }
        };
        self.record_write(&written);
        written
    }
}

/// Guard of a response body that the HTTP library has not taken completely.
#[derive(Debug)]
pub struct Delivery(Arc<Socket>);

impl Delivery {
    /// Records that the library has taken the last byte of the body.
    pub fn set_whole(&self) {
        self.0.state.lock().is_whole = true;
    }
}

impl Drop for Delivery {
    fn drop(&mut self) {
        let mut state = self.0.state.lock();
        state.progress.end_body();
        // The library may have flushed the last bytes before it saw the end of the body.
        if let Some(reader) = &state.reader {
            reader.wake_by_ref();
        }
    }
}

/// The side of a [`Socket`] that the HTTP library uses.
#[derive(Debug)]
pub struct Stream(pub Arc<Socket>);

impl Read for Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let socket = &self.0;
        let mut state = socket.state.lock();
        socket.poll_read_ahead(&mut state, cx);
        if matches!(state.progress.end, Some(End::Reset(_))) {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        let max = buffer.remaining().min(MAX_TAKEN);
        let count = state
            .progress
            .ahead
            .take(max, |bytes| buffer.put_slice(bytes));
        if state.progress.ahead.is_endless() {
            let error = "the end of a request can't be found within the bounds";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, error)));
        }
        if count > 0 || state.progress.is_at_end() {
            return Poll::Ready(Ok(()));
        }
        state.reader = Some(cx.waker().clone());
        Poll::Pending
    }
}

impl Write for Stream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.0.poll_write_with(cx, |stream| stream.try_write(bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.0
            .poll_write_with(cx, |stream| stream.try_write_vectored(parts))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    /// The library flushes once it has written all of its bytes. The next request may be read if the response
    /// is complete.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        let now = self.0.timer.now();
        let mut state = self.0.state.lock();
        if !state.progress.end_response(now) {
            return Poll::Ready(Ok(()));
        }
        if let Some(reader) = &state.reader {
            reader.wake_by_ref();
        }
        if state.ends_by_close && state.is_whole {
            state.ends_by_close = false;
            SockRef::from(&self.0.stream).set_linger(None)?;
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The caller may be gone, which is no error of the response.
        let _ = SockRef::from(&self.0.stream).shutdown(Shutdown::Write);
        Poll::Ready(Ok(()))
    }
}
