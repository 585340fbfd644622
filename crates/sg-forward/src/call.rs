//! A request ready to be sent, and its fingerprint.

use bytes::Bytes as Content;
use http::{HeaderMap, HeaderValue, Method};
use reqwest::Url;
use sg_types::prelude::*;

use crate::{
    caller_connection::CallerConnection, headers, key::Holder, memory::Reservation,
    settings::RouteSettings, upstream::Outgoing,
};

/// A request that passed every check that needs no waiting, and whose body was read.
#[derive(Debug)]
pub struct Call {
    /// The request id.
    pub id: id::Request,
    /// The time of arrival.
    pub arrived: Instant,
    /// The deadline of the request.
    pub deadline: Instant,
    /// The settings of the request's route.
    pub settings: RouteSettings,
    /// The holder of the request's key.
    pub holder: Option<Holder>,
    /// The digest of the account, method, path and body.
    pub fingerprint: Fingerprint,
    /// The request in the form in which a target receives it.
    pub outgoing: Outgoing,
    /// The memory reserved for the body in the instance's memory budget.
    #[expect(dead_code, reason = "released when it is dropped")]
    pub reservation: Reservation,
    /// The caller's connection, if it can be aborted.
    pub caller: Option<Arc<CallerConnection>>,
}

impl Call {
    /// Returns the client account.
    #[must_use]
    pub fn account(&self) -> Option<&id::Account> {
        self.holder.as_ref().map(|holder| &holder.account)
    }

    /// Returns whether a response of unstated length may be passed on before it is complete.
    #[must_use]
    pub fn may_stream(&self) -> bool {
        let caller = self.caller.as_ref();
        caller.is_some_and(|caller| caller.takes_chunks())
    }

    /// Sets the headers that give a target the request id, the client account and the remaining
    /// time.
    pub fn set_target_headers(&mut self, now: Instant) {
        let remaining_ms = self.deadline.since(now).as_millis();
        let headers = &mut self.outgoing.headers;
        headers.insert(headers::DEADLINE, HeaderValue::from(remaining_ms));
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

/// Builds the request that a target receives.
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

/// Returns the digest of the request's account, method, path and body. Headers are not included.
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
