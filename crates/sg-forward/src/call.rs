//! One request in work, and the digest that tells it from others.

use bytes::Bytes as Content;
use http::{HeaderMap, HeaderValue, Method};
use reqwest::Url;
use sg_types::prelude::*;

use crate::{headers, key::Holder, link::Link, memory::Held, terms::Terms, upstream::Outgoing};

/// A request that passed every check that needs no waiting, and whose body is there.
#[derive(Debug)]
pub struct Call {
    /// Its name.
    pub id: id::Request,
    /// When it arrived.
    pub arrived: Instant,
    /// When its answer is of no more use.
    pub deadline: Instant,
    /// What the tree says of it.
    pub terms: Terms,
    /// Whose key came with it.
    pub holder: Option<Holder>,
    /// Its digest.
    pub fingerprint: Fingerprint,
    /// What a target gets.
    pub outgoing: Outgoing,
    /// The bytes that its body takes from the instance's budget.
    #[expect(dead_code, reason = "released when it is dropped")]
    pub held: Held,
    /// The caller's connection, if it can be broken off.
    pub link: Option<Arc<Link>>,
}

impl Call {
    /// The client account.
    #[must_use]
    pub fn account(&self) -> Option<&id::Account> {
        self.holder.as_ref().map(|holder| &holder.account)
    }

    /// Sets the headers that tell a target who asks and how long is left.
    pub fn address(&mut self, now: Instant) {
        let left = self.deadline.since(now).as_millis();
        let headers = &mut self.outgoing.headers;
        headers.insert(headers::DEADLINE, HeaderValue::from(left));
        if let Ok(request) = HeaderValue::from_str(self.id.as_str()) {
            headers.insert(headers::REQUEST_ID, request);
        }
        let account = self.holder.as_ref().map(|holder| holder.account.as_str());
        let account = account.and_then(|account| HeaderValue::from_str(account).ok());
        if let Some(account) = account {
            headers.insert(headers::ACCOUNT, account);
        }
    }
}

/// What a target gets of a request.
#[must_use]
pub fn outgoing(method: Method, url: Url, mut headers: HeaderMap, body: Content) -> Outgoing {
    headers::strip_request(&mut headers);
    Outgoing {
        method,
        url,
        headers,
        body,
    }
}

/// The digest of what makes two requests the same: account, method, path and body. Nothing that a
/// caller says of the request counts.
#[must_use]
pub fn fingerprint(
    account: Option<&id::Account>,
    method: &Method,
    path: &str,
    body: &[u8],
) -> Fingerprint {
    let mut hasher = blake3::Hasher::new();
    let account = account.map_or("", id::Account::as_str);
    for part in [
        account.as_bytes(),
        method.as_str().as_bytes(),
        path.as_bytes(),
    ] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.update(body);
    let mut half = [0; 16];
    half.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
    Fingerprint::new(u128::from_le_bytes(half))
}
