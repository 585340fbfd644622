//! Progress of a caller's connection, and when the connection has to end because of it.

use sg_types::prelude::*;

use super::{
    ahead::{Ahead, Part},
    chunks::Chunks,
};

/// Time in which a request whose body ends early may be refused before its connection ends.
const REFUSAL_TIME: Span = Span::from_millis(250);
/// Interval at which the state of the socket is checked while the read-ahead buffer is full. The work of a
/// caller that is gone ends within half a second.
const PROBE_INTERVAL: Span = Span::from_millis(200);
/// Time without progress after which a response ends whose request has no time left.
const STALL_TIME: Span = Span::from_secs(5);

/// Why a connection has to end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// The caller has closed its side, or the connection was reset.
    Gone,
    /// The caller does not read its response.
    Stalled,
    /// The head of a request is not complete in time, or the rest of a body behind the response.
    LateHead,
    /// The memory of the connection is needed.
    Evicted,
}

impl Ending {
    /// Returns the label in metrics and log lines.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Gone => "gone",
            Self::Stalled => "stalled",
            Self::LateHead => "late-head",
            Self::Evicted => "evicted",
        }
    }
}

/// Arrival of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Arrival {
    /// Time at which the head of the request was read from the socket.
    pub read_at: Instant,
    /// Time at which the response before was complete, if the request had arrived by then.
    pub behind: Option<Instant>,
}

/// What happens at the time of the next check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Check {
    /// The connection ends.
    End(Ending),
    /// The socket is checked for the end of the stream.
    Probe,
}

/// What may be read from the socket next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum NextRead {
    /// Up to so many bytes.
    UpTo(usize),
    /// No bytes. The end of the stream is waited for.
    OnlyEnd,
}

/// End of the stream from the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum End {
    /// The caller has closed its side.
    Closed(Instant),
    /// The connection was reset, or failed.
    Reset(Instant),
}

/// What the connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Waits for a request since a time.
    Idle(Instant),
    /// Handles a request, or takes its response while that arrives.
    Busy,
    /// Takes a response that is in memory.
    Delivering,
    /// Writes the rest of a response to the socket.
    Flushing,
}

/// Progress of a connection.
#[derive(Debug)]
pub(super) struct Progress {
    pub ahead: Ahead,
    /// Whether the read-ahead buffer has no room.
    pub is_full: bool,
    pub end: Option<End>,
    phase: Phase,
    /// Whether nothing more is taken from the connection.
    is_cut: bool,
    /// Whether the connection closes with the responses to the requests that were read.
    pub is_last: bool,
    /// Whether bytes behind the last request lie unread.
    pub is_crossed: bool,
    /// Whether what the caller sends on can't be told apart into requests.
    is_unframed: bool,
    /// Time until which the caller may take to read the response.
    until: Instant,
    /// Bytes written since the last request.
    written: u64,
    /// Since when the socket has taken no bytes.
    stalled_since: Option<Instant>,
    probed_at: Instant,
}

impl Progress {
    pub fn new(now: Instant) -> Self {
        Self {
            ahead: Ahead::new(now),
            is_full: false,
            end: None,
            phase: Phase::Idle(now),
            is_cut: false,
            is_last: false,
            is_crossed: false,
            is_unframed: false,
            until: now,
            written: 0,
            stalled_since: None,
            probed_at: now,
        }
    }

    /// Returns the number of bytes written since the last request.
    pub fn written(&self) -> u64 {
        self.written
    }

    /// Returns the time until which the caller may take to read the response.
    pub fn until(&self) -> Instant {
        self.until
    }

    /// Returns whether the HTTP library has taken all bytes before the end of the stream.
    pub fn is_at_end(&self) -> bool {
        let is_next_taken = self.ahead.part() != Part::Next;
        is_next_taken && (self.is_cut || self.end.is_some() && self.ahead.is_empty())
    }

    /// Records the start of a request, whose body has `length` bytes if that is known.
    pub fn start_request(&mut self, length: Option<u64>, now: Instant) -> Arrival {
        let read_at = self.ahead.last_taken();
        let behind = match self.phase {
            Phase::Idle(since) => Some(since).filter(|since| read_at < *since),
            Phase::Busy | Phase::Delivering | Phase::Flushing => Some(now),
        };
        self.phase = Phase::Busy;
        self.is_cut |= self.end.is_some();
        self.written = 0;
        self.ahead.start(match length {
            Some(0) => Part::Next,
            Some(length) => Part::Body(length),
            None => Part::Chunks(Chunks::new()),
        });
        Arrival { read_at, behind }
    }

