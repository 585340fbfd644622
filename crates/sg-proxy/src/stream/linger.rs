//! Closes connections that callers may still send on.

use std::{io, net::Shutdown};

use sg_types::prelude::*;
use socket2::SockRef;

use super::{READ_SIZE, Socket, Unread};

/// Time without bytes from the caller after which a lingering connection without unread bytes closes: some round trips between
/// regions, in which the caller sees the end of the stream and closes its side.
const LINGER_IDLE: Span = Span::from_secs(1);
/// Maximum time for which a connection lingers while the caller still sends or reads a large response, or bytes
/// lie unread, unless the time of its request is longer.
const LINGER_TIME: Span = Span::from_secs(5);
/// Maximum number of bytes of a body that a lingering connection discards.
const LINGER_BYTES: u64 = 16 << 20;
/// Maximum number of reads that discard bytes before other tasks run.
const DISCARDS_PER_TURN: usize = 16;
/// Size of a response from which a lingering connection waits for a caller that reads slowly. The receive
/// buffer of a caller takes a smaller response at once.
const LARGE_RESPONSE_BYTES: u64 = 16 << 10;

/// Rest of a body that a lingering connection discards.
#[derive(Debug)]
struct Rest {
    /// Bytes of the body that were not read.
    unread: u64,
    /// Bytes that may still be discarded.
    allowed: u64,
}

impl Socket {
    /// Closes the connection: ends the stream to the caller, then waits until the caller closes its side.
    /// Closing the socket with unread bytes resets the connection and drops the part of the response that is
    /// in transit.
    ///
    /// The rest of a request's body is discarded, because the caller may read the response only behind it.
    /// Nothing else is read: nobody would respond to a further request.
    pub async fn linger(&self) {
        let (is_over, unread, mut is_patient, until) = {
            let mut state = self.state.lock();
            let unread = state.progress.unread_body();
            state.progress.ahead.clear();
            self.hold.shrink(std::mem::take(&mut state.charged));
            let progress = &state.progress;
            let is_large = progress.written() >= LARGE_RESPONSE_BYTES;
            let is_patient = is_large || progress.is_crossed;
            (progress.end.is_some(), unread, is_patient, progress.until())
        };
        let shut_down = SockRef::from(&self.stream).shutdown(Shutdown::Write);
        if is_over || shut_down.is_err() {
            return;
        }
        let mut rest = Rest {
            unread,
            allowed: LINGER_BYTES,
        };
        let limit = self.timer.now() + LINGER_TIME;
        loop {
            let wait_limit = match is_patient {
                true => until.max(limit),
                false => (self.timer.now() + LINGER_IDLE).min(limit),
            };
            let readable = self.timer.until(wait_limit, self.stream.readable()).await;
            if !matches!(readable, Ok(Ok(()))) {
                return;
            }
            if rest.unread > 0 {
                if !self.discard(&mut rest) {
                    return;
                }
                // The socket stays ready while more bytes wait.
                tokio::task::yield_now().await;
                continue;
            }
            match self.find_unread() {
                Unread::End(_) => return,
                Unread::Bytes => {
                    // The close would reset the connection before a slow link has delivered the response.
                    is_patient = true;
                    self.state.lock().progress.is_crossed = true;
                }
                Unread::Nothing => {}
            }
        }
    }

    /// Discards received bytes of a body. Returns whether the connection has to linger on.
    fn discard(&self, rest: &mut Rest) -> bool {
        let mut scratch = [0; READ_SIZE];
        for _ in 0..DISCARDS_PER_TURN {
            let size = usize::try_from(rest.unread).map_or(READ_SIZE, |left| left.min(READ_SIZE));
            let count = match self.stream.try_read(&mut scratch[..size]) {
                Ok(0) => return rest.unread == 0,
                Ok(count) => count as u64,
                Err(error) => return error.kind() == io::ErrorKind::WouldBlock,
            };
            rest.unread = rest.unread.saturating_sub(count);
            rest.allowed = rest.allowed.saturating_sub(count);
            if rest.allowed == 0 {
                return false;
            }
        }
        true
    }
}
