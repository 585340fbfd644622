//! Sends calls to the addresses of the store in turn within a deadline, limits the size and the pace of
//! responses, and reports whether a write may have taken effect.

use std::fmt;

use serde::{Serialize, de::DeserializeOwned};
use sg_clock::{Progress, progress::Limit};
use sg_types::time::Instant;

use super::{Client, wire};
use crate::Error;

/// Maximum size of a response, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;
/// Least average rate of a body, in bytes per second.
const MIN_BODY_RATE: u64 = 32 << 10;
/// Maximum length of the store's error message, in characters.
const MAX_MESSAGE_CHARS: usize = 256;
/// Error message of the store for an unknown lease.
const LEASE_NOT_FOUND: &str = "requested lease not found";

/// Whether a call changes the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CallKind {
    Read,
    Write,
}

impl Client {
    /// Sends `body` to `path` and parses the response.
    pub(super) async fn call<T: DeserializeOwned>(
        &self,
        kind: CallKind,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, Error> {
        let bytes = serde_json::to_vec(body).map_err(malformed)?;
        let deadline = self.inner.timer.now() + self.inner.options.timeout;
        let mut last_error = None;
        for (index, address) in self.addresses() {
            let url = format!("http://{address}{path}");
            let result = self.attempt(kind, &url, bytes.clone(), deadline).await;
            if matches!(
                result,
                Err(Error::Unreachable { .. } | Error::ResponseLost { .. })
            ) {
                self.prefer_after(index);
            }
            match result {
                Err(error) if may_try_next(kind, &error) => last_error = Some(error),
                Err(error) => return Err(error),
                Ok(body) => return serde_json::from_slice(&body).map_err(malformed),
            }
        }
        Err(last_error.unwrap_or(Error::Unreachable {
            cause: "no address".to_owned(),
        }))
    }

    /// Sends a call to one address and returns the body of the response.
    async fn attempt(
        &self,
        kind: CallKind,
        url: &str,
        body: Vec<u8>,
        deadline: Instant,
    ) -> Result<Vec<u8>, Error> {
        let timer = &self.inner.timer;
        let sent = timer.until(deadline, self.send(url, body)).await;
        let response = sent.map_err(|_| response_lost("no response before the timeout"))??;
        let status = response.status().as_u16();
        let limit = Limit {
            stall: self.inner.options.timeout,
            min_rate: MIN_BODY_RATE,
        };
        let body = read_body(response, Progress::start(timer, limit)).await?;
        if (200..300).contains(&status) {
            Ok(body)
        } else {
            Err(status_error(kind, status, &body))
        }
    }

    pub(super) async fn send(&self, url: &str, body: Vec<u8>) -> Result<reqwest::Response, Error> {
        self.inner
            .http
            .post(url)
            .header("content-type", "application/json")
            .body(body)
            .send()
            .await
            .map_err(|error| match error.is_connect() {
                true => Error::Unreachable {
                    cause: error.to_string(),
                },
                false => response_lost(error),
            })
    }
}

/// Returns whether the call may be sent to the next address. A write may only if it certainly took
/// no effect.
fn may_try_next(kind: CallKind, error: &Error) -> bool {
    match error {
        Error::Unreachable { .. } => true,
        Error::ResponseLost { .. } | Error::Rejected { .. } => kind == CallKind::Read,
        _ => false,
    }
}

/// Reads the body of a response for as long as it keeps arriving.
async fn read_body(
    mut response: reqwest::Response,
    mut progress: Progress,
) -> Result<Vec<u8>, Error> {
    let mut body = Vec::new();
    loop {
        let chunk = progress.step(response.chunk()).await;
        let chunk = chunk.map_err(|_| response_lost("the response stalled"))?;
        let Some(chunk) = chunk.map_err(response_lost)? else {
            return Ok(body);
        };
        if body.len() + chunk.len() > MAX_RESPONSE_BYTES {
            return Err(response_lost("the response exceeds the size limit"));
        }
        progress.record(chunk.len());
        body.extend_from_slice(&chunk);
    }
}

/// Returns the error for an unsuccessful status. After a write, a server error leaves open whether
/// the write took effect.
pub(super) fn status_error(kind: CallKind, status: u16, body: &[u8]) -> Error {
    let error: wire::ErrorResponse = serde_json::from_slice(body).unwrap_or_default();
    let text = match error.message.is_empty() {
        true => error.error,
        false => error.message,
    };
    let message: String = text.chars().take(MAX_MESSAGE_CHARS).collect();
    if message.contains(LEASE_NOT_FOUND) {
        return Error::LeaseExpired;
    }
    if kind == CallKind::Write && status >= 500 {
        return response_lost(format!("status {status}: {message}"));
    }
    Error::Rejected { status, message }
}

pub(super) fn response_lost(cause: impl fmt::Display) -> Error {
    Error::ResponseLost {
        cause: cause.to_string(),
    }
}

pub(super) fn malformed(cause: impl fmt::Display) -> Error {
    Error::Malformed {
        cause: cause.to_string(),
    }
}
