//! Answers in JSON, and reading JSON bodies.

use poem::{Request, Response, http::StatusCode};
use serde::{Serialize, de::DeserializeOwned};

/// The largest body that a stand-in reads, in bytes.
const BODY_LIMIT: usize = 8 << 20;

/// Why a request to a stand-in was refused.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The body did not arrive whole.
    #[error("the body did not arrive whole; send it again")]
    Body(#[from] poem::error::ReadBodyError),
    /// The body is not the JSON that the call wants.
    #[error("the body is not what this call takes: {0}; correct the field that is named")]
    Json(#[from] serde_json::Error),
}

impl Error {
    /// The refusal as an answer.
    #[must_use]
    pub fn response(&self) -> Response {
        Response::builder()
            .status(StatusCode::BAD_REQUEST)
            .body(self.to_string())
    }
}

/// An answer with `value` in JSON.
#[must_use]
pub fn json(value: &impl Serialize) -> Response {
    match serde_json::to_vec(value) {
        Ok(body) => Response::builder()
            .content_type("application/json")
            .body(body),
        Err(error) => Error::from(error).response(),
    }
}

/// An answer without a body.
#[must_use]
pub fn status(status: StatusCode) -> Response {
    Response::builder().status(status).finish()
}

/// Reads the JSON body of a request. An empty body reads as `{}`.
///
/// # Errors
/// [`Error`] if the body is cut off, too long or not as the call wants it.
pub async fn read<T: DeserializeOwned>(request: &mut Request) -> Result<T, Error> {
    let body = request.take_body().into_bytes_limit(BODY_LIMIT).await?;
    let text: &[u8] = if body.is_empty() { b"{}" } else { &body };
    Ok(serde_json::from_slice(text)?)
}
