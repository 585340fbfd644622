//! Connections that can be reset, go silent or find their listener gone.

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

/// The buffer between a socket and the server behind it, in bytes.
const BUFFER: usize = 64 * 1024;

/// How long a silent connection is held before its socket is given back.
const SILENT_HOLD: Span = Span::from_secs(120);

/// How long to wait before a listener is bound again after a failure.
const REBIND_PAUSE: Span = Span::from_millis(20);

/// What all connections of a server share.
#[derive(Debug, Clone, Copy, Default)]
struct Fate {
    cuts: u32,
    silences: u32,
    down: bool,
}

/// The signals of one connection.
#[derive(Debug, Default)]
struct Connection {
    reset: Notify,
    closed: watch::Sender<bool>,
}

#[derive(Debug)]
struct Inner {
    fate: watch::Sender<Fate>,
    open: Mutex<IndexMap<SocketAddr, Arc<Connection>>>,
}

impl Fate {
    /// Whether a connection that began at `start` is broken now.
    fn breaks(&self, start: &Self) -> bool {
        self.cuts != start.cuts || self.silences != start.silences
    }
}

/// Breaks the connections of one server. Clones act on the same server.
#[derive(Debug, Clone)]
pub struct Switch(Arc<Inner>);

impl Switch {
    /// A switch that breaks nothing yet.
    #[must_use]
    pub fn new() -> Self {
        Self(Arc::new(Inner {
            fate: watch::Sender::new(Fate::default()),
            open: Mutex::new(IndexMap::new()),
        }))
    }

    /// Resets every open connection.
    pub fn cut(&self) {
        self.0.fate.send_modify(|fate| fate.cuts += 1);
    }

    /// Lets every open connection go silent for good; new ones work.
    pub fn silence(&self) {
        self.0.fate.send_modify(|fate| fate.silences += 1);
    }

    /// Closes the listener, or binds it again.
    pub fn set_down(&self, down: bool) {
        self.0.fate.send_modify(|fate| fate.down = down);
    }

    /// Resets the connection of one peer.
    pub fn reset(&self, peer: SocketAddr) {
        if let Some(connection) = self.0.open.lock().get(&peer) {
            connection.reset.notify_one();
        }
    }

    /// Waits until the connection of one peer has ended.
    pub async fn closed(&self, peer: SocketAddr) {
        let connection = self.0.open.lock().get(&peer).cloned();
        if let Some(connection) = connection {
            let mut closed = connection.closed.subscribe();
            let _ = closed.wait_for(|closed| *closed).await;
        }
    }

    /// How many connections are open.
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

/// Removes a connection from its switch when the connection ends.
struct Place {
    switch: Switch,
    peer: SocketAddr,
    connection: Arc<Connection>,
}

impl Place {
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

impl Drop for Place {
    fn drop(&mut self) {
        self.switch.0.open.lock().swap_remove(&self.peer);
        self.connection.closed.send_replace(true);
    }
}

/// An acceptor whose connections and listener obey a [`Switch`].
#[derive(Debug)]
pub struct Listener {
    address: SocketAddr,
    socket: Option<TcpListener>,
    switch: Switch,
}

impl Listener {
    /// Binds `address`.
    ///
    /// # Errors
    /// The error of the system, for instance that the address is in use.
    pub async fn bind(address: SocketAddr, switch: Switch) -> std::io::Result<Self> {
        let socket = TcpListener::bind(address).await?;
        Ok(Self {
            address: socket.local_addr()?,
            socket: Some(socket),
            switch,
        })
    }

    /// The address that was bound.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    async fn next(&mut self) -> std::io::Result<(TcpStream, SocketAddr)> {
        let mut fate = self.switch.0.fate.subscribe();
        loop {
            if fate.borrow_and_update().down {
                self.socket = None;
                let _ = fate.wait_for(|fate| !fate.down).await;
            }
            let Some(socket) = &self.socket else {
                self.socket = TcpListener::bind(self.address).await.ok();
                if self.socket.is_none() {
                    time::sleep(REBIND_PAUSE.into()).await;
                }
                continue;
            };
            tokio::select! {
                biased;
                _ = fate.changed() => {}
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
        let (socket, peer) = self.next().await?;
        let _ = socket.set_nodelay(true);
        let (near, far) = duplex(BUFFER);
        tokio::spawn(relay(socket, far, Place::new(self.switch.clone(), peer)));
        Ok((
            near,
            LocalAddr(self.address.into()),
            RemoteAddr(peer.into()),
            Scheme::HTTP,
        ))
    }
}

/// Copies between a socket and the server until either ends or the switch breaks it.
async fn relay(mut socket: TcpStream, mut server: DuplexStream, place: Place) {
    let mut fate = place.switch.0.fate.subscribe();
    let at_start = *fate.borrow_and_update();
    let silent = tokio::select! {
        biased;
        () = until(&mut fate, |now| now.breaks(&at_start)) => {
            let now = *fate.borrow();
            now.cuts == at_start.cuts
        }
        () = place.connection.reset.notified() => false,
        () = exchange(&mut socket, &mut server) => return,
    };
    if silent {
        hold(&place, at_start).await;
    }
    let _ = socket.set_zero_linger();
}

/// Copies both ways until the peer goes away or the server has sent all that it will.
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

/// Keeps a silent connection open until a cut or the end of the hold.
async fn hold(place: &Place, at_start: Fate) {
    let mut fate = place.switch.0.fate.subscribe();
    tokio::select! {
        () = time::sleep(SILENT_HOLD.into()) => {}
        () = place.connection.reset.notified() => {}
        () = until(&mut fate, |now| now.cuts != at_start.cuts) => {}
    }
}

/// Waits until `wanted` holds.
async fn until(fate: &mut watch::Receiver<Fate>, wanted: impl FnMut(&Fate) -> bool) {
    let _ = fate.wait_for(wanted).await;
}
