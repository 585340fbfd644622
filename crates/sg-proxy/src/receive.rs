//! Receives the bodies of responses, within the memory budget.

use std::collections::VecDeque;

use bytes::Bytes;
use http::request;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use sg_types::prelude::{Arc, Instant, Span};

use crate::{
    Body, Core,
    body::{Cut, Streamed},
    connections::Connection,
    memory::{Hold, Segments, Stage, Use},
};

/// Maximum size of a response that is buffered until it is complete. A larger one is streamed.
const MAX_BUFFERED_BYTES: u64 = 1 << 20;

/// Body of a response, as far as it was received before it is forwarded.
pub(crate) struct ReceivedBody {
    data: VecDeque<Bytes>,
    hold: Arc<Hold>,
    /// Rest of a body that is larger than [`MAX_BUFFERED_BYTES`].
    remainder: Option<Incoming>,
}

/// Returns a hold for a response to the request of `head`. If the response has to give up its memory while
/// the caller reads it, the caller's connection closes.
fn response_hold<D>(core: &Core<D>, head: &request::Parts) -> Hold {
    match head.extensions.get::<Arc<Hold>>() {
        Some(connection) => {
            let hold = connection.sibling(Use::Response);
            hold.set_stage(Stage::Forwarded);
            hold
        }
        None => {
            let hold = core.memory.hold(Use::Response);
            hold.set_stage(Stage::Kept);
            hold
        }
    }
}

/// Receives the body of a response to the request of `head`: completely, or, if it is larger than
/// [`MAX_BUFFERED_BYTES`] or the memory is used up, a first part.
pub(crate) async fn receive_body<D>(
    core: &Core<D>,
    head: &request::Parts,
    mut body: Incoming,
) -> Result<ReceivedBody, hyper::Error> {
    let hold = Arc::new(response_hold(core, head));
    let mut segments = Segments::new(hold.clone());
    let mut remainder = None;
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        let is_full = segments.append(&data).is_err();
        if is_full {
            segments.append_over(&data);
        }
        if (is_full || segments.length() > MAX_BUFFERED_BYTES)
            && !http_body::Body::is_end_stream(&body)
        {
            remainder = Some(body);
            break;
        }
    }
    Ok(ReceivedBody {
        data: segments.into_list(),
        hold,
        remainder,
    })
}

/// Connection that a response came on, and what the response says of it.
pub(crate) struct ReceivedFrom {
    pub connection: Connection,
    /// Whether the other side closes the connection.
    pub closes: bool,
    /// Time for which the other side keeps the idle connection open.
    pub keep_alive_timeout: Option<Span>,
}

/// Returns the body for the caller. The connection goes with a body that is still arriving, which is cut off
/// at `deadline`; otherwise the connection returns to the pool, or closes if the other side will close it.
pub(crate) fn finish_body<D>(
    core: &Core<D>,
    received: ReceivedBody,
    from: ReceivedFrom,
    deadline: Instant,
    on_cut: impl FnOnce(Cut) + Send + 'static,
) -> Body {
    let connection = from.connection;
    if let Some(remainder) = received.remainder {
        received.hold.grow_to_forward();
        let timer = core.timer.clone();
        let data = received.data;
        let streamed = Streamed::new(
            data,
            remainder,
            connection,
            received.hold,
            timer,
            deadline,
            on_cut,
        );
        return Body::Streamed(Box::new(streamed));
    }
    if from.closes {
        connection.close();
    } else {
        core.connections
            .put_back(connection, from.keep_alive_timeout);
    }
    Body::held(received.data, received.hold)
}
