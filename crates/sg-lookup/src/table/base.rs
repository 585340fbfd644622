//! The immutable part of the table.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use sg_tree::View;

use crate::{
    block::{Block, HALF_BITS, upper_half},
    prefix::{Entry, Key, PrefixTable},
    site,
};

use super::{Match, overlay::Overlay};

/// Holds millions of blocks in compact arrays. IPv6 prefixes of at most 64 bits take half the key
/// size; the few longer ones have a separate table, which is searched first.
#[derive(Debug, Clone, Default)]
pub struct Base {
    v4: PrefixTable<u32>,
    v6: PrefixTable<u64>,
    v6_long: PrefixTable<u128>,
}

/// Collects the blocks of a base by key width.
#[derive(Debug, Default)]
struct Builder {
    v4: Vec<Entry<u32>>,
    v6: Vec<Entry<u64>>,
    v6_long: Vec<Entry<u128>>,
}

impl Builder {
    fn insert(&mut self, block: Block, site: site::Index) {
        match block.net() {
            IpNet::V4(net) => self.v4.push(Entry {
                prefix: net.network().to_bits(),
                len: net.prefix_len(),
                site,
            }),
            IpNet::V6(net) if net.prefix_len() <= HALF_BITS => self.v6.push(Entry {
                prefix: upper_half(net.network()),
                len: net.prefix_len(),
                site,
            }),
            IpNet::V6(net) => self.v6_long.push(Entry {
                prefix: net.network().to_bits(),
                len: net.prefix_len(),
                site,
            }),
        }
    }

    fn build(self) -> Base {
        Base {
            v4: PrefixTable::new(self.v4),
            v6: PrefixTable::new(self.v6),
            v6_long: PrefixTable::new(self.v6_long),
        }
    }
}

impl Base {
    /// Creates a base from `blocks`. The last of several equal blocks wins.
    #[must_use]
    pub fn new(blocks: impl IntoIterator<Item = (Block, site::Index)>) -> Self {
        let mut builder = Builder::default();
        for (block, site) in blocks {
            builder.insert(block, site);
        }
        builder.build()
    }

    /// Creates a base from the tree's blocks. Blocks that do not parse are skipped, because a tree
    /// that contains one is rejected earlier.
    #[must_use]
    pub fn from_view(view: &View) -> Self {
        let sites = view.domains.values().zip(0_u16..);
        let blocks = sites.flat_map(|(domain, site)| {
            let blocks = domain.blocks.iter().filter_map(|text| text.parse().ok());
            blocks.map(move |block| (block, site::Index::new(site)))
        });
        Self::new(blocks)
    }

    /// Returns the block with the longest prefix that covers `address` and satisfies `keep`.
    pub(super) fn find(&self, address: IpAddr, keep: impl Fn(Block) -> bool) -> Option<Match> {
        match address {
            IpAddr::V4(address) => longest_match(&self.v4, address.to_bits(), v4_block, keep),
            IpAddr::V6(address) => {
                let found = longest_match(&self.v6_long, address.to_bits(), long_block, &keep);
                found.or_else(|| longest_match(&self.v6, upper_half(address), v6_block, &keep))
            }
        }
    }

    /// Returns the number of blocks.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.v4.len() + self.v6.len() + self.v6_long.len()
    }

    /// Returns whether the base has no blocks.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the memory use in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.v4.bytes() + self.v6.bytes() + self.v6_long.bytes()
    }

    /// Returns a new base with the changes of `overlay` applied.
    pub(super) fn merged(&self, overlay: &Overlay) -> Self {
        let v4 = self.v4.entries().map(|e| (v4_block(e), e.site));
        let v6 = self.v6.entries().map(|e| (v6_block(e), e.site));
        let long = self.v6_long.entries().map(|e| (long_block(e), e.site));
        let kept = v4.chain(v6).chain(long);
        let kept = kept.filter(|(block, _)| !overlay.is_removed(*block));
        Self::new(kept.chain(overlay.blocks()))
    }
}

/// Returns the entry with the longest prefix that covers `key` and satisfies `keep`.
fn longest_match<K: Key>(
    table: &PrefixTable<K>,
    key: K,
    block: fn(Entry<K>) -> Block,
    keep: impl Fn(Block) -> bool,
) -> Option<Match> {
    let entry = table.covering(key).find(|entry| keep(block(*entry)))?;
    Some(Match {
        len: entry.len,
        site: entry.site,
    })
}

fn v4_block(entry: Entry<u32>) -> Block {
    let net = Ipv4Net::new_assert(Ipv4Addr::from_bits(entry.prefix), entry.len);
    Block::new(net.into())
}

fn v6_block(entry: Entry<u64>) -> Block {
    let bits = u128::from(entry.prefix) << HALF_BITS;
    Block::new(Ipv6Net::new_assert(Ipv6Addr::from_bits(bits), entry.len).into())
}

fn long_block(entry: Entry<u128>) -> Block {
    Block::new(Ipv6Net::new_assert(Ipv6Addr::from_bits(entry.prefix), entry.len).into())
}
