//! Blocks of client addresses.

use std::{
    fmt,
    net::{IpAddr, Ipv6Addr},
    str::FromStr,
};

use ipnet::IpNet;
use serde::{Deserialize, Serialize};

/// The longest IPv6 prefix that is held in half an address.
pub(crate) const HALF: u8 = 64;

/// A block of addresses: a prefix and its length. Text form: `10.1.0.0/16`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Block(IpNet);

/// A text that is no block.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("'{text}' is not a block of addresses; write it like 10.1.0.0/16 or 2001:db8::/32")]
pub struct Malformed {
    /// What was given, shortened.
    pub text: String,
}

impl Block {
    /// The block of `net`'s prefix; bits after the prefix are dropped.
    #[must_use]
    pub fn new(net: IpNet) -> Self {
        Self(net.trunc())
    }

    /// The prefix.
    #[must_use]
    pub const fn net(self) -> IpNet {
        self.0
    }
}

impl FromStr for Block {
    type Err = Malformed;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let net = text.trim().parse().map_err(|_| Malformed {
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

/// The address that a client is looked up by: IPv4 addresses inside IPv6 ones count as IPv4.
#[must_use]
pub fn canonical(address: IpAddr) -> IpAddr {
    address.to_canonical()
}

/// The upper half of an address.
pub(crate) fn half(address: Ipv6Addr) -> u64 {
    (address.to_bits() >> HALF) as u64
}
