//! The datagrams in which instances ask a dispatcher for slots, in a compact binary form.
//!
//! The first byte is the version of the format, which neither a JSON frame nor a digest begins with. The
//! incarnation of the asking instance follows, because all messages of a datagram belong to one asking instance.
//! Numbers are little-endian. Times are in microseconds, so that the longest one is 71 minutes.

use sg_dispatch::{
    Ask, Bid, Decision, Ticket,
    exchange::{Message, ServiceKey},
    message::{End, Lease, Outcome},
};
use sg_place::{hash::Object, member::LoadReport, pace::Pace};
use sg_types::prelude::*;

use crate::frame::MAX_FRAME_BYTES;

/// The first byte of a datagram. Digests have low numbers.
const VERSION: u8 = 0x81;
/// The length of version and incarnation.
const HEADER_BYTES: usize = 9;
/// The largest number of excluded targets that an ask tells, so that an ask stays small.
pub const MAX_EXCLUDED: usize = 4;

const ASK: u8 = 1;
const GRANT: u8 = 2;
const WAIT: u8 = 3;
const REJECT: u8 = 4;
const END: u8 = 5;
const CANCEL: u8 = 6;
const ADOPT: u8 = 7;

/// The bits of an end's flags: a report with a pace follows, and a measured work.
const HAS_REPORT: u8 = 1;
const HAS_PACE: u8 = 2;
const HAS_WORK: u8 = 4;

/// An error in decoding a datagram with messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The datagram ends within a message.
    #[error("the datagram ends within a message; check that all instances run compatible versions")]
    Truncated,
    /// A message has an unknown kind or an invalid field.
    #[error(
        "the datagram has an invalid message; check that all instances run compatible versions"
    )]
    Invalid,
}

/// The messages of one datagram.
#[derive(Debug, Clone, PartialEq)]
pub struct Packet {
    /// The run of the asking instance.
    pub asking: Incarnation,
    /// The messages, each with its service.
    pub messages: Vec<(ServiceKey, Message)>,
}

/// Collects messages for one receiver into datagrams.
#[derive(Debug, Clone)]
pub struct Writer {
    asking: Incarnation,
    bytes: Vec<u8>,
}

impl Writer {
    /// Creates a writer of messages of the asking instance's run `asking`.
    #[must_use]
    pub fn new(asking: Incarnation) -> Self {
        let mut writer = Self {
            asking,
            bytes: Vec::with_capacity(128),
        };
        writer.begin();
        writer
    }

    fn begin(&mut self) {
        self.bytes.push(VERSION);
        self.bytes.extend(self.asking.get().to_le_bytes());
    }

    /// Adds a message. Returns the datagram that was full before, if any.
    pub fn push(&mut self, service: ServiceKey, message: &Message) -> Option<Vec<u8>> {
        let start = self.bytes.len();
        write_message(&mut self.bytes, service, message);
        if self.bytes.len() <= MAX_FRAME_BYTES {
            return None;
        }
        let last = self.bytes.split_off(start);
        let full = std::mem::take(&mut self.bytes);
        self.begin();
        self.bytes.extend(last);
        Some(full)
    }

    /// Returns the last datagram.
    #[must_use]
    pub fn finish(self) -> Vec<u8> {
        self.bytes
    }
}

impl Packet {
    /// Returns whether `bytes` begin like a datagram with messages.
    #[must_use]
    pub fn is_packet(bytes: &[u8]) -> bool {
        bytes.first() == Some(&VERSION)
    }

    /// Returns the bytes of the messages, which are cut off where the datagram is full.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let mut writer = Writer::new(self.asking);
        for (service, message) in &self.messages {
            if let Some(full) = writer.push(*service, message) {
                return full;
            }
        }
        writer.finish()
    }

    /// Reads a datagram.
    ///
    /// # Errors
    /// Returns [`Error`] if `bytes` are not a complete datagram with valid messages.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        let (header, content) = bytes
            .split_at_checked(HEADER_BYTES)
            .ok_or(Error::Truncated)?;
        if !Self::is_packet(header) {
            return Err(Error::Invalid);
        }
        let mut header = Reader(&header[1..]);
        let asking = Incarnation::new(header.u64()?);
        let mut reader = Reader(content);
        let mut messages = Vec::new();
        while !reader.0.is_empty() {
            messages.push(reader.message(asking)?);
        }
        Ok(Self { asking, messages })
    }
}

