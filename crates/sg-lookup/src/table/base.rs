//! The immutable part of the table.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use sg_tree::View;

use crate::{
    block::{Block, HALF, half},
    level::{Entry, Key, Level},
    site,
};

use super::{Match, overlay::Overlay};

/// Millions of blocks in compact arrays. IPv6 blocks up to half an address are held in half the
/// memory; the few longer ones in a part of their own that is asked first.
#[derive(Debug, Clone, Default)]
pub struct Base {
    v4: Level<u32>,
    v6: Level<u64>,
    v6_long: Level<u128>,
}

/// The blocks that a base is built from, by the width of their keys.
#[derive(Debug, Default)]
struct Entries {
    v4: Vec<Entry<u32>>,
    v6: Vec<Entry<u64>>,
    v6_long: Vec<Entry<u128>>,
}

impl Entries {
    fn push(&mut self, block: Block, site: site::Index) {
        match block.net() {
            IpNet::V4(net) => self.v4.push(Entry {
                prefix: net.network().to_bits(),
                len: net.prefix_len(),
                site,
            }),
            IpNet::V6(net) if net.prefix_len() <= HALF => self.v6.push(Entry {
                prefix: half(net.network()),
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
            v4: Level::new(self.v4),
            v6: Level::new(self.v6),
            v6_long: Level::new(self.v6_long),
        }
    }
}

impl Base {
    /// A base of `blocks`. Where a block stands twice, the later one counts.
    #[must_use]
    pub fn new(blocks: impl IntoIterator<Item = (Block, site::Index)>) -> Self {
        let mut entries = Entries::default();
        for (block, site) in blocks {
            entries.push(block, site);
        }
        entries.build()
    }

    /// The base of the tree's blocks. Blocks that can't be read were refused with the tree.
    #[must_use]
    pub fn from_view(view: &View) -> Self {
        let sites = view.domains.values().zip(0_u16..);
        let blocks = sites.flat_map(|(domain, site)| {
            let blocks = domain.blocks.iter().filter_map(|text| text.parse().ok());
            blocks.map(move |block| (block, site::Index::new(site)))
        });
        Self::new(blocks)
    }

    /// The longest block that covers `address` and that `keep` lets stand.
    pub(super) fn find(&self, address: IpAddr, keep: impl Fn(Block) -> bool) -> Option<Match> {
        match address {
            IpAddr::V4(address) => first(&self.v4, address.to_bits(), v4_block, keep),
            IpAddr::V6(address) => {
                let long = first(&self.v6_long, address.to_bits(), long_block, &keep);
                long.or_else(|| first(&self.v6, half(address), v6_block, &keep))
            }
        }
    }

    /// How many blocks there are.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.v4.len() + self.v6.len() + self.v6_long.len()
    }

    /// Whether there is no block.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Bytes of memory.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.v4.bytes() + self.v6.bytes() + self.v6_long.bytes()
    }

    /// A new base with the changes of `overlay`.
    pub(super) fn with(&self, overlay: &Overlay) -> Self {
        let v4 = self.v4.entries().map(|e| (v4_block(e), e.site));
        let v6 = self.v6.entries().map(|e| (v6_block(e), e.site));
        let long = self.v6_long.entries().map(|e| (long_block(e), e.site));
        let kept = v4.chain(v6).chain(long);
        let kept = kept.filter(|(block, _)| !overlay.is_removed(*block));
        Self::new(kept.chain(overlay.blocks()))
    }
}

fn first<K: Key>(
    level: &Level<K>,
    key: K,
    block: fn(Entry<K>) -> Block,
    keep: impl Fn(Block) -> bool,
) -> Option<Match> {
    let entry = level.around(key).find(|entry| keep(block(*entry)))?;
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
    let bits = u128::from(entry.prefix) << HALF;
    Block::new(Ipv6Net::new_assert(Ipv6Addr::from_bits(bits), entry.len).into())
}

fn long_block(entry: Entry<u128>) -> Block {
    Block::new(Ipv6Net::new_assert(Ipv6Addr::from_bits(entry.prefix), entry.len).into())
}
