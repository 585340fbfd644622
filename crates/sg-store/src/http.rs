//! The adapter over the JSON form of the etcd v3 interface.

mod call;
mod store;
mod watch;
mod wire;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use reqwest::redirect;
use sg_clock::Timer;
use sg_types::time::Span;

/// How the store is reached.
#[derive(Debug, Clone)]
pub struct Options {
    /// The store's addresses. The one that answered last is tried first.
    pub addresses: Vec<SocketAddr>,
    /// How long to wait for a connection.
    pub connect_timeout: Span,
    /// How long to wait for an answer, the connection included.
    pub timeout: Span,
}

impl Options {
    /// Options for a store at `addresses`, with the usual timeouts.
    #[must_use]
    pub fn new(addresses: impl Into<Vec<SocketAddr>>) -> Self {
        Self {
            addresses: addresses.into(),
            connect_timeout: Span::from_secs(1),
            timeout: Span::from_secs(4),
        }
    }
}

/// Why a client can't be made.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No address was given.
    #[error("the store has no address; name one or more in the settings")]
    NoAddress,
    /// The HTTP library refused its settings.
    #[error("the HTTP client can't be made ({0}); check the process's limits on open files")]
    Client(#[from] reqwest::Error),
}

/// A client of the store. Clones share connections.
///
/// It follows no redirects, uses no proxies and never repeats a write by itself. A write goes to
/// another address only if no connection to the one before could be made.
#[derive(Debug, Clone)]
pub struct Client {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    http: reqwest::Client,
    options: Options,
    timer: Timer,
    /// The place of the address that is tried first.
    first: AtomicUsize,
}

impl Client {
    /// Makes a client; connects to nothing yet.
    ///
    /// # Errors
    /// [`Error`] if there is no address or the HTTP library fails.
    pub fn new(options: Options, timer: Timer) -> Result<Self, Error> {
        if options.addresses.is_empty() {
            return Err(Error::NoAddress);
        }
        let http = reqwest::Client::builder()
            .redirect(redirect::Policy::none())
            .retry(reqwest::retry::never())
            .no_proxy()
            .http1_only()
            .tcp_nodelay(true)
            .connect_timeout(options.connect_timeout.into())
            .build()?;
        Ok(Self {
            inner: Arc::new(Inner {
                http,
                options,
                timer,
                first: AtomicUsize::new(0),
            }),
        })
    }

    /// The addresses, the one to try first in front, each with its place.
    fn addresses(&self) -> impl Iterator<Item = (usize, SocketAddr)> + '_ {
        let addresses = &self.inner.options.addresses;
        let first = self.inner.first.load(Ordering::Relaxed);
        let places = (0..addresses.len()).map(move |step| (first + step) % addresses.len());
        places.map(|place| (place, addresses[place]))
    }

    /// Tries another address first from now on.
    fn pass_over(&self, place: usize) {
        let next = (place + 1) % self.inner.options.addresses.len();
        self.inner.first.store(next, Ordering::Relaxed);
    }
}