fn put_span(bytes: &mut Vec<u8>, span: Span) {
    let micros = u32::try_from(span.as_nanos() / 1_000).unwrap_or(u32::MAX);
    bytes.extend(micros.to_le_bytes());
}

/// Writes a text with its length. Identifiers are no longer than [`id::MAX_LEN`].
fn put_text(bytes: &mut Vec<u8>, text: &str) {
    bytes.push(text.len() as u8);
    bytes.extend(text.as_bytes());
}

/// Writes an object with a flag before it.
fn put_object(bytes: &mut Vec<u8>, object: Option<Object>) {
    bytes.push(object.is_some().into());
    if let Some(object) = object {
        bytes.extend(object.to_bits().to_le_bytes());
    }
}

fn put_small(bytes: &mut Vec<u8>, number: u32) {
    let number = u16::try_from(number).unwrap_or(u16::MAX);
    bytes.extend(number.to_le_bytes());
}

fn write_message(bytes: &mut Vec<u8>, service: ServiceKey, message: &Message) {
    let kind = match message {
        Message::Ask(_) => ASK,
        Message::End { .. } => END,
        Message::Cancel { .. } => CANCEL,
        Message::Adopt(_) => ADOPT,
        Message::Decision(Decision::Grant { .. }) => GRANT,
        Message::Decision(Decision::Wait { .. }) => WAIT,
        Message::Decision(Decision::Reject { .. }) => REJECT,
    };
    bytes.push(kind);
    bytes.extend(service.get().to_le_bytes());
    bytes.extend(message.ticket().number.to_le_bytes());
    match message {
        Message::Ask(ask) => write_ask(bytes, ask),
        Message::End { end, .. } => write_end(bytes, end),
        Message::Cancel { .. } => {}
        Message::Adopt(lease) => {
            put_text(bytes, lease.target.as_str());
            put_object(bytes, lease.object);
            put_span(bytes, lease.work);
            put_span(bytes, lease.age);
            put_span(bytes, lease.deadline_left);
        }
        Message::Decision(decision) => match decision {
            Decision::Grant {
                target, is_warm, ..
            } => {
                put_text(bytes, target.as_str());
                bytes.push((*is_warm).into());
            }
            Decision::Wait { expected, .. } => put_span(bytes, *expected),
            Decision::Reject { retry_after, .. } => put_span(bytes, *retry_after),
        },
    }
}

fn write_ask(bytes: &mut Vec<u8>, ask: &Ask) {
    let bid = &ask.bid;
    put_object(bytes, ask.object);
    put_small(bytes, bid.priority);
    for span in [
        bid.objective_left,
        bid.deadline_left,
        bid.work,
        bid.waited,
        ask.warm_work,
        ask.cold_work,
    ] {
        put_span(bytes, span);
    }
    put_text(bytes, bid.account.as_ref().map_or("", id::Account::as_str));
    put_text(bytes, bid.route.as_str());
    let excluded = &ask.excluded[..ask.excluded.len().min(MAX_EXCLUDED)];
    bytes.push(excluded.len() as u8);
    for target in excluded {
        put_text(bytes, target.as_str());
    }
}

fn write_end(bytes: &mut Vec<u8>, end: &End) {
    bytes.push(match end.outcome {
        Outcome::Answered => 0,
        Outcome::NotRun => 1,
        Outcome::Lost => 2,
        Outcome::Late => 3,
    });
    let pace = end.report.and_then(|report| report.pace);
    let flag = |is_set, flag| if is_set { flag } else { 0 };
    bytes.push(
        flag(end.report.is_some(), HAS_REPORT)
            | flag(pace.is_some(), HAS_PACE)
            | flag(end.work.is_some(), HAS_WORK),
    );
    if let Some(report) = end.report {
        put_small(bytes, report.running);
        put_small(bytes, report.waiting);
        put_small(bytes, report.slots);
    }
    if let Some(pace) = pace {
        put_small(bytes, pace.percent());
    }
    if let Some(work) = end.work {
        put_span(bytes, work);
    }
}

/// The rest of a datagram that is being read.
struct Reader<'a>(&'a [u8]);

