//! The blocks changed since the base was built.

use std::net::IpAddr;

use indexmap::IndexMap;
use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use prefix_trie::PrefixMap;

use crate::{block::Block, site};

use super::{Change, Match};

/// A table of changes. Each change clones the whole overlay, so the overlay must stay small.
#[derive(Debug, Clone, Default)]
pub(super) struct Overlay {
    changes: IndexMap<Block, Change>,
    v4: PrefixMap<Ipv4Net, site::Index>,
    v6: PrefixMap<Ipv6Net, site::Index>,
}

impl Overlay {
    pub(super) fn apply(&mut self, block: Block, change: Change) {
        self.changes.insert(block, change);
        match (block.net(), change) {
            (IpNet::V4(net), Change::Set(site)) => {
                self.v4.insert(net, site);
            }
            (IpNet::V6(net), Change::Set(site)) => {
                self.v6.insert(net, site);
            }
            (IpNet::V4(net), Change::Remove) => {
                self.v4.remove(&net);
            }
            (IpNet::V6(net), Change::Remove) => {
                self.v6.remove(&net);
            }
        }
    }

    /// Returns the longest prefix in the overlay that covers `address`.
    pub(super) fn find(&self, address: IpAddr) -> Option<Match> {
        match address {
            IpAddr::V4(address) => {
                let (net, site) = self.v4.get_lpm(&Ipv4Net::from(address))?;
                let (len, site) = (net.prefix_len(), *site);
                Some(Match { len, site })
            }
            IpAddr::V6(address) => {
                let (net, site) = self.v6.get_lpm(&Ipv6Net::from(address))?;
                let (len, site) = (net.prefix_len(), *site);
                Some(Match { len, site })
            }
        }
    }

    /// Returns whether `block` of the base is removed.
    pub(super) fn is_removed(&self, block: Block) -> bool {
        self.changes.get(&block) == Some(&Change::Remove)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    pub(super) fn len(&self) -> usize {
        self.changes.len()
    }

    /// Returns the blocks that the overlay assigns to a site.
    pub(super) fn blocks(&self) -> impl Iterator<Item = (Block, site::Index)> {
        self.changes
            .iter()
            .filter_map(|(block, change)| match change {
                Change::Set(site) => Some((*block, *site)),
                Change::Remove => None,
            })
    }

    /// Returns the changes that `before` lacks or has with another value.
    pub(super) fn difference(&self, before: &Self) -> Self {
        let mut difference = Self::default();
        for (block, change) in &self.changes {
            if before.changes.get(block) != Some(change) {
                difference.apply(*block, *change);
            }
        }
        difference
    }
}
