//! Messages about slots survive the wire, and damaged datagrams are errors.

use quickcheck::quickcheck;
use sg_dispatch::{
    Ask, Bid, Decision, Ticket,
    exchange::{Message, ServiceKey},
    message::{End, Lease, Outcome},
};
use sg_mesh::{
    frame::{Frame, MAX_FRAME_BYTES},
    slots::{Packet, Writer},
};
use sg_place::{hash::Object, member::LoadReport, pace::Pace};
use sg_types::prelude::*;

const ASKING: Incarnation = Incarnation::new(0xDEAD_BEEF);

fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(prefix: &str, number: u16) -> T {
    format!("{prefix}{number}").parse().expect("a name")
}

/// Returns a message of a kind by `kind`, with fields by `a`, `b` and `flag`.
fn message((kind, number, a, b, flag): (u8, u64, u32, u16, bool)) -> (ServiceKey, Message) {
    let ticket = Ticket {
        sender: ASKING,
        number,
    };
    let span = Span::from_micros(a.into());
    let object = flag.then(|| Object::from_bits(number ^ u64::from(b)));
    let message = match kind % 7 {
        0 => Message::Ask(Ask {
            ticket,
            object,
            bid: Bid {
                priority: b.into(),
                objective_left: Span::ZERO,
                deadline_left: span,
                work: Span::from_micros(b.into()),
                waited: span,
                account: flag.then(|| name("account-", b)),
                route: name("route-", b),
            },
            warm_work: span,
            cold_work: Span::from_micros(7),
            excluded: (0..b % 5).map(|index| name("i-", index)).collect(),
        }),
        1 => Message::End {
            ticket,
            end: End {
                outcome: [
                    Outcome::Answered,
                    Outcome::NotRun,
                    Outcome::Lost,
                    Outcome::Late,
                ][usize::from(b % 4)],
                report: flag.then_some(LoadReport {
                    running: b.into(),
                    waiting: 0,
                    slots: 8,
                    pace: (a % 2 == 0).then_some(Pace::from_percent(b.into())),
                }),
                work: (b % 2 == 0).then_some(span),
            },
        },
        2 => Message::Cancel { ticket },
        3 => Message::Adopt(Lease {
            ticket,
            target: name("i-", b),
            object,
            work: span,
            age: Span::ZERO,
            deadline_left: span,
        }),
        4 => Message::Decision(Decision::Grant {
            ticket,
            target: name("i-", b),
            is_warm: flag,
        }),
        5 => Message::Decision(Decision::Wait {
            ticket,
            expected: span,
        }),
        _ => Message::Decision(Decision::Reject {
            ticket,
            retry_after: span,
        }),
    };
    (ServiceKey::new(a), message)
}

fn packet(seeds: Vec<(u8, u64, u32, u16, bool)>) -> Packet {
    Packet {
        asking: ASKING,
        messages: seeds.into_iter().take(50).map(message).collect(),
    }
}

quickcheck! {
    fn messages_survive_the_wire(seeds: Vec<(u8, u64, u32, u16, bool)>) -> bool {
        let packet = packet(seeds);
        let bytes = Frame::Slots(packet.clone()).encode().expect("bytes");
        matches!(Frame::decode(&bytes), Ok(Frame::Slots(read)) if read == packet)
    }

    /// A datagram that is cut off within a message must not count as one with fewer fields.
    fn truncated_messages_are_errors(seed: (u8, u64, u32, u16, bool)) -> bool {
        let bytes = packet(vec![seed]).encode();
        // The header alone is a datagram without messages.
        (0..bytes.len()).all(|length| length == 9 || Packet::decode(&bytes[..length]).is_err())
    }

    fn any_bytes_decode_or_are_an_error(bytes: Vec<u8>, seeds: Vec<(u8, u64, u32, u16, bool)>) -> bool {
        let _ = Packet::decode(&[&[0x81], bytes.as_slice()].concat());
        let mut damaged = packet(seeds).encode();
        for (index, byte) in bytes.iter().enumerate() {
            let length = damaged.len();
            damaged[(index * 31 + usize::from(*byte)) % length] = *byte;
        }
        let _ = Frame::decode(&damaged);
        true
    }
}

/// An instance has little processor time and bandwidth, and asks once for each request.
#[test]
fn ask_is_small() {
    let bytes = packet(vec![(0, u64::MAX, u32::MAX, 64_999, true)]).encode();
    assert!(bytes.len() < 150, "{}", bytes.len());
}

/// Many leases are told at once when another instance takes over.
#[test]
fn messages_beyond_a_datagram_go_into_the_next() {
    let mut writer = Writer::new(ASKING);
    let messages: Vec<_> = (0..500)
        .map(|number| message((3, number, 5, 1_000, true)))
        .collect();
    let full = messages
        .iter()
        .filter_map(|(service, message)| writer.push(*service, message));
    let mut datagrams: Vec<_> = full.collect();
    datagrams.push(writer.finish());
    assert!(datagrams.iter().all(|bytes| bytes.len() <= MAX_FRAME_BYTES));
    let read = datagrams.iter().map(|bytes| Packet::decode(bytes));
    let read = read.flat_map(|packet| packet.expect("a datagram").messages);
    assert_eq!(read.collect::<Vec<_>>(), messages);
}

/// Earlier builds skip a datagram that is neither JSON nor a digest of their version.
#[test]
fn earlier_builds_skip_the_datagram() {
    let bytes = packet(vec![(2, 1, 1, 1, false)]).encode();
    assert!(sg_mesh::digest::Digest::decode(&bytes).is_err());
    assert!(serde_json::from_slice::<Frame>(&bytes).is_err());
}
