//! Bytes of a caller that were read ahead of the HTTP library.

use std::collections::VecDeque;

use bytes::{Buf, BytesMut};
use sg_types::prelude::*;

use super::chunks::Chunks;

/// Resolution of the recorded read times. Bytes that are read within this span share one record, so that a
/// caller that sends single bytes does not cost a multiple of its bytes.
const TIME_RESOLUTION: Span = Span::from_millis(25);
/// Maximum number of recorded read times, enough for 6 s of bytes that arrive without a break.
const MAX_READS: usize = 256;

/// Maximum size of the rest of a body that the HTTP library takes at once behind a response, the smallest size of
/// its buffer. Behind a larger one, the library closes the connection.
const MAX_DRAINED: u64 = 8 << 10;

/// Part of a request that the next bytes belong to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Part {
    /// The head of a request.
    Head,
    /// The body of a request, of which so many bytes are left.
    Body(u64),
    /// A body in chunks.
    Chunks(Chunks),
    /// A request that waits for the response to the request before it.
    Next,
}

/// Consecutive bytes that were read at about the same time.
#[derive(Debug, Clone, Copy)]
struct Read {
    bytes: usize,
    at: Instant,
}

/// Bytes that were read and not yet taken, with the times at which they were read.
///
/// The HTTP library gets the bytes up to the end of one head, the bytes of its body, and nothing of the next
/// request before the response is complete. The time at which the last byte of a head was read is therefore
/// known when the library hands over the request.
#[derive(Debug)]
pub(super) struct Ahead {
    bytes: BytesMut,
    reads: VecDeque<Read>,
    part: Part,
    /// Whether the response to the request that the part belongs to is complete.
    is_answered: bool,
    /// Whether the line of the head that the last taken byte belongs to is empty so far.
    is_line_empty: bool,
    /// Whether nothing but empty lines was taken of the head. They come before the head, and do not end it.
    is_head_empty: bool,
    /// Time at which the first byte of an incomplete head was read.
    head_since: Option<Instant>,
    /// Time at which the last taken byte was read.
    last_taken: Instant,
}

