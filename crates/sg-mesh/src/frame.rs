//! The frames that instances send each other, one per datagram, encoded as JSON except for digests and
//! messages about slots.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use sg_store::{Version, version::Era};
use sg_types::prelude::*;

use crate::{
    digest::{self, Digest},
    retention::{EncodedRange, Range},
    slots::{self, Packet},
};

/// The largest datagram, in bytes.
pub const MAX_FRAME_BYTES: usize = 8_192;

/// The location of an instance, with its addresses.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Location {
    /// The instance's failure domain.
    pub domain: id::Domain,
    /// The instance's region.
    pub region: id::Region,
    /// The address for callers.
    #[serde(rename = "entry")]
    pub caller_address: SocketAddr,
    /// The address for other instances.
    #[serde(rename = "mesh")]
    pub mesh_address: SocketAddr,
}

/// What a target stated in a response about the requests per second that it takes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RateStatement {
    /// The target.
    pub target: id::Target,
    /// The rate for all instances together; `None` if the target states no limit.
    pub rate: Option<Rate>,
    /// The time since the response arrived, in milliseconds.
    pub age_ms: u64,
}

/// A run of a target that is leaving.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departure {
    /// The target.
    pub target: id::Target,
    /// The start time of the target's process, in milliseconds since the epoch by its own clock.
    #[serde(rename = "born")]
    pub started_at_millis: u64,
}

/// The versions of what an instance retains of earlier eras of a prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Retained {
    /// The index of the followed prefix.
    pub index: usize,
    /// The versions.
    pub versions: EncodedRange,
}

/// The state that an instance announces several times a second.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Beacon {
    /// The sender's name.
    pub instance: id::Instance,
    /// The sender's current run.
    pub incarnation: Incarnation,
    /// The sender's location and addresses.
    #[serde(rename = "place")]
    pub location: Location,
    /// Whether the sender accepts requests.
    pub ready: bool,
    /// Whether the sender is about to stop.
    pub leaving: bool,
    /// Whether the sender has lost its paths to all targets and passes requests on.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub cut_off: bool,
    /// The store version up to which the sender knows each followed prefix, in the fixed order of the
    /// followed prefixes.
    pub positions: Vec<u64>,
    /// The era of each position; missing eras are 0.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub eras: Vec<u64>,
    /// The store version of the last change that the sender knows of each followed prefix, of the same eras.
    /// Positions advance without changes of the prefix as well.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub changed: Vec<u64>,
    /// What the sender retains of earlier eras of the store until the owners write again.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub retained: Vec<Retained>,
    /// Whether the sender follows the store and reached it lately.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub follows: bool,
    /// Whether the sender reads digests, so that it needs no beacons of other failure domains.
    #[serde(
        rename = "digests",
        default,
        skip_serializing_if = "std::ops::Not::not"
    )]
    pub takes_digests: bool,
    /// Whether the sender asks for slots and may assign them. It does neither while no route needs it.
    #[serde(rename = "slots", default, skip_serializing_if = "std::ops::Not::not")]
    pub takes_slots: bool,
    /// The memory of the sender's machine in MiB, if the sender takes part in the assignment of slots and its
    /// settings tell; zero otherwise.
    #[serde(rename = "memory", default, skip_serializing_if = "is_zero")]
    pub memory_mb: u64,
    /// The number of slots kept busy by requests that arrive at the sender, by service. Senders round the
    /// numbers, because a beacon goes to every instance.
    pub demand: Vec<(id::Service, f64)>,
    /// The part of `demand` that may run in one region only.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub bound: Vec<(id::Service, id::Region, f64)>,
    /// The tokens that the sender wants to borrow, by client account. Earlier releases send them here
    /// instead of in [`Frame::Wanted`].
    #[serde(rename = "wanted")]
    pub wanted_tokens: Vec<(id::Account, u32)>,
    /// The mesh addresses of some instances whose beacons the sender received lately.
    #[serde(rename = "others")]
    pub other_addresses: Vec<SocketAddr>,
    /// What targets stated to the sender lately.
    #[serde(rename = "rates", default, skip_serializing_if = "Vec::is_empty")]
    pub rate_statements: Vec<RateStatement>,
}

