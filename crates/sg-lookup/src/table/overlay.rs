//! The blocks that changed since the base was built.

use std::net::IpAddr;

use indexmap::IndexMap;
use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use prefix_trie::PrefixMap;

use crate::{block::Block, site};

use super::{Change, Match};

/// A small table of changes. Cloned whole for each change, so it has to stay small.
#[derive(Debug, Clone, Default)]
pub(super) struct Overlay {
    changes: IndexMap<Block, Change>,
    v4: PrefixMap<Ipv4Net, site::Index>,
    v6: PrefixMap<Ipv6Net, site::Index>,
}

impl Overlay {
    pub(super) fn change(&mut self, block: Block, change: Change) {
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

    /// The longest block set here that covers `address`.
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

    /// Whether the base's `block` no longer stands.
    pub(super) fn is_removed(&self, block: Block) -> bool {
        self.changes.get(&block) == Some(&Change::Remove)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    pub(super) fn len(&self) -> usize {
        self.changes.len()
    }

    /// The blocks that are set here.
    pub(super) fn blocks(&self) -> impl Iterator<Item = (Block, site::Index)> {
        self.changes
            .iter()
            .filter_map(|(block, change)| match change {
                Change::Set(site) => Some((*block, *site)),
                Change::Remove => None,
            })
    }

    /// What is here and not, or not the same, in `before`.
    pub(super) fn since(&self, before: &Self) -> Self {
        let mut since = Self::default();
        for (block, change) in &self.changes {
            if before.changes.get(block) != Some(change) {
                since.change(*block, *change);
            }
        }
        since
    }
}
