//! Passes over responses that belong to other requests, and bounds what frames a response.

use std::{
    collections::VecDeque,
    hash::{DefaultHasher, Hash, Hasher},
};

use http::HeaderName;

use super::framing::{BodyLength, HEAD_START, Head, Parsed};
use crate::{
    chunks::{Framing, Rest, Step},
    connections::MAX_HEAD_BYTES,
};

/// Maximum size of the responses that are passed over for one request.
const MAX_PASSED_OVER_BYTES: u64 = 1 << 20;
/// Maximum number of bytes that are no response, in front of the response to a request.
const MAX_SURPLUS_BYTES: usize = 4 << 10;
/// Number of requests that a connection remembers.
const MAX_CARRIED: usize = 128;

/// Hash of a request's id.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IdHash(u64);

impl IdHash {
    /// Hashes an id.
    #[must_use]
    pub fn new(id: &[u8]) -> Self {
        let mut hasher = DefaultHasher::new();
        id.hash(&mut hasher);
        Self(hasher.finish())
    }
}

/// Request that a connection carried.
#[derive(Debug, Clone, Copy)]
struct Carried {
    id: Option<IdHash>,
    /// Whether its response has no body, whatever its head says.
    is_head: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Everything is passed through.
    Pass,
    /// The head of a response comes next.
    Head,
    /// The rest of a foreign response comes next.
    Discard(Rest),
    /// The end of a foreign response can't be found.
    Failed,
}

/// Whose a response is.
enum Owner {
    Request,
    Other,
}

/// Filter for the bytes that a target sends on one connection.
#[derive(Debug)]
pub struct Filter {
    id_header: HeaderName,
    /// Id of the request in flight, if it has one.
    id: Option<Vec<u8>>,
    state: State,
    /// Bytes that were read, of which the first `ready` are passed through.
    bytes: Vec<u8>,
    ready: usize,
    /// Whether the target has named a request in a response on this connection.
    names_requests: bool,
    carried: VecDeque<Carried>,
    /// Responses passed over for the request in flight, and their bytes.
    passed_over: u64,
    passed_over_bytes: u64,
    /// Framing of the response to the request in flight.
    framing: Framing,
}

impl Filter {
    /// Creates a filter that passes everything through until a request is expected to be answered.
    #[must_use]
    pub fn new(id_header: HeaderName) -> Self {
        Self {
            id_header,
            id: None,
            state: State::Pass,
            bytes: Vec::new(),
            ready: 0,
            names_requests: false,
            carried: VecDeque::new(),
            passed_over: 0,
            passed_over_bytes: 0,
            framing: Framing::default(),
        }
    }

    /// Starts to look for the response to the request `id`, which is sent next. Without an id, any response is
    /// taken for the request's.
    pub fn expect(&mut self, id: Option<&[u8]>, is_head: bool) {
        self.carried.push_back(Carried {
            id: id.map(IdHash::new),
            is_head,
        });
        if self.carried.len() > MAX_CARRIED {
            self.carried.pop_front();
        }
        self.passed_over = 0;
        self.passed_over_bytes = 0;
        self.framing = Framing::default();
        self.id = id.map(<[u8]>::to_vec);
        // What is left came after the response to the last request.
        self.ready = 0;
        self.state = State::Head;
    }

    /// Returns whether the connection carried a request with this id.
    #[must_use]
    pub fn has_carried(&self, id: IdHash) -> bool {
        self.carried.iter().any(|carried| carried.id == Some(id))
    }

    /// Returns how many responses were passed over for the request in flight.
    #[must_use]
    pub fn passed_over(&self) -> u64 {
        self.passed_over
    }

    /// Returns whether a request was sent whose response has not begun.
    #[must_use]
    pub fn awaits_response(&self) -> bool {
        self.state != State::Pass
    }

