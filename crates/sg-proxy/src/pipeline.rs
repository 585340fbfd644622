//! Requests that are handled while earlier responses of their connection are still due.
//!
//! The load: a caller sends several requests without waiting for the responses, which go back in the order of
//! the requests. If each request began only after the response before it, the work of one would delay all
//! behind it. The HTTP library hands over one request at a time; [`Pipeline`] therefore starts the following
//! ones from the bytes that were read ahead, and hands their responses out when the library reaches them.

use std::{collections::VecDeque, fmt};

use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Uri, Version, header};
use tokio::task::JoinHandle;

use crate::memory::Hold;

/// Maximum number of requests of a connection that are handled ahead of the library.
pub const MAX_STARTED: usize = 8;
/// Maximum number of header fields of a request that is started early. A request with more fields waits for
/// its turn.
const MAX_FIELDS: usize = 64;

/// The head of a request without a body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Head {
    method: Method,
    uri: Uri,
    headers: HeaderMap,
}

impl Head {
    /// Parses a complete head. Returns `None` if the request may not be started early: it has a body, states
    /// something about the connection, or only the library can judge it.
    #[must_use]
    pub fn parse(bytes: &[u8]) -> Option<Self> {
        let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut parsed = httparse::Request::new(&mut fields);
        let httparse::Status::Complete(length) = parsed.parse(bytes).ok()? else {
            return None;
        };
        if length != bytes.len() || parsed.version != Some(1) {
            return None;
        }
        let method = parsed.method?.parse().ok()?;
        if method != Method::GET && method != Method::HEAD {
            return None;
        }
        let mut headers = HeaderMap::with_capacity(parsed.headers.len());
        for field in parsed.headers.iter() {
            let name = HeaderName::from_bytes(field.name.as_bytes()).ok()?;
            if concerns_connection(&name) {
                return None;
            }
            headers.append(name, HeaderValue::from_bytes(field.value).ok()?);
        }
        Some(Self {
            method,
            uri: parsed.path?.parse().ok()?,
            headers,
        })
    }

    /// Returns whether `request` has this head.
    fn is_of<B>(&self, request: &Request<B>) -> bool {
        self.method == *request.method()
            && self.uri == *request.uri()
            && self.headers == *request.headers()
    }

    /// Returns a request with this head.
    #[must_use]
    pub fn to_request(&self) -> Request<()> {
        let mut request = Request::new(());
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.version_mut() = Version::HTTP_11;
        *request.headers_mut() = self.headers.clone();
        request
    }
}

/// Returns whether requests behind `request` may be handled before its response: the request has no effect
/// that they could depend on, and its response does not close the connection by what the request says.
#[must_use]
pub fn may_have_followers<B>(request: &Request<B>) -> bool {
    let is_safe = [Method::GET, Method::HEAD].contains(request.method());
    let keeps_open = request.version() == Version::HTTP_11
        && !request.headers().contains_key(header::CONNECTION)
        && !request.headers().contains_key(header::UPGRADE);
    is_safe && keeps_open
}

/// Returns whether a field called `name` announces a body or changes how the connection goes on.
fn concerns_connection(name: &HeaderName) -> bool {
    [
        header::CONNECTION,
        header::CONTENT_LENGTH,
        header::EXPECT,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
    ]
    .contains(name)
}

/// A request that is being handled. Dropping the request withdraws it.
struct Started<T> {
    head: Head,
    /// Length of the head in the read-ahead bytes.
    length: usize,
    /// Memory of the request and its handling.
    _hold: Hold,
    task: Task<T>,
}

/// The handling of a request, which is aborted on drop.
#[derive(Debug)]
pub struct Task<T>(JoinHandle<T>);

impl<T> Task<T> {
    /// Waits for the response. Returns `None` if the handling failed.
    pub async fn response(mut self) -> Option<T> {
        (&mut self.0).await.ok()
    }
}

impl<T> Drop for Task<T> {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// The requests of a connection that were started early, in the order of the connection.
pub struct Pipeline<T> {
    started: VecDeque<Started<T>>,
    is_closed: bool,
}

impl<T> Default for Pipeline<T> {
    fn default() -> Self {
        Self {
            started: VecDeque::new(),
            is_closed: false,
        }
    }
}

impl<T> fmt::Debug for Pipeline<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lengths = self.started.iter().map(|started| started.length);
        f.debug_list().entries(lengths).finish()
    }
}

impl<T> Pipeline<T> {
    /// Returns whether no request has been started early.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.started.is_empty()
    }

    /// Returns whether another request may be started.
    #[must_use]
    pub fn has_room(&self) -> bool {
        !self.is_closed && self.started.len() < MAX_STARTED
    }

    /// Lets no further request be started.
    pub fn close(&mut self) {
        self.is_closed = true;
    }

    /// Returns the number of read-ahead bytes that belong to started requests.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.started.iter().map(|started| started.length).sum()
    }

    /// Adds the request behind all that were started. `length` is the length of its head.
    pub fn push(&mut self, head: Head, length: usize, hold: Hold, task: JoinHandle<T>) {
        self.started.push_back(Started {
            head,
            length,
            _hold: hold,
            task: Task(task),
        });
    }

    /// Returns the handling of `request`, which the library has reached, if it was started early. A request
    /// that differs from the started one withdraws all started requests.
    pub fn take<B>(&mut self, request: &Request<B>) -> Option<Task<T>> {
        let started = self.started.pop_front()?;
        if !started.head.is_of(request) {
            log::warn!("a request differs from the one that was started early");
            self.started.clear();
            return None;
        }
        Some(started.task)
    }
}
