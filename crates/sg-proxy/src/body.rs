//! Bodies of responses to callers.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body::{Frame, SizeHint};
use http_body_util::Full;
use hyper::body::Incoming;

use crate::connections::Connection;

/// Body of a response to a caller.
#[derive(Debug)]
pub enum Body {
    /// Completely received body.
    Buffered(Full<Bytes>),
    /// Body whose remainder is still arriving from a target.
    Streamed(Box<Streamed>),
}

/// Large response body that is forwarded while it arrives.
#[derive(Debug)]
pub struct Streamed {
    /// Data that was received before forwarding began.
    pub received: Option<Bytes>,
    /// Remainder of the body.
    pub remainder: Incoming,
    /// Connection to the target, which is closed if the caller disconnects.
    pub connection: Option<Connection>,
}

impl Body {
    /// Returns a body with all of its data in memory.
    #[must_use]
    pub fn buffered(bytes: Bytes) -> Self {
        Self::Buffered(Full::new(bytes))
    }
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        match self.get_mut() {
            Self::Buffered(buffered) => Pin::new(buffered)
                .poll_frame(cx)
                .map_err(|never| match never {}),
            Self::Streamed(streamed) => {
                if let Some(received) = streamed.received.take() {
                    return Poll::Ready(Some(Ok(Frame::data(received))));
                }
                let frame = Pin::new(&mut streamed.remainder).poll_frame(cx);
                if let Poll::Ready(None) = frame
                    && let Some(connection) = streamed.connection.take()
                {
                    connection.close();
                }
                frame
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(buffered) => buffered.is_end_stream(),
            Self::Streamed(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(buffered) => buffered.size_hint(),
            Self::Streamed(streamed) => {
                let received = streamed
                    .received
                    .as_ref()
                    .map_or(0, |received| received.len() as u64);
                match streamed.remainder.size_hint().exact() {
                    Some(remainder) => SizeHint::with_exact(received + remainder),
                    None => SizeHint::default(),
                }
            }
        }
    }
}
