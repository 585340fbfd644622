//! Reads a complete request body within its limits.

use bytes::{Bytes as Content, BytesMut};
use http::HeaderMap;
use http_body_util::{BodyExt, combinators::BoxBody};
use sg_clock::Timer;
use sg_types::prelude::*;

use crate::memory::Reservation;

/// The body type of the HTTP library.
pub type Incoming = BoxBody<Content, std::io::Error>;

/// The limits on reading a body.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// The largest body.
    pub max_size: Bytes,
    /// The time by which the body must be complete.
    pub deadline: Instant,
}

/// A complete body.
#[derive(Debug)]
pub struct CompleteBody {
    /// The content.
    pub content: Content,
    /// The trailers after the content. They are checked, then dropped.
    pub trailers: Option<HeaderMap>,
}

/// Reads `body` to its end.
///
/// # Errors
/// [`Reason::BodyTooLarge`], [`Reason::BodyIncomplete`], or [`Reason::Overloaded`] if the
/// instance's memory budget is used up.
pub async fn read(
    timer: &Timer,
    mut body: Incoming,
    limits: Limits,
    reservation: &mut Reservation,
) -> Result<CompleteBody, Reason> {
    let reading = std::pin::pin!(collect(&mut body, limits.max_size, reservation));
    timer
        .until(limits.deadline, reading)
        .await
        .unwrap_or(Err(Reason::BodyIncomplete))
}

async fn collect(
    body: &mut Incoming,
    max_size: Bytes,
    reservation: &mut Reservation,
) -> Result<CompleteBody, Reason> {
    let mut content = Content::new();
    let mut buffer = BytesMut::new();
    let mut trailers = None;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Reason::BodyIncomplete)?;
        let data = match frame.into_data() {
            Ok(data) => data,
            Err(frame) => {
                trailers = frame.into_trailers().ok();
                continue;
            }
        };
        let size = (content.len() + buffer.len() + data.len()) as u64;
        if size > max_size.get() {
            return Err(Reason::BodyTooLarge);
        }
        if !reservation.try_grow(data.len() as u64) {
            return Err(Reason::Overloaded);
        }
        if content.is_empty() && buffer.is_empty() {
            content = data;
        } else {
            buffer.extend_from_slice(&content);
            content.clear();
            buffer.extend_from_slice(&data);
        }
    }
    if !buffer.is_empty() {
        content = buffer.freeze();
    }
    Ok(CompleteBody { content, trailers })
}