    /// Returns whether bytes can be read past the filter, which is told of them by [`Filter::pass`].
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.state == State::Pass && self.bytes.is_empty()
    }

    /// Returns whether the end of a response can't be found within the bounds.
    #[must_use]
    pub fn has_failed(&self) -> bool {
        self.state == State::Failed || !self.framing.is_within_bounds()
    }

    /// Adds bytes that were read.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Examines bytes that were read past the filter.
    pub fn pass(&mut self, bytes: &[u8]) {
        self.framing.follow(bytes);
    }

    /// Passes everything through, because no more bytes come.
    pub fn end(&mut self) {
        if let State::Discard(_) = self.state {
            self.bytes.truncate(self.ready);
        }
        self.state = State::Pass;
    }

    /// Returns the bytes that are passed through.
    #[must_use]
    pub fn ready(&self) -> &[u8] {
        &self.bytes[..self.ready]
    }

    /// Removes bytes that were passed through.
    pub fn consume(&mut self, count: usize) {
        self.bytes.drain(..count);
        self.ready -= count;
        if self.bytes.is_empty() {
            // Idle connections hold no buffer.
            self.bytes = Vec::new();
        }
    }

    /// Examines the bytes that were added. Returns how many more responses were passed over.
    pub fn advance(&mut self) -> u64 {
        let before = self.passed_over;
        while self.step() {}
        self.passed_over - before
    }

    /// Takes one step; returns false if none is left.
    fn step(&mut self) -> bool {
        match self.state {
            State::Pass => {
                self.framing.follow(&self.bytes[self.ready..]);
                self.ready = self.bytes.len();
                false
            }
            _ if self.has_failed() || self.ready == self.bytes.len() => false,
            State::Failed => false,
            State::Head => self.step_head(),
            State::Discard(rest) => self.step_discard(rest),
        }
    }

    fn step_head(&mut self) -> bool {
        let bytes = &self.bytes[self.ready..];
        let head = match Head::parse(bytes, &self.id_header) {
            Parsed::Partial if bytes.len() <= MAX_HEAD_BYTES => return false,
            Parsed::Invalid if self.waits_behind_surplus() => return self.skip_surplus(),
            // The HTTP library reports what is wrong.
            Parsed::Partial | Parsed::Invalid => {
                self.state = State::Pass;
                return true;
            }
            Parsed::Complete(head) => head,
        };
        let body = self.body_length(&head);
        let is_head_request = self.carried.back().is_some_and(|carried| carried.is_head);
        let has_chunks = head.body == BodyLength::Chunks && !is_head_request;
        let (length, is_interim, owner) = (head.length, head.is_interim(), self.owner(&head));
        self.names_requests |= head.id.is_some();
        match owner {
            Owner::Request if is_interim => {
                self.ready += length;
                self.framing.record_interim_response(length);
            }
            Owner::Request => {
                self.ready += length;
                self.state = State::Pass;
                if has_chunks {
                    self.framing.start_chunks();
                }
            }
            Owner::Other => self.pass_over(length, body),
        }
        true
    }

    /// Returns whether the response may follow bytes that are none. A target that has named requests on the
    /// connection names the one in flight, too, so that its response is found by the id.
    fn waits_behind_surplus(&self) -> bool {
        let bytes = &self.bytes[self.ready..];
        let is_short = bytes.len() <= MAX_SURPLUS_BYTES;
        let is_own =
            || Head::id_behind_invalid_status(bytes, &self.id_header) == self.id.as_deref();
        is_short && self.id.is_some() && self.names_requests && !is_own()
    }

    /// Discards the bytes before the next head, if one has begun. The bytes are kept until then, for the HTTP
    /// library to judge if no head follows.
    fn skip_surplus(&mut self) -> bool {
        let bytes = &self.bytes[self.ready..];
        let starts = bytes.windows(HEAD_START.len()).enumerate().skip(1);
        let mut starts = starts.filter(|(_, window)| *window == HEAD_START);
        let head = starts.find_map(|(at, _)| match Head::parse(&bytes[at..], &self.id_header) {
            Parsed::Complete(_) => Some(at),
            Parsed::Partial | Parsed::Invalid => None,
        });
        if let Some(at) = head {
            self.discard(at);
        }
        head.is_some()
    }

    fn owner(&self, head: &Head<'_>) -> Owner {
        match head.id {
            _ if self.id.is_none() => Owner::Request,
            Some(id) if Some(id) == self.id.as_deref() => Owner::Request,
            Some(_) => Owner::Other,
            None if head.is_interim() => Owner::Request,
            None if self.names_requests || self.carried_anonymous() => Owner::Other,
            None => Owner::Request,
        }
    }

    /// Returns the requests before the one in flight, the last one first.
    fn earlier(&self) -> impl Iterator<Item = &Carried> {
        self.carried.iter().rev().skip(1)
    }

    /// Returns whether the connection carried a request without an id, such as a health check, whose response
    /// names no request either.
    fn carried_anonymous(&self) -> bool {
        self.earlier().any(|carried| carried.id.is_none())
    }

    /// Returns how the end of the body is found, if the response is that to an earlier request.
    fn body_length(&self, head: &Head<'_>) -> BodyLength {
        let id = head.id.map(IdHash::new);
        let copied = match id {
            Some(_) => self.earlier().find(|carried| carried.id == id),
            // The last response is the likeliest one to be repeated.
            None => self.earlier().next(),
        };
        if head.is_interim() || copied.is_some_and(|carried| carried.is_head) {
            return BodyLength::Bytes(0);
        }
        head.body
    }

    /// Passes over a foreign response with a head of `length` bytes, unless the end of its body is too far or
    /// unknown: such a response is passed through, and ends the connection.
    fn pass_over(&mut self, length: usize, body: BodyLength) {
        let left = MAX_PASSED_OVER_BYTES.saturating_sub(self.passed_over_bytes);
        let rest = match body {
            BodyLength::Bytes(count) if left > 0 && count <= left => Rest::Bytes(count),
            BodyLength::Chunks if left > 0 => Rest::CHUNKS,
            _ => {
                self.state = State::Pass;
                return;
            }
        };
        self.discard(length);
        self.passed_over += 1;
        self.state = State::Discard(rest);
    }

    fn step_discard(&mut self, rest: Rest) -> bool {
        let Step::Consumed(count, next) = rest.step(&self.bytes[self.ready..]) else {
            self.state = State::Failed;
            return false;
        };
        self.discard(count);
        self.state = match next {
            None => State::Head,
            Some(next @ Rest::Bytes(_)) => State::Discard(next),
            Some(_) if self.passed_over_bytes > MAX_PASSED_OVER_BYTES => State::Failed,
            Some(next) => State::Discard(next),
        };
        true
    }

    fn discard(&mut self, count: usize) {
        self.bytes.drain(self.ready..self.ready + count);
        self.passed_over_bytes += count as u64;
    }
}
