//! Frames that two instances exchange, and their size limits.
//!
//! Field names are one letter on the wire, since the traffic between instances has a budget in
//! bytes.

use std::{fmt, net::SocketAddr, str::FromStr};

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use sg_share::Message;
use sg_tree::Digest;
use sg_types::prelude::*;

use crate::{Headroom, notice};

/// The maximum number of share engine messages in a frame.
pub const MAX_SHARES: usize = 64;
/// The maximum number of notices in a frame.
pub const MAX_NOTICES: usize = 16;
/// The maximum number of hints in a frame.
pub const MAX_HINTS: usize = 4;
/// The maximum number of slots in a frame.
pub const MAX_SLOTS: usize = 64;
/// The maximum size of a frame, in bytes.
pub const MAX_BYTES: u32 = 64 << 10;

/// The first four bytes of a digest, which suffice to detect that two trees differ.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct DigestPrefix(u32);

impl From<Digest> for DigestPrefix {
    fn from(digest: Digest) -> Self {
        let bytes = digest.as_bytes();
        Self(
            bytes[..4]
                .iter()
                .fold(0, |prefix, byte| prefix << 8 | u32::from(*byte)),
        )
    }
}

impl fmt::Display for DigestPrefix {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

impl FromStr for DigestPrefix {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u32::from_str_radix(text, 16).map(Self)
    }
}

impl Serialize for DigestPrefix {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for DigestPrefix {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        String::deserialize(deserializer)?
            .parse()
            .map_err(de::Error::custom)
    }
}

/// The location and addresses of an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    /// The failure domain of the instance.
    #[serde(rename = "d")]
    pub domain: id::Domain,
    /// The region of the instance.
    #[serde(rename = "r")]
    pub region: id::Region,
    /// The address for other instances.
    #[serde(rename = "p")]
    pub peer: SocketAddr,
    /// The address for callers.
    #[serde(rename = "e")]
    pub entry: SocketAddr,
    /// The address for operators.
    #[serde(rename = "a", skip_serializing_if = "Option::is_none")]
    pub admin: Option<SocketAddr>,
}

/// Information about a third instance, passed on by the sender of a frame.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hint {
    /// The name of the instance.
    #[serde(rename = "n")]
    pub instance: id::Instance,
    /// The incarnation of the instance.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
    /// The location and addresses of the instance.
    #[serde(flatten)]
    pub place: Place,
    /// The time since the sender last heard from the instance, in milliseconds.
    #[serde(rename = "t")]
    pub age_millis: u64,
    /// The headroom of the instance; omitted if it is full.
    #[serde(rename = "g", default, skip_serializing_if = "Option::is_none")]
    pub headroom: Option<Headroom>,
}

/// The statement that no revision after the one in the frame was accepted at some earlier time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Confirmation {
    /// The age of the statement by the sender's clock, in milliseconds, rounded up.
    pub age_millis: u64,
}

/// A request or response of an exchange.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Frame {
    /// The sender.
    #[serde(rename = "f")]
    pub from: id::Instance,
    /// The incarnation of the sender.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
    /// The identifier that a response copies from its request.
    #[serde(rename = "n")]
    pub nonce: u32,
    /// The newest revision that the sender has read.
    #[serde(rename = "r")]
    pub revision: Revision,
    /// The digest prefix of that revision's tree.
    #[serde(rename = "d")]
    pub digest_prefix: DigestPrefix,
    /// The revision in force on the sender, if it is not the newest one.
    #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
    pub in_force: Option<Revision>,
    /// The slots held by the sender whose claims are confirmed.
    #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
    pub slots: Vec<Slot>,
    /// The sender's evidence of freshness, if the evidence is still valid.
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
    /// The location and addresses of the sender, until the receiver has answered once.
    #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
    pub place: Option<Place>,
    /// Whether the sender is about to stop.
    #[serde(rename = "l", default, skip_serializing_if = "std::ops::Not::not")]
    pub leaving: bool,
    /// The headroom of the sender; omitted if it is full.
    #[serde(rename = "g", default, skip_serializing_if = "Option::is_none")]
    pub headroom: Option<Headroom>,
}

/// The reason for which a frame was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, thiserror::Error, Serialize, Deserialize)]
pub enum Rejection {
    /// The frame exceeds a limit.
    #[error("the frame holds too much; check that all instances run the same release")]
    TooMuch,
    /// The frame names its receiver as the sender.
    #[error("the frame bears the receiver's own name; give each instance its own name")]
    FromSelf,
    /// The frame comes from an earlier incarnation of its sender.
    #[error("the frame is from an earlier run of its sender; restart that process")]
    Replaced,
    /// The response belongs to another request.
    #[error("the frame answers another request; check for proxies between instances")]
    Crossed,
}

impl Rejection {
    /// Returns the value of the `reason` metric label.
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
    /// Checks the limits of the frame.
    ///
    /// # Errors
    /// [`Rejection::TooMuch`] if the frame exceeds one of them.
    pub fn check(&self) -> Result<(), Rejection> {
        let fits = self.shares.len() <= MAX_SHARES
            && self.notices.len() <= MAX_NOTICES
            && self.hints.len() <= MAX_HINTS
            && self.slots.len() <= MAX_SLOTS;
        fits.then_some(()).ok_or(Rejection::TooMuch)
    }

    /// Returns the length of the serialized frame, in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        serde_json::to_vec(self).map_or(0, |text| text.len())
    }
}
