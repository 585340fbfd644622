//! Connection faults of a server: connections are reset or silenced, and the listener is closed.

use std::{net::SocketAddr, sync::Arc};

use indexmap::IndexMap;
use parking_lot::Mutex;
use poem::{
    http::uri::Scheme,
    listener::Acceptor,
    web::{LocalAddr, RemoteAddr},
};
use sg_types::time::Span;
use tokio::{
    io::{AsyncWriteExt, DuplexStream, copy, duplex, split},
    net::{TcpListener, TcpStream},
    sync::{Notify, watch},
    time,
};

/// The size of the buffer between a socket and the server behind it.
const BUFFER_BYTES: usize = 64 * 1024;

/// The time after which a silent connection is reset to release its socket.
const MAX_SILENCE: Span = Span::from_secs(120);

/// The delay between attempts to bind the listener again.
const REBIND_DELAY: Span = Span::from_millis(20);

/// The faults that apply to all connections of a server.
#[derive(Debug, Clone, Copy, Default)]
struct Faults {
    resets: u32,
    silences: u32,
    down: bool,
}

/// The signals of a connection.
#[derive(Debug, Default)]
struct Connection {
    reset: Notify,
    closed: watch::Sender<bool>,
}

#[derive(Debug)]
struct Inner {
    faults: watch::Sender<Faults>,
    open: Mutex<IndexMap<SocketAddr, Arc<Connection>>>,
}

impl Faults {
    /// Returns whether a connection that was accepted in state `start` has been reset or silenced
    /// since.
    fn breaks_since(&self, start: &Self) -> bool {
        self.resets != start.resets || self.silences != start.silences
    }
}

/// Injects connection faults into a server. Clones act on the same server.
#[derive(Debug, Clone)]
pub struct Switch(Arc<Inner>);

impl Switch {
    /// Creates a switch without faults.
    #[must_use]
    pub fn new() -> Self {
        Self(Arc::new(Inner {
            faults: watch::Sender::new(Faults::default()),
            open: Mutex::new(IndexMap::new()),
        }))
    }

    /// Resets every open connection.
    pub fn reset_all(&self) {
        self.0.faults.send_modify(|faults| faults.resets += 1);
    }

    /// Permanently stops traffic on every open connection without closing it. New connections work.
    pub fn silence(&self) {
        self.0.faults.send_modify(|faults| faults.silences += 1);
    }

    /// Closes the listener if `down` is set and binds it again otherwise.
    pub fn set_down(&self, down: bool) {
        self.0.faults.send_modify(|faults| faults.down = down);
    }

    /// Resets the connection of `peer`.
    pub fn reset(&self, peer: SocketAddr) {
        if let Some(connection) = self.0.open.lock().get(&peer) {
            connection.reset.notify_one();
        }
    }

    /// Waits until the connection of `peer` has closed.
    pub async fn wait_closed(&self, peer: SocketAddr) {
        let connection = self.0.open.lock().get(&peer).cloned();
        if let Some(connection) = connection {
            let mut closed = connection.closed.subscribe();
            let _ = closed.wait_for(|closed| *closed).await;
        }
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.0.open.lock().len()
    }
}

impl Default for Switch {
    fn default() -> Self {
        Self::new()
    }
}

/// Registers a connection with its switch; dropping the registration removes the connection.
struct Registration {
    switch: Switch,
    peer: SocketAddr,
    connection: Arc<Connection>,
}

impl Registration {
    fn new(switch: Switch, peer: SocketAddr) -> Self {
        let connection = Arc::new(Connection::default());
        switch.0.open.lock().insert(peer, connection.clone());
        Self {
            switch,
            peer,
            connection,
        }
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.switch.0.open.lock().swap_remove(&self.peer);
        self.connection.closed.send_replace(true);
    }
}

