//! Client of the JSON gateway of the etcd v3 API.

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

/// Options of the client.
#[derive(Debug, Clone)]
pub struct Options {
    /// Addresses of the store. Calls try the same address first until it fails, then the next one.
    pub addresses: Vec<SocketAddr>,
    /// Timeout of connection attempts.
    pub connect_timeout: Span,
    /// Timeout of a call until the head of its response, including the connection attempt, and the longest pause in
    /// the rest of the response.
    pub timeout: Span,
}

impl Options {
    /// Returns the default options for a store at `addresses`.
    #[must_use]
    pub fn new(addresses: impl Into<Vec<SocketAddr>>) -> Self {
        Self {
            addresses: addresses.into(),
            connect_timeout: Span::from_secs(1),
            timeout: Span::from_secs(4),
        }
    }
}

/// Errors of creating a client.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The list of addresses is empty.
    #[error("no store address is given; set at least one in the settings")]
    NoAddress,
    /// The HTTP client could not be created.
    #[error("the HTTP client can't be created ({0}); check the limit on open files")]
    Client(#[from] reqwest::Error),
}

/// A client of the store. Clones share connections.
///
/// The client follows no redirects, uses no proxies and never retries a write by itself. A write is
/// sent to the next address only if the connection to the previous one could not be established.
#[derive(Debug, Clone)]
pub struct Client {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    http: reqwest::Client,
    options: Options,
    timer: Timer,
    /// Index of the address that calls try first.
    preferred: AtomicUsize,
}

impl Client {
    /// Creates a client. Does not connect to the store yet.
    ///
    /// # Errors
    /// Returns [`Error`] if there is no address or the HTTP client can't be created.
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
                preferred: AtomicUsize::new(0),
            }),
        })
    }

    /// Returns the addresses with their indices, starting with the preferred one.
    fn addresses(&self) -> impl Iterator<Item = (usize, SocketAddr)> + '_ {
        let addresses = &self.inner.options.addresses;
        let preferred = self.inner.preferred.load(Ordering::Relaxed);
        let indices = (0..addresses.len()).map(move |step| (preferred + step) % addresses.len());
        indices.map(|index| (index, addresses[index]))
    }

    /// Prefers the address after `index` from now on.
    fn prefer_after(&self, index: usize) {
        let next = (index + 1) % self.inner.options.addresses.len();
        self.inner.preferred.store(next, Ordering::Relaxed);
    }
}