/// The content of one datagram.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "frame", rename_all = "kebab-case")]
pub enum Frame {
    /// The periodic announcement of an instance's state.
    Beacon(Box<Beacon>),
    /// A transfer of tokens of a client account's budget from the sender's share to the receiver.
    Loan {
        /// The lender.
        from: id::Instance,
        /// The lender's current run.
        incarnation: Incarnation,
        /// The run of the borrower; other runs ignore the loan.
        to: Incarnation,
        /// The sequence number of the lender's loans, so that a duplicated datagram is credited once.
        number: u64,
        /// The client account.
        account: id::Account,
        /// The number of tokens lent.
        tokens: u32,
        /// The value of the ask, if the tokens are direct: the borrower uses them at once, and the lender
        /// refills them sooner. Earlier releases lend no direct tokens.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        asked_at: Option<u64>,
    },
    /// A request for tokens of a client account's budget that the sender needs at once.
    Ask {
        /// The sender's current run.
        incarnation: Incarnation,
        /// The client account.
        account: id::Account,
        /// The number of tokens requested.
        tokens: u32,
        /// The time of the ask in nanoseconds by the sender's clock, if a waiting request uses the tokens
        /// at once. The loan returns it, so that the sender knows the age of the tokens.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        asked_at: Option<u64>,
    },
    /// A request for tokens of several client accounts that the sender expects to need. It goes to the
    /// instances that hold parts of these accounts' budgets.
    Wanted {
        /// The sender's current run.
        incarnation: Incarnation,
        /// The tokens that the sender wants to borrow, by client account.
        tokens: Vec<(id::Account, u32)>,
    },
    /// Runs of targets that told the sender that they are leaving. Instances of earlier releases skip this
    /// frame.
    Departures {
        /// The sender.
        from: id::Instance,
        /// The runs.
        runs: Vec<Departure>,
    },
    /// Beacons of another failure domain. They are no JSON.
    #[serde(skip)]
    Digest(Digest),
    /// Messages between an asking instance and a dispatcher. They are no JSON.
    #[serde(skip)]
    Slots(Packet),
    /// A notice that all instances have to receive at once.
    Notice {
        /// The sender.
        from: id::Instance,
        /// The notice.
        notice: Notice,
    },
}

impl Beacon {
    /// Returns the store version up to which the sender knows the prefix at `index`.
    #[must_use]
    pub fn position(&self, index: usize) -> Version {
        let at = |numbers: &[u64]| numbers.get(index).copied().unwrap_or(0);
        Version::at(Era::new(at(&self.eras)), at(&self.positions))
    }

    /// Returns the store version of the last change that the sender knows of the prefix at `index`; zero if
    /// the sender, of an earlier release, doesn't tell.
    #[must_use]
    pub fn last_change(&self, index: usize) -> Version {
        let at = |numbers: &[u64]| numbers.get(index).copied().unwrap_or(0);
        Version::at(Era::new(at(&self.eras)), at(&self.changed))
    }

    /// Returns the versions of what the sender retains of earlier eras of the prefix at `index`.
    #[must_use]
    pub fn retained(&self, index: usize) -> Option<Range> {
        let mut retained = self.retained.iter();
        let retained = retained.find(|retained| retained.index == index)?;
        Some(retained.versions.into())
    }

    /// Returns whether other instances have to know at once that `self` has replaced `previous`.
    #[must_use]
    pub fn is_urgent_after(&self, previous: &Self) -> bool {
        let state = |beacon: &Self| {
            let is_usable = (beacon.ready, beacon.leaving, beacon.cut_off);
            (is_usable, beacon.follows, beacon.takes_slots)
        };
        state(self) != state(previous)
            || self.eras != previous.eras
            || self.changed.first() != previous.changed.first()
    }
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
fn is_zero(number: &u64) -> bool {
    *number == 0
}

/// An error in encoding or decoding a frame.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The datagram is not a frame.
    #[error(
        "the datagram is not a valid frame ({0}); check that all instances run the same version"
    )]
    Malformed(#[from] serde_json::Error),
    /// The datagram is not a digest.
    #[error(transparent)]
    Digest(#[from] digest::Error),
    /// The datagram has no valid messages about slots.
    #[error(transparent)]
    Slots(#[from] slots::Error),
    /// The frame exceeds [`MAX_FRAME_BYTES`].
    #[error(
        "a frame of {0} bytes is too large to send; lower the number of accounts that borrow at once"
    )]
    TooLong(usize),
}

impl Frame {
    /// Encodes the frame, as JSON unless it is a digest or has messages about slots.
    ///
    /// # Errors
    /// Returns [`Error::TooLong`] if the frame exceeds [`MAX_FRAME_BYTES`].
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        let bytes = match self {
            Self::Digest(digest) => digest.encode(),
            Self::Slots(packet) => packet.encode(),
            json => serde_json::to_vec(json)?,
        };
        if bytes.len() > MAX_FRAME_BYTES {
            return Err(Error::TooLong(bytes.len()));
        }
        Ok(bytes)
    }

    /// Decodes a frame.
    ///
    /// # Errors
    /// Returns [`Error::Malformed`], [`Error::Digest`] or [`Error::Slots`] if `bytes` are not a frame.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        if Packet::is_packet(bytes) {
            return Ok(Self::Slots(Packet::decode(bytes)?));
        }
        if Digest::is_digest(bytes) {
            return Ok(Self::Digest(Digest::decode(bytes)?));
        }
        Ok(serde_json::from_slice(bytes)?)
    }
}
