//! Sends one request to one target, once.

use std::net::SocketAddr;

use bytes::Bytes as Content;
use http::{HeaderMap, Method};
use parking_lot::RwLock;
use reqwest::{Client, Url, redirect, retry};
use sg_clock::Timer;
use sg_types::prelude::*;

use crate::history::Step;

/// Connect timeouts that clients are kept for; a tree has few.
const MOST_CLIENTS: usize = 32;
/// How long a connection stays in the pool without work, in seconds.
const IDLE: Span = Span::from_secs(15);
/// Idle connections kept to one target.
const MOST_IDLE: usize = 64;
/// How long a connection is idle before the kernel asks whether the other end is there.
const KEEPALIVE: Span = Span::from_secs(5);

/// Which connection an attempt uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Connection {
    /// One of the pool, or a new one.
    Pooled,
    /// A new one that is closed afterwards.
    Fresh,
}

/// A request as it goes to a target.
#[derive(Debug, Clone)]
pub struct Outgoing {
    /// The method.
    pub method: Method,
    /// The URL; its host is set for each attempt.
    pub url: Url,
    /// The headers, stripped.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Content,
}

/// The HTTP clients, one pair for each connect timeout.
#[derive(Debug, Default)]
pub struct Clients {
    pairs: RwLock<IndexMap<Span, Pair>>,
}

#[derive(Debug, Clone)]
struct Pair {
    pooled: Client,
    fresh: Client,
}

impl Clients {
    /// Sends `outgoing` to `address` and waits for the answer's head until `deadline`.
    ///
    /// # Errors
    /// [`Step::ConnectFailed`] only if no byte left; else [`Step::Lost`] or [`Step::Silent`].
    pub async fn send(
        &self,
        timer: &Timer,
        connection: Connection,
        connect_timeout: Span,
        address: SocketAddr,
        outgoing: &Outgoing,
        deadline: Instant,
    ) -> Result<reqwest::Response, Step> {
        let client = self.client(connection, connect_timeout)?;
        let request = outgoing.to(address).ok_or(Step::ConnectFailed)?;
        match timer.until(deadline, client.execute(request)).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(error)) if error.is_connect() => Err(Step::ConnectFailed),
            Ok(Err(_)) => Err(Step::Lost),
            Err(_) => Err(Step::Silent),
        }
    }

    fn client(&self, connection: Connection, connect_timeout: Span) -> Result<Client, Step> {
        let known = self.pairs.read().get(&connect_timeout).cloned();
        let pair = match known {
            Some(pair) => pair,
            None => self.add(connect_timeout).map_err(|_| Step::ConnectFailed)?,
        };
        Ok(match connection {
            Connection::Pooled => pair.pooled,
            Connection::Fresh => pair.fresh,
        })
    }

    fn add(&self, connect_timeout: Span) -> reqwest::Result<Pair> {
        let pair = Pair {
            pooled: client(connect_timeout, MOST_IDLE)?,
            fresh: client(connect_timeout, 0)?,
        };
        let mut pairs = self.pairs.write();
        if pairs.len() >= MOST_CLIENTS {
            pairs.clear();
        }
        Ok(pairs.entry(connect_timeout).or_insert(pair).clone())
    }
}

/// A client that sends each request once: no redirects, proxies, retries or decompression.
fn client(connect_timeout: Span, idle: usize) -> reqwest::Result<Client> {
    Client::builder()
        .redirect(redirect::Policy::none())
        .retry(retry::never())
        .no_proxy()
        .http1_only()
        .referer(false)
        .connect_timeout(connect_timeout.into())
        .pool_max_idle_per_host(idle)
        .pool_idle_timeout(std::time::Duration::from(IDLE))
        .tcp_nodelay(true)
        .tcp_keepalive(std::time::Duration::from(KEEPALIVE))
        .build()
}

impl Outgoing {
    fn to(&self, address: SocketAddr) -> Option<reqwest::Request> {
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

/// The URL of a request whose host is not chosen yet; `None` if `path` would not reach the target as
/// it stands: dot segments and backslashes are read differently by different programs.
#[must_use]
pub fn url(path: &str) -> Option<Url> {
    let plain = path.split('?').next().unwrap_or_default();
    if plain.contains('\\') || plain.split('/').any(is_dots) {
        return None;
    }
    let mut text = String::with_capacity(PLACEHOLDER.len() + path.len());
    text.push_str(PLACEHOLDER);
    text.push_str(path);
    Url::parse(&text).ok()
}

const PLACEHOLDER: &str = "http://127.0.0.1:1";

/// Whether a path's segment is one or two dots, plain or percent-encoded.
fn is_dots(segment: &str) -> bool {
    const LONGEST: usize = "%2e%2e".len();
    if segment.is_empty() || segment.len() > LONGEST {
        return false;
    }
    let plain = segment.to_ascii_lowercase().replace("%2e", ".");
    plain == "." || plain == ".."
}
