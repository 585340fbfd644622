//! What two instances tell each other in one exchange, and the bounds that each frame must keep.
//!
//! Field names are one letter on the wire: the traffic between instances is budgeted in bytes.

use std::{fmt, net::SocketAddr, str::FromStr};

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use sg_share::Message;
use sg_tree::Digest;
use sg_types::prelude::*;

use crate::{Headroom, notice};

/// The most messages between share engines in a frame.
pub const MAX_SHARES: usize = 64;
/// The most notices in a frame.
pub const MAX_NOTICES: usize = 16;
/// The most hints in a frame.
pub const MAX_HINTS: usize = 4;
/// The most slots in a frame.
pub const MAX_SLOTS: usize = 64;
/// The largest frame, in bytes.
pub const MAX_BYTES: u32 = 64 << 10;

/// The first four bytes of a digest, enough to see that two trees differ.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct Mark(u32);

impl From<Digest> for Mark {
    fn from(digest: Digest) -> Self {
        let bytes = digest.as_bytes();
        Self(
            bytes[..4]
                .iter()
                .fold(0, |mark, byte| mark << 8 | u32::from(*byte)),
        )
    }
}

impl fmt::Display for Mark {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

impl FromStr for Mark {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u32::from_str_radix(text, 16).map(Self)
    }
}

impl Serialize for Mark {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Mark {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        String::deserialize(deserializer)?
            .parse()
            .map_err(de::Error::custom)
    }
}

/// Where an instance is and how it is reached.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    /// Its failure domain.
    #[serde(rename = "d")]
    pub domain: id::Domain,
    /// Its region.
    #[serde(rename = "r")]
    pub region: id::Region,
    /// Where other instances reach it.
    #[serde(rename = "p")]
    pub peer: SocketAddr,
    /// Where callers reach it.
    #[serde(rename = "e")]
    pub entry: SocketAddr,
    /// Where operators reach it.
    #[serde(rename = "a", skip_serializing_if = "Option::is_none")]
    pub admin: Option<SocketAddr>,
}

/// What the sender knows of an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hint {
    /// The instance.
    #[serde(rename = "n")]
    pub instance: id::Instance,
    /// Its run.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
    /// Where it is.
    #[serde(flatten)]
    pub place: Place,
    /// How long ago it was heard from, in milliseconds.
    #[serde(rename = "t")]
    pub age_millis: u64,
    /// Its headroom, unless all of it is free.
    #[serde(rename = "g", default, skip_serializing_if = "Option::is_none")]
    pub headroom: Option<Headroom>,
}

/// That no revision after the frame's was accepted, as of a moment in the past.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Confirmation {
    /// How long ago, by the sender's clock, in milliseconds, rounded up.
    pub age_millis: u64,
}

/// One half of an exchange.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Frame {
    /// The sender.
    #[serde(rename = "f")]
    pub from: id::Instance,
    /// The sender's run.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
    /// Ties the answer to the request.
    #[serde(rename = "n")]
    pub nonce: u32,
    /// The newest revision that the sender has read.
    #[serde(rename = "r")]
    pub revision: Revision,
    /// The mark of that revision's tree.
    #[serde(rename = "d")]
    pub mark: Mark,
    /// The revision in force there, if it is another one.
    #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
    pub in_force: Option<Revision>,
    /// The slots that the sender holds, their claims confirmed.
    #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
    pub slots: Vec<Slot>,
    /// What the sender has confirmed.
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    pub confirmed: Option<Confirmation>,
    /// Messages between share engines.
    #[serde(rename = "m", default, skip_serializing_if = "Vec::is_empty")]
    pub shares: Vec<Message>,
    /// Notices that the receiver may not know.
    #[serde(rename = "o", default, skip_serializing_if = "Vec::is_empty")]
    pub notices: Vec<notice::Item>,
    /// Other instances that the receiver may not know.
    #[serde(rename = "h", default, skip_serializing_if = "Vec::is_empty")]
    pub hints: Vec<Hint>,
    /// Where the sender is, until the receiver has answered it once.
    #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
    pub place: Option<Place>,
    /// Whether the sender is about to stop.
    #[serde(rename = "l", default, skip_serializing_if = "std::ops::Not::not")]
    pub leaving: bool,
    /// The sender's headroom, unless all of it is free.
    #[serde(rename = "g", default, skip_serializing_if = "Option::is_none")]
    pub headroom: Option<Headroom>,
}

/// Why a frame is not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, thiserror::Error, Serialize, Deserialize)]
pub enum Refused {
    /// It holds more than a frame may.
    #[error("the frame holds too much; check that all instances run the same release")]
    TooMuch,
    /// It claims to come from its receiver.
    #[error("the frame bears the receiver's own name; give each instance its own name")]
    FromSelf,
    /// It comes from a run that was replaced.
    #[error("the frame is from an earlier run of its sender; restart that process")]
    Replaced,
    /// It answers another request.
    #[error("the frame answers another request; check for proxies between instances")]
    Crossed,
}

impl Refused {
    /// The text that counters carry.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::TooMuch => "too-much",
            Self::FromSelf => "from-self",
            Self::Replaced => "replaced",
            Self::Crossed => "crossed",
        }
    }
}

impl Frame {
    /// Checks the bounds.
    ///
    /// # Errors
    /// [`Refused::TooMuch`].
    pub fn check(&self) -> Result<(), Refused> {
        let fits = self.shares.len() <= MAX_SHARES
            && self.notices.len() <= MAX_NOTICES
            && self.hints.len() <= MAX_HINTS
            && self.slots.len() <= MAX_SLOTS;
        fits.then_some(()).ok_or(Refused::TooMuch)
    }

    /// The length of the frame's text, in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        serde_json::to_vec(self).map_or(0, |text| text.len())
    }
}
