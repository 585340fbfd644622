//! Watches a prefix: reads a stream of JSON messages, one per line, until changes arrive or the
//! wait ends.

use sg_types::time::{Instant, Span};

use super::{
    Client,
    call::{CallKind, malformed, response_lost, status_error},
    wire::{
        Base64Bytes, Int64, StreamMessage, WatchCreateRequest, WatchEvent, WatchRequest,
        WatchResponse,
    },
};
use crate::{Changes, Error, Event, Version};

const WATCH_PATH: &str = "/v3/watch";
/// Maximum length of a line, in bytes.
const MAX_LINE_BYTES: usize = 8 << 20;

impl Client {
    pub(super) async fn watch_changes(
        &self,
        prefix: &str,
        after: Version,
        max_wait: Span,
    ) -> Result<Changes, Error> {
        let request = WatchRequest {
            create_request: WatchCreateRequest {
                key: Base64Bytes::new(prefix),
                range_end: Base64Bytes::range_end(prefix),
                start_revision: Int64::from(Version::new(after.revision() + 1)),
            },
        };
        let body = serde_json::to_vec(&request).map_err(malformed)?;
        let start = self.inner.timer.now();
        let mut last_error = Error::Unreachable {
            cause: "no address".to_owned(),
        };
        for (index, address) in self.addresses() {
            let url = format!("http://{address}{WATCH_PATH}");
            match self.open_stream(&url, body.clone(), start).await {
                Ok(response) => {
                    let changes = read_changes(response, after);
                    let result = self.inner.timer.until(start + max_wait, changes).await;
                    return result.unwrap_or(Ok(Changes {
                        events: Vec::new(),
                        version: after,
                    }));
                }
                Err(error) => {
                    self.prefer_after(index);
                    last_error = error;
                }
            }
        }
        Err(last_error)
    }

    /// Opens the stream. The store sends the response headers at once, so the timeout of calls
    /// applies.
    async fn open_stream(
        &self,
        url: &str,
        body: Vec<u8>,
        start: Instant,
    ) -> Result<reqwest::Response, Error> {
        let deadline = start + self.inner.options.timeout;
        let opened = self.inner.timer.until(deadline, self.send(url, body)).await;
        let response =
            opened.unwrap_or_else(|_| Err(response_lost("no response before the timeout")))?;
        match response.status().as_u16() {
            200 => Ok(response),
            status => Err(status_error(CallKind::Read, status, &[])),
        }
    }
}

/// Reads messages until one contains events.
async fn read_changes(mut response: reqwest::Response, after: Version) -> Result<Changes, Error> {
    let mut lines = LineBuffer::default();
    loop {
        let Some(chunk) = response.chunk().await.map_err(response_lost)? else {
            return Err(response_lost("the watch stream ended"));
        };
        lines.push(&chunk)?;
        let mut events = Vec::new();
        let mut version = after;
        while let Some(line) = lines.next_line() {
            let message = parse_message(&line)?;
            version = version.max(message.header.revision.version());
            for event in message.events {
                events.push(parse_event(event)?);
            }
        }
        if !events.is_empty() {
            return Ok(Changes { events, version });
        }
    }
}

fn parse_message(line: &[u8]) -> Result<WatchResponse, Error> {
    let envelope: StreamMessage<WatchResponse> = serde_json::from_slice(line).map_err(malformed)?;
    let message = envelope.result;
    if message.canceled || message.compact_revision.0 > 0 {
        log::warn!("the store cancelled the watch: {}", message.cancel_reason);
        return Err(Error::HistoryCompacted);
    }
    Ok(message)
}

fn parse_event(event: WatchEvent) -> Result<Event, Error> {
    match event.kind.as_str() {
        "DELETE" => Ok(Event::Removed {
            key: event.kv.key()?.into(),
            version: event.kv.mod_revision.version(),
        }),
        _ => Ok(Event::Put(event.kv.into_entry()?)),
    }
}

/// Splits a stream of bytes into lines.
#[derive(Debug, Default)]
struct LineBuffer {
    buffer: Vec<u8>,
}

impl LineBuffer {
    fn push(&mut self, chunk: &[u8]) -> Result<(), Error> {
        if self.buffer.len() + chunk.len() > MAX_LINE_BYTES {
            return Err(malformed(
                "a line of the watch stream exceeds the size limit",
            ));
        }
        self.buffer.extend_from_slice(chunk);
        Ok(())
    }

    fn next_line(&mut self) -> Option<Vec<u8>> {
        loop {
            let end = self.buffer.iter().position(|byte| *byte == b'\n')?;
            let mut line: Vec<u8> = self.buffer.drain(..=end).collect();
            line.pop();
            if !line.iter().all(u8::is_ascii_whitespace) {
                return Some(line);
            }
        }
    }
}
