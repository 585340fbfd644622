//! Connections that are being opened, also after the send that wanted them gave up.

use std::{io, net::SocketAddr};

use parking_lot::Mutex;
use sg_clock::Timer;
use sg_types::prelude::*;
use tokio::{
    net::{TcpSocket, TcpStream},
    task::JoinHandle,
};

use super::SendError;

/// Addresses whose late connections are waited for, at most one connection each.
pub(super) type Awaited = Arc<Mutex<IndexSet<SocketAddr>>>;

/// Connection that is being opened. Dropping it ends the attempt.
#[derive(Debug)]
pub struct Opening {
    address: SocketAddr,
    started: Instant,
    task: JoinHandle<io::Result<TcpStream>>,
    /// Where the address is noted while the connection is late.
    awaited: Option<Awaited>,
}

impl Drop for Opening {
    fn drop(&mut self) {
        self.task.abort();
        if let Some(awaited) = &self.awaited {
            awaited.lock().swap_remove(&self.address);
        }
    }
}

impl Opening {
    /// Starts to connect `socket` to `address`.
    pub(super) fn start(timer: &Timer, socket: TcpSocket, address: SocketAddr) -> Self {
        Self {
            address,
            started: timer.now(),
            task: tokio::spawn(socket.connect(address)),
            awaited: None,
        }
    }

    /// Returns when the attempt started.
    #[must_use]
    pub fn started(&self) -> Instant {
        self.started
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits until the connection is open, at most until `timeout` after the start of the attempt.
    /// Returns `None` if it is not; only then the connection may be waited for again.
    pub(super) async fn wait(
        &mut self,
        timer: &Timer,
        timeout: Span,
    ) -> Option<io::Result<TcpStream>> {
        let opened = timer.until(self.started + timeout, &mut self.task).await;
        let opened = opened.ok()?;
        Some(opened.unwrap_or_else(|error| Err(io::Error::other(error))))
    }

    /// Returns the error of a send for which the connection is late, with the connection unless another one to the
    /// address is late already.
    pub(super) fn into_late(mut self, awaited: &Awaited) -> SendError {
        let started = self.started;
        let is_only = awaited.lock().insert(self.address);
        self.awaited = is_only.then(|| awaited.clone());
        let opening = is_only.then_some(self);
        SendError::Late { started, opening }
    }
}
