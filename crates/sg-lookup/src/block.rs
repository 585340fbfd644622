//! Blocks of client addresses.

use std::{
    fmt,
    net::{IpAddr, Ipv6Addr},
    str::FromStr,
};

use ipnet::IpNet;
use serde::{Deserialize, Serialize};

/// The length in bits of the longest IPv6 prefix that fits in the upper half of an address.
pub(crate) const HALF_BITS: u8 = 64;

/// A block of addresses: a prefix and its length. Text form: `10.1.0.0/16`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Block(IpNet);

/// A text that does not parse as a block.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("'{text}' is not a block of addresses; write it like 10.1.0.0/16 or 2001:db8::/32")]
pub struct ParseError {
    /// The rejected text, truncated.
    pub text: String,
}

impl Block {
    /// Creates a block from `net`; address bits after the prefix are cleared.
    #[must_use]
    pub fn new(net: IpNet) -> Self {
        Self(net.trunc())
    }

    /// Returns the network prefix.
    #[must_use]
    pub const fn net(self) -> IpNet {
        self.0
    }
}

impl FromStr for Block {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let net = text.trim().parse().map_err(|_| ParseError {
            text: text.chars().take(64).collect(),
        })?;
        Ok(Self::new(net))
    }
}

impl fmt::Display for Block {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Returns the form of a client's address that lookups use: an IPv4-mapped IPv6 address becomes its
/// IPv4 address.
#[must_use]
pub fn canonical(address: IpAddr) -> IpAddr {
    address.to_canonical()
}

/// Returns the upper 64 bits of an address.
pub(crate) fn upper_half(address: Ipv6Addr) -> u64 {
    (address.to_bits() >> HALF_BITS) as u64
}