impl Ahead {
    /// Creates an empty buffer of a connection that was accepted at `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            bytes: BytesMut::new(),
            reads: VecDeque::new(),
            part: Part::Head,
            is_answered: false,
            is_line_empty: false,
            is_head_empty: true,
            head_since: None,
            last_taken: now,
        }
    }

    /// Returns the number of bytes that were not taken.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns whether all bytes were taken.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Returns the part of a request that the next bytes belong to.
    pub fn part(&self) -> Part {
        self.part
    }

    /// Returns whether the body has more framing than its data allows, and may have no end.
    pub fn is_endless(&self) -> bool {
        matches!(self.part, Part::Chunks(chunks) if chunks.is_endless())
    }

    /// Returns the time at which the first byte of an incomplete head was read.
    pub fn head_since(&self) -> Option<Instant> {
        self.head_since
    }

    /// Returns the time at which the last taken byte was read.
    pub fn last_taken(&self) -> Instant {
        self.last_taken
    }

    /// Adds bytes that were read at `now`.
    pub fn push(&mut self, bytes: &[u8], now: Instant) {
        self.bytes.extend_from_slice(bytes);
        let is_full = self.reads.len() >= MAX_READS;
        match self.reads.back_mut() {
            Some(last) if is_full || now.since(last.at) < TIME_RESOLUTION => {
                last.bytes += bytes.len();
            }
            _ => self.reads.push_back(Read {
                bytes: bytes.len(),
                at: now,
            }),
        }
    }

    /// Starts the next part. A head starts at the next byte.
    pub fn start(&mut self, part: Part) {
        self.part = part;
        self.is_answered = false;
        self.is_line_empty = false;
        self.is_head_empty = true;
        self.head_since = None;
    }

    /// Starts the next head behind the rest of the body of the request that was answered.
    pub fn end_response(&mut self) {
        match self.part {
            Part::Head | Part::Next => self.start(Part::Head),
            Part::Body(_) | Part::Chunks(_) => self.is_answered = true,
        }
    }

    /// Returns whether the next bytes belong to a request whose response is complete.
    pub fn is_answered(&self) -> bool {
        self.is_answered
    }

    /// Returns whether the HTTP library closes the connection with a response that is written now, because it
    /// can't take the rest of the request's body.
    pub fn is_body_due(&self) -> bool {
        match self.part {
            Part::Head | Part::Next => false,
            Part::Body(left) => left > MAX_DRAINED || self.unread_body() > 0,
            Part::Chunks(_) => true,
        }
    }

    /// Returns the complete head that begins `skipped` bytes behind the request in progress, and the time at
    /// which its last byte was read.
    pub fn waiting_head(&self, skipped: usize) -> Option<(&[u8], Instant)> {
        if self.part != Part::Next {
            return None;
        }
        let bytes = self.bytes.get(skipped..)?;
        let length = head_length(bytes)?;
        let mut end = skipped + length;
        let read = self.reads.iter().find(|read| {
            let is_last = end <= read.bytes;
            end = end.saturating_sub(read.bytes);
            is_last
        })?;
        Some((&bytes[..length], read.at))
    }

    /// Returns whether the head of a request that the HTTP library has not reached is complete.
    pub fn has_waiting_request(&self) -> bool {
        let skipped = match self.part {
            Part::Head | Part::Next => 0,
            Part::Body(left) => usize::try_from(left).unwrap_or(usize::MAX),
            Part::Chunks(_) => return false,
        };
        let bytes = self.bytes.get(skipped..);
        bytes.is_some_and(|bytes| head_length(bytes).is_some())
    }

    /// Returns how many bytes of the body that is being taken have not been added.
    pub fn unread_body(&self) -> u64 {
        match self.part {
            Part::Head | Part::Next => 0,
            Part::Body(left) => left.saturating_sub(self.bytes.len() as u64),
            Part::Chunks(_) => u64::MAX,
        }
    }

    /// Records that no more bytes will be added. The HTTP library judges the rest.
    pub fn end(&mut self) {
        if let Part::Chunks(chunks) = &mut self.part {
            chunks.end_search();
        }
    }

    /// Drops all bytes.
    pub fn clear(&mut self) {
        self.bytes = BytesMut::new();
        self.reads = VecDeque::new();
    }

    /// Passes up to `max` bytes of the current part to `sink` and returns their number.
    pub fn take(&mut self, max: usize, sink: impl FnOnce(&[u8])) -> usize {
        let Some(read) = self.reads.front().copied() else {
            return 0;
        };
        let available = match self.part {
            Part::Body(_) => self.bytes.len().min(max),
            _ => read.bytes.min(max),
        };
        let count = match self.part {
            Part::Head => self.take_head(available, read.at),
            Part::Body(left) => {
                let count = usize::try_from(left).unwrap_or(usize::MAX).min(available);
                self.part = match left - count as u64 {
                    0 => Part::Next,
                    left => Part::Body(left),
                };
                count
            }
            Part::Chunks(mut chunks) => {
                let count = chunks.take(&self.bytes, available);
                self.part = match chunks.is_taken() {
                    true => Part::Next,
                    false => Part::Chunks(chunks),
                };
                count
            }
            Part::Next => 0,
        };
        if self.is_answered && self.part == Part::Next {
            self.start(Part::Head);
        }
        if count > 0 {
            sink(&self.bytes[..count]);
            self.advance(count);
        }
        count
    }

    /// Returns how many of the first `available` bytes belong to the current head.
    fn take_head(&mut self, available: usize, read_at: Instant) -> usize {
        self.head_since.get_or_insert(read_at);
        for (index, byte) in self.bytes[..available].iter().enumerate() {
            match byte {
                b'\n' if self.is_line_empty && !self.is_head_empty => {
                    self.is_line_empty = false;
                    self.is_head_empty = true;
                    self.head_since = None;
                    return index + 1;
                }
                b'\n' => self.is_line_empty = true,
                b'\r' => {}
                _ => (self.is_line_empty, self.is_head_empty) = (false, false),
            }
        }
        available
    }

    fn advance(&mut self, count: usize) {
        self.bytes.advance(count);
        let mut left = count;
        while left > 0
            && let Some(read) = self.reads.front_mut()
        {
            self.last_taken = read.at;
            let taken = left.min(read.bytes);
            left -= taken;
            read.bytes -= taken;
            if read.bytes == 0 {
                self.reads.pop_front();
            }
        }
        if self.bytes.is_empty() {
            self.clear();
        }
    }
}

/// Returns the length of the head at the start of `bytes` with its empty line, if the head is complete.
fn head_length(bytes: &[u8]) -> Option<usize> {
    let mut is_line_empty = true;
    for (index, byte) in bytes.iter().enumerate() {
        match byte {
            b'\n' if is_line_empty => return Some(index + 1),
            b'\n' => is_line_empty = true,
            b'\r' => {}
            _ => is_line_empty = false,
        }
    }
    None
}
