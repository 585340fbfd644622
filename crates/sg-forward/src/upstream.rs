//! Sends one request to one target, once.

use std::{
    hash::Hash,
    net::SocketAddr,
    sync::atomic::{AtomicBool, Ordering},
};

use bytes::Bytes as Content;
use http::{HeaderMap, Method};
use parking_lot::RwLock;
use reqwest::{Client, Url, redirect, retry};
use sg_clock::Timer;
use sg_types::prelude::*;

use crate::{headers, history::Failure};

/// The largest number of clients kept, each for one target and connect timeout.
const MAX_CLIENTS: usize = 16_384;
/// How long an idle connection stays in the pool. The short time makes it likely that a connection
/// that went silent while idle is closed before a request is lost on it; a new connection costs one
/// round trip.
const POOL_IDLE_TIMEOUT: Span = Span::from_secs(1);
/// The largest number of idle connections to one target.
const MAX_IDLE_PER_TARGET: usize = 64;
/// How long a connection is idle before the kernel probes the peer.
const TCP_KEEPALIVE: Span = Span::from_secs(5);

/// The kind of connection that an attempt uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Connection {
    /// A pooled connection, or a new one if the pool is empty.
    Pooled,
    /// A new connection that is closed afterwards.
    Fresh,
}

/// A request in the form in which a target receives it.
#[derive(Debug, Clone)]
pub struct Outgoing {
    /// The method.
    pub method: Method,
    /// The URL; its host is set for each attempt.
    pub url: Url,
    /// The headers without those that must not reach a target.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Content,
}

/// The connections to one target.
#[derive(Debug, Clone)]
struct Pool {
    client: Client,
    /// Whether the target has named a request in a response.
    names_requests: Arc<AtomicBool>,
}

impl Pool {
    fn new(client: Client) -> Self {
        Self {
            client,
            names_requests: Arc::default(),
        }
    }

    /// Returns whether `response` may belong to the request in flight. A late copy of an earlier response that
    /// names no request can be told only from a target that names them.
    fn admits(&self, response: &reqwest::Response) -> bool {
        let is_named = response.headers().contains_key(headers::REQUEST_ID);
        let names_requests = self.names_requests.fetch_or(is_named, Ordering::Relaxed);
        is_named || !names_requests
    }
}

/// The HTTP clients: a connection pool for each target, and one client without a pool for each
/// connect timeout.
#[derive(Debug, Default)]
pub struct Clients {
    pooled: RwLock<IndexMap<(SocketAddr, Span), Pool>>,
    fresh: RwLock<IndexMap<Span, Client>>,
}

impl Clients {
    /// Sends `outgoing` to `address` and waits for the response head until `deadline`.
    ///
    /// # Errors
    /// [`Failure::ConnectFailed`] only if no byte was sent; else [`Failure::ConnectionLost`],
    /// [`Failure::NoProgress`], or [`Failure::Invalid`] for a response that names no request although the
    /// target names requests.
    pub async fn send(
        &self,
        timer: &Timer,
        connection: Connection,
        connect_timeout: Span,
        address: SocketAddr,
        outgoing: &Outgoing,
        deadline: Instant,
    ) -> Result<reqwest::Response, Failure> {
        let pool = match connection {
            Connection::Pooled => self.pooled(address, connect_timeout),
            Connection::Fresh => self.fresh(connect_timeout).map(Pool::new),
        };
        let pool = pool.map_err(|_| Failure::ConnectFailed)?;
        let request = outgoing.request_to(address).ok_or(Failure::ConnectFailed)?;
        let sending = std::pin::pin!(pool.client.execute(request));
        match timer.until(deadline, sending).await {
            Ok(Ok(response)) if pool.admits(&response) => Ok(response),
            Ok(Ok(_)) => Err(Failure::Invalid),
            Ok(Err(error)) if error.is_connect() => Err(Failure::ConnectFailed),
            Ok(Err(_)) => Err(Failure::ConnectionLost),
            Err(_) => Err(Failure::NoProgress),
        }
    }

    /// Discards the pooled connections to `address`. Called after one of them went silent, because
    /// the same fault may affect all of them.
    pub fn discard_pool(&self, address: SocketAddr, connect_timeout: Span) {
        self.pooled.write().swap_remove(&(address, connect_timeout));
    }

    fn pooled(&self, address: SocketAddr, connect_timeout: Span) -> reqwest::Result<Pool> {
        let key = (address, connect_timeout);
        get_or_create(&self.pooled, key, || {
            build_client(connect_timeout, MAX_IDLE_PER_TARGET).map(Pool::new)
        })
    }

    fn fresh(&self, connect_timeout: Span) -> reqwest::Result<Client> {
        get_or_create(&self.fresh, connect_timeout, || {
            build_client(connect_timeout, 0)
        })
    }
}

/// Returns the client for `key`, creating the client if there is none.
fn get_or_create<K: Eq + Hash, C: Clone>(
    clients: &RwLock<IndexMap<K, C>>,
    key: K,
    create: impl FnOnce() -> reqwest::Result<C>,
) -> reqwest::Result<C> {
    if let Some(client) = clients.read().get(&key) {
        return Ok(client.clone());
    }
    let client = create()?;
    let mut clients = clients.write();
    if clients.len() >= MAX_CLIENTS {
        clients.clear();
    }
    Ok(clients.entry(key).or_insert(client).clone())
}

/// Builds a client that sends each request once: no redirects, proxies, retries or decompression.
fn build_client(connect_timeout: Span, max_idle: usize) -> reqwest::Result<Client> {
    Client::builder()
        .redirect(redirect::Policy::none())
        .retry(retry::never())
        .no_proxy()
        .http1_only()
        .referer(false)
        .connect_timeout(connect_timeout.into())
        .pool_max_idle_per_host(max_idle)
        .pool_idle_timeout(std::time::Duration::from(POOL_IDLE_TIMEOUT))
        .tcp_nodelay(true)
        .tcp_keepalive(std::time::Duration::from(TCP_KEEPALIVE))
        .build()
}

impl Outgoing {
    fn request_to(&self, address: SocketAddr) -> Option<reqwest::Request> {
        let mut url = self.url.clone();
        url.set_ip_host(address.ip()).ok()?;
        url.set_port(Some(address.port())).ok()?;
        let mut request = reqwest::Request::new(self.method.clone(), url);
        *request.headers_mut() = self.headers.clone();
        if !self.body.is_empty() {
            *request.body_mut() = Some(self.body.clone().into());
        }
        Some(request)
    }
}

/// Returns the URL of a request whose host is not chosen yet. `path` must have passed
/// [`crate::canonical::path`], so that it reaches the target unchanged.
#[must_use]
pub fn url(path: &str) -> Option<Url> {
    let mut text = String::with_capacity(PLACEHOLDER_ORIGIN.len() + path.len());
    text.push_str(PLACEHOLDER_ORIGIN);
    text.push_str(path);
    Url::parse(&text).ok()
}

const PLACEHOLDER_ORIGIN: &str = "http://127.0.0.1:1";