    /// Records that the response is ready, and whether it is in memory, so that a caller that has closed its
    /// side still gets it. The caller may take until `until` to read it.
    pub fn start_response(&mut self, until: Instant, is_received: bool) {
        self.until = until;
        if is_received {
            self.phase = Phase::Delivering;
        }
    }

    /// Records that the HTTP library has taken the response completely.
    pub fn end_body(&mut self) {
        self.phase = Phase::Flushing;
    }

    /// Records that the library has written all of its bytes. Returns whether the response is complete.
    pub fn end_response(&mut self, now: Instant) -> bool {
        if self.phase != Phase::Flushing {
            return false;
        }
        self.phase = Phase::Idle(now);
        self.ahead.end_response();
        if self.is_cut {
            self.ahead.clear();
        }
        true
    }

    /// Records that the connection closes with the responses to the requests that were read.
    pub fn end_requests(&mut self) {
        self.is_last = true;
    }

    /// Records that what the caller sends on can't be told apart into requests.
    pub fn end_framing(&mut self) {
        self.ahead.clear();
        self.is_unframed = true;
    }

    /// Returns how many bytes of the body of the latest request were not read from the socket.
    pub fn unread_body(&self) -> u64 {
        match self.is_unframed {
            true => u64::MAX,
            false => self.ahead.unread_body(),
        }
    }

    /// Returns what may be read from the socket.
    pub fn next_read(&self) -> NextRead {
        let is_idle = matches!(self.phase, Phase::Idle(_));
        // The HTTP library has taken a part of the head.
        let is_head_due = is_idle && self.ahead.head_since().is_some();
        if !self.is_last || is_head_due {
            return NextRead::UpTo(usize::MAX);
        }
        match self.unread_body() {
            0 => NextRead::OnlyEnd,
            unread => NextRead::UpTo(usize::try_from(unread).unwrap_or(usize::MAX)),
        }
    }

    /// Records the end of the stream. A request behind the one in progress is not taken any more.
    pub fn record_end(&mut self, end: End) {
        self.end = Some(end);
        self.ahead.end();
        if !matches!(self.phase, Phase::Idle(_)) {
            self.is_cut = true;
        }
    }

    /// Records that the socket was checked for the end of the stream.
    pub fn record_probe(&mut self, now: Instant) {
        self.probed_at = now;
    }

    /// Records that the socket took `count` bytes.
    pub fn record_written(&mut self, count: usize) {
        self.written += count as u64;
        self.stalled_since = None;
    }

    /// Records that the socket takes no bytes.
    pub fn record_stall(&mut self, now: Instant) {
        self.stalled_since.get_or_insert(now);
    }

    /// Returns whether the connection was reset while a request was handled.
    pub fn is_request_lost(&self) -> bool {
        self.phase == Phase::Busy && matches!(self.end, Some(End::Reset(_)))
    }

    /// Returns the next check and its time.
    pub fn next_check(&self, head_timeout: impl Fn() -> Span) -> Option<(Instant, Check)> {
        let head = match self.phase {
            Phase::Idle(since) => {
                let rest_since = self.ahead.is_answered().then_some(since);
                self.ahead.head_since().or(rest_since).map(|started| {
                    let late_at = started.max(since) + head_timeout();
                    (late_at, Check::End(Ending::LateHead))
                })
            }
            Phase::Busy | Phase::Delivering | Phase::Flushing => None,
        };
        let stall = self.stalled_since.map(|since| {
            let stalled_at = self.until.max(since + STALL_TIME);
            (stalled_at, Check::End(Ending::Stalled))
        });
        let must_probe = self.phase == Phase::Busy && self.is_full && self.end.is_none();
        let probe = must_probe.then(|| (self.probed_at + PROBE_INTERVAL, Check::Probe));
        let gone = self.gone_at().map(|at| (at, Check::End(Ending::Gone)));
        let checks = [gone, head, stall, probe];
        checks.into_iter().flatten().min_by_key(|(at, _)| *at)
    }

    /// Returns when the connection ends because its caller is gone.
    fn gone_at(&self) -> Option<Instant> {
        match self.end? {
            End::Reset(at) => Some(at),
            End::Closed(_) if self.phase != Phase::Busy => None,
            End::Closed(at) if self.ahead.part() == Part::Next => Some(at),
            End::Closed(at) => Some(at + REFUSAL_TIME),
        }
    }
}
