//! One call: addresses in turn, deadline, bounded answer, truthful errors.

use std::fmt;

use serde::{Serialize, de::DeserializeOwned};
use sg_types::time::Instant;

use super::{Client, wire};
use crate::Error;

/// The largest answer that is read, in bytes.
const MAX_ANSWER: usize = 64 << 20;
/// The longest text of a refusal that is kept, in bytes.
const MAX_MESSAGE: usize = 256;
/// What the store says of a lease that it doesn't know.
const LEASE_NOT_FOUND: &str = "requested lease not found";

/// Whether a call changes the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Kind {
    Read,
    Write,
}

impl Client {
    /// Sends `body` to `path` and reads the answer.
    pub(super) async fn call<T: DeserializeOwned>(
        &self,
        kind: Kind,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, Error> {
        let bytes = serde_json::to_vec(body).map_err(malformed)?;
        let deadline = self.inner.timer.now() + self.inner.options.timeout;
        let mut last = None;
        for (place, address) in self.addresses() {
            let url = format!("http://{address}{path}");
            let result = self.attempt(kind, &url, bytes.clone(), deadline).await;
            if matches!(result, Err(Error::Unreachable { .. } | Error::Lost { .. })) {
                self.pass_over(place);
            }
            match result {
                Err(error) if may_go_on(kind, &error) => last = Some(error),
                Err(error) => return Err(error),
                Ok(answer) => return serde_json::from_slice(&answer).map_err(malformed),
            }
        }
        Err(last.unwrap_or(Error::Unreachable {
            cause: "no address".to_owned(),
        }))
    }

    async fn attempt(
        &self,
        kind: Kind,
        url: &str,
        body: Vec<u8>,
        deadline: Instant,
    ) -> Result<Vec<u8>, Error> {
        let work = async {
            let response = self.send(url, body).await?;
            let status = response.status().as_u16();
            let answer = read(response).await?;
            if (200..300).contains(&status) {
                Ok(answer)
            } else {
                Err(refusal(kind, status, &answer))
            }
        };
        self.inner
            .timer
            .until(deadline, work)
            .await
            .unwrap_or_else(|_| Err(lost("no answer in time")))
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
                false => lost(error),
            })
    }
}

/// Whether another address may be tried: the call had no effect, or is free of any.
fn may_go_on(kind: Kind, error: &Error) -> bool {
    match error {
        Error::Unreachable { .. } => true,
        Error::Lost { .. } | Error::Refused { .. } => kind == Kind::Read,
        _ => false,
    }
}

async fn read(mut response: reqwest::Response) -> Result<Vec<u8>, Error> {
    let mut answer = Vec::new();
    while let Some(chunk) = response.chunk().await.map_err(lost)? {
        if answer.len() + chunk.len() > MAX_ANSWER {
            return Err(lost("the answer is too large"));
        }
        answer.extend_from_slice(&chunk);
    }
    Ok(answer)
}

/// What a status other than success means. After a write, a fault on the store's side leaves open
/// whether the write took effect.
pub(super) fn refusal(kind: Kind, status: u16, answer: &[u8]) -> Error {
    let failure: wire::Failure = serde_json::from_slice(answer).unwrap_or_default();
    let text = match failure.message.is_empty() {
        true => failure.error,
        false => failure.message,
    };
    let message: String = text.chars().take(MAX_MESSAGE).collect();
    if message.contains(LEASE_NOT_FOUND) {
        return Error::LeaseGone;
    }
    if kind == Kind::Write && status >= 500 {
        return lost(format!("status {status}: {message}"));
    }
    Error::Refused { status, message }
}

pub(super) fn lost(cause: impl fmt::Display) -> Error {
    Error::Lost {
        cause: cause.to_string(),
    }
}

pub(super) fn malformed(cause: impl fmt::Display) -> Error {
    Error::Malformed {
        cause: cause.to_string(),
    }
}
