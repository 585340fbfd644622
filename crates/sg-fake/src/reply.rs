//! JSON responses and request bodies.

use poem::{Request, Response, http::StatusCode};
use serde::{Serialize, de::DeserializeOwned};

/// The largest accepted request body, in bytes.
const BODY_LIMIT: usize = 8 << 20;

/// An error in reading a request or encoding a response.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The request body could not be read in full.
    #[error("the body did not arrive whole; send it again")]
    Body(#[from] poem::error::ReadBodyError),
    /// The body is not valid JSON for this call.
    #[error("the body is not what this call takes: {0}; correct the field that is named")]
    Json(#[from] serde_json::Error),
}

impl Error {
    /// Returns a 400 response with the error message as its body.
    #[must_use]
    pub fn response(&self) -> Response {
        Response::builder()
            .status(StatusCode::BAD_REQUEST)
            .body(self.to_string())
    }
}

/// Returns a response with `value` as its JSON body.
#[must_use]
pub fn json(value: &impl Serialize) -> Response {
    match serde_json::to_vec(value) {
        Ok(body) => Response::builder()
            .content_type("application/json")
            .body(body),
        Err(error) => Error::from(error).response(),
    }
}

/// Returns a response without a body.
#[must_use]
pub fn status(status: StatusCode) -> Response {
    Response::builder().status(status).finish()
}

/// Reads the JSON body of a request. An empty body is read as `{}`.
///
/// # Errors
/// Returns [`Error`] if the body is truncated, too long or not valid JSON for `T`.
pub async fn read_json<T: DeserializeOwned>(request: &mut Request) -> Result<T, Error> {
    let body = request.take_body().into_bytes_limit(BODY_LIMIT).await?;
    let text: &[u8] = if body.is_empty() { b"{}" } else { &body };
    Ok(serde_json::from_slice(text)?)
}