impl<'a> Reader<'a> {
    fn take(&mut self, length: usize) -> Result<&'a [u8], Error> {
        let (taken, rest) = self.0.split_at_checked(length).ok_or(Error::Truncated)?;
        self.0 = rest;
        Ok(taken)
    }

    fn array<const LENGTH: usize>(&mut self) -> Result<[u8; LENGTH], Error> {
        let (taken, rest) = self.0.split_first_chunk().ok_or(Error::Truncated)?;
        self.0 = rest;
        Ok(*taken)
    }

    fn u8(&mut self) -> Result<u8, Error> {
        self.array::<1>().map(|[byte]| byte)
    }

    fn flag(&mut self) -> Result<bool, Error> {
        match self.u8()? {
            0 => Ok(false),
            1 => Ok(true),
            _ => Err(Error::Invalid),
        }
    }

    fn small(&mut self) -> Result<u32, Error> {
        self.array().map(|bytes| u16::from_le_bytes(bytes).into())
    }

    fn u64(&mut self) -> Result<u64, Error> {
        self.array().map(u64::from_le_bytes)
    }

    fn span(&mut self) -> Result<Span, Error> {
        let micros = self.array().map(u32::from_le_bytes)?;
        Ok(Span::from_micros(micros.into()))
    }

    fn text(&mut self) -> Result<&'a str, Error> {
        let length = self.u8()?;
        std::str::from_utf8(self.take(length.into())?).map_err(|_| Error::Invalid)
    }

    fn target(&mut self) -> Result<id::Target, Error> {
        id::Target::new(self.text()?).map_err(|_| Error::Invalid)
    }

    fn object(&mut self) -> Result<Option<Object>, Error> {
        let has_object = self.flag()?;
        has_object
            .then(|| self.u64().map(Object::from_bits))
            .transpose()
    }

    fn message(&mut self, asking: Incarnation) -> Result<(ServiceKey, Message), Error> {
        let kind = self.u8()?;
        let service = ServiceKey::new(self.array().map(u32::from_le_bytes)?);
        let ticket = Ticket {
            sender: asking,
            number: self.u64()?,
        };
        let message = match kind {
            ASK => Message::Ask(self.ask(ticket)?),
            GRANT => Message::Decision(Decision::Grant {
                ticket,
                target: self.target()?,
                is_warm: self.flag()?,
            }),
            WAIT => Message::Decision(Decision::Wait {
                ticket,
                expected: self.span()?,
            }),
            REJECT => Message::Decision(Decision::Reject {
                ticket,
                retry_after: self.span()?,
            }),
            END => Message::End {
                ticket,
                end: self.end()?,
            },
            CANCEL => Message::Cancel { ticket },
            ADOPT => Message::Adopt(Lease {
                ticket,
                target: self.target()?,
                object: self.object()?,
                work: self.span()?,
                age: self.span()?,
                deadline_left: self.span()?,
            }),
            _ => return Err(Error::Invalid),
        };
        Ok((service, message))
    }

    fn ask(&mut self, ticket: Ticket) -> Result<Ask, Error> {
        let object = self.object()?;
        let priority = self.small()?;
        let [objective_left, deadline_left, work] = [self.span()?, self.span()?, self.span()?];
        let [waited, warm_work, cold_work] = [self.span()?, self.span()?, self.span()?];
        let account = match self.text()? {
            "" => None,
            name => Some(id::Account::new(name).map_err(|_| Error::Invalid)?),
        };
        let route = id::Route::new(self.text()?).map_err(|_| Error::Invalid)?;
        let excluded_count = usize::from(self.u8()?);
        if excluded_count > MAX_EXCLUDED {
            return Err(Error::Invalid);
        }
        let excluded = (0..excluded_count).map(|_| self.target());
        let excluded = excluded.collect::<Result<Vec<_>, _>>()?;
        Ok(Ask {
            ticket,
            object,
            bid: Bid {
                priority,
                objective_left,
                deadline_left,
                work,
                waited,
                account,
                route,
            },
            warm_work,
            cold_work,
            excluded,
        })
    }

    fn end(&mut self) -> Result<End, Error> {
        let outcome = match self.u8()? {
            0 => Outcome::Answered,
            1 => Outcome::NotRun,
            2 => Outcome::Lost,
            3 => Outcome::Late,
            _ => return Err(Error::Invalid),
        };
        let flags = self.u8()?;
        let mut report = None;
        if flags & HAS_REPORT != 0 {
            report = Some(LoadReport {
                running: self.small()?,
                waiting: self.small()?,
                slots: self.small()?,
                pace: None,
            });
        }
        if flags & HAS_PACE != 0 {
            let pace = Pace::from_percent(self.small()?);
            let report = report.as_mut().ok_or(Error::Invalid)?;
            report.pace = Some(pace);
        }
        let has_work = flags & HAS_WORK != 0;
        let work = has_work.then(|| self.span()).transpose()?;
        Ok(End {
            outcome,
            report,
            work,
        })
    }
}