/// An acceptor whose listener and connections are controlled by a [`Switch`].
#[derive(Debug)]
pub struct Listener {
    address: SocketAddr,
    socket: Option<TcpListener>,
    switch: Switch,
}

impl Listener {
    /// Binds a listener to `address`.
    ///
    /// # Errors
    /// Returns the error of the operating system, for example if the address is in use.
    pub async fn bind(address: SocketAddr, switch: Switch) -> std::io::Result<Self> {
        let socket = TcpListener::bind(address).await?;
        Ok(Self {
            address: socket.local_addr()?,
            socket: Some(socket),
            switch,
        })
    }

    /// Returns the bound address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    async fn accept_socket(&mut self) -> std::io::Result<(TcpStream, SocketAddr)> {
        let mut faults = self.switch.0.faults.subscribe();
        loop {
            if faults.borrow_and_update().down {
                self.socket = None;
                let _ = faults.wait_for(|faults| !faults.down).await;
            }
            let Some(socket) = &self.socket else {
                self.socket = TcpListener::bind(self.address).await.ok();
                if self.socket.is_none() {
                    time::sleep(REBIND_DELAY.into()).await;
                }
                continue;
            };
            tokio::select! {
                biased;
                _ = faults.changed() => {}
                accepted = socket.accept() => return accepted,
            }
        }
    }
}

impl Acceptor for Listener {
    type Io = DuplexStream;

    fn local_addr(&self) -> Vec<LocalAddr> {
        vec![LocalAddr(self.address.into())]
    }

    async fn accept(&mut self) -> std::io::Result<(DuplexStream, LocalAddr, RemoteAddr, Scheme)> {
        let (socket, peer) = self.accept_socket().await?;
        let _ = socket.set_nodelay(true);
        let (server_end, relay_end) = duplex(BUFFER_BYTES);
        tokio::spawn(relay(
            socket,
            relay_end,
            Registration::new(self.switch.clone(), peer),
        ));
        Ok((
            server_end,
            LocalAddr(self.address.into()),
            RemoteAddr(peer.into()),
            Scheme::HTTP,
        ))
    }
}

/// Copies data between a socket and the server until either side closes or the switch breaks the
/// connection.
async fn relay(mut socket: TcpStream, mut server: DuplexStream, registration: Registration) {
    let mut faults = registration.switch.0.faults.subscribe();
    let initial = *faults.borrow_and_update();
    let silent = tokio::select! {
        biased;
        () = wait_until(&mut faults, |now| now.breaks_since(&initial)) => {
            let now = *faults.borrow();
            now.resets == initial.resets
        }
        () = registration.connection.reset.notified() => false,
        () = exchange(&mut socket, &mut server) => return,
    };
    if silent {
        hold_silent(&registration, initial).await;
    }
    let _ = socket.set_zero_linger();
}

/// Copies data in both directions until the peer disconnects or the server closes its side.
async fn exchange(socket: &mut TcpStream, server: &mut DuplexStream) {
    let (mut from_peer, mut to_peer) = socket.split();
    let (mut from_server, mut to_server) = split(server);
    tokio::select! {
        _ = copy(&mut from_peer, &mut to_server) => {}
        _ = copy(&mut from_server, &mut to_peer) => {
            let _ = to_peer.shutdown().await;
        }
    }
}

/// Keeps a silent connection open until it is reset or [`MAX_SILENCE`] has passed.
async fn hold_silent(registration: &Registration, initial: Faults) {
    let mut faults = registration.switch.0.faults.subscribe();
    tokio::select! {
        () = time::sleep(MAX_SILENCE.into()) => {}
        () = registration.connection.reset.notified() => {}
        () = wait_until(&mut faults, |now| now.resets != initial.resets) => {}
    }
}

/// Waits until the faults satisfy `condition`.
async fn wait_until(faults: &mut watch::Receiver<Faults>, condition: impl FnMut(&Faults) -> bool) {
    let _ = faults.wait_for(condition).await;
}
