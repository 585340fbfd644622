//! The table of client blocks: an immutable base and a small overlay with later changes.
//!
//! Readers load a consistent snapshot and never wait. A change copies only the overlay;
//! [`Table::compact`] merges the overlay into a new base and should run on a separate thread.

mod base;
mod overlay;
mod text;

use std::net::IpAddr;

use arc_swap::ArcSwap;
use sg_tree::View;
use sg_types::prelude::*;

use crate::{block, block::Block, site};

pub use base::Base;
use overlay::Overlay;
pub use text::Error;

/// The number of changed blocks at which the overlay should be merged into the base.
pub const OVERLAY_LIMIT: usize = 4_096;

/// A change to one block.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Assigns the block to a site.
    Set(site::Index),
    /// Removes the block; the next shorter prefix that covers it applies instead.
    Remove,
}

/// A block that covers an address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Match {
    /// The prefix length in bits.
    pub len: u8,
    /// The site of the block.
    pub site: site::Index,
}

/// An immutable state of the table. Each change creates a new snapshot.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    base: Arc<Base>,
    overlay: Arc<Overlay>,
}

impl Snapshot {
    /// Returns the block with the longest prefix that covers `address`.
    #[must_use]
    pub fn find(&self, address: IpAddr) -> Option<Match> {
        let address = block::canonical(address);
        if self.overlay.is_empty() {
            return self.base.find(address, |_| true);
        }
        let in_base = self
            .base
            .find(address, |block| !self.overlay.is_removed(block));
        let in_overlay = self.overlay.find(address);
        match (in_base, in_overlay) {
            (Some(old), Some(new)) if old.len > new.len => Some(old),
            (old, new) => new.or(old),
        }
    }

    /// Returns the number of blocks in the base and the number of changes in the overlay.
    #[must_use]
    pub fn len(&self) -> Length {
        Length {
            base: self.base.len(),
            overlay: self.overlay.len(),
        }
    }

    /// Returns the memory use of the base in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.base.bytes()
    }
}

/// The size of a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Length {
    /// The number of blocks in the base.
    pub base: usize,
    /// The number of blocks changed since the base was built.
    pub overlay: usize,
}

/// The table that an instance answers lookups from.
#[derive(Debug, Default)]
pub struct Table {
    current: ArcSwap<Snapshot>,
}

impl Table {
    /// Creates a table with `base` and an empty overlay.
    #[must_use]
    pub fn new(base: Base) -> Self {
        let table = Self::default();
        table.replace(base);
        table
    }

    /// Creates a table from the tree's blocks. The sites are the failure domains in the view's
    /// order.
    #[must_use]
    pub fn from_view(view: &View) -> Self {
        Self::new(Base::from_view(view))
    }

    /// Replaces the base and discards all earlier changes.
    pub fn replace(&self, base: Base) {
        self.current.store(Arc::new(Snapshot {
            base: Arc::new(base),
            overlay: Arc::default(),
        }));
    }

    /// Returns the current state of the table.
    #[must_use]
    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.current.load_full()
    }

    /// Returns the block with the longest prefix that covers `address`.
    #[must_use]
    pub fn find(&self, address: IpAddr) -> Option<Match> {
        self.current.load().find(address)
    }

    /// Applies changes to the overlay. The cost does not depend on the size of the base.
    pub fn apply(&self, changes: &[(Block, Change)]) {
        self.current.rcu(|current| {
            let mut overlay = (*current.overlay).clone();
            for (block, change) in changes {
                overlay.apply(*block, *change);
            }
            Snapshot {
                base: Arc::clone(&current.base),
                overlay: Arc::new(overlay),
            }
        });
    }

    /// Merges the overlay into a new base. Changes made during the merge stay in the overlay, and a
    /// base put in place during the merge is kept. Takes seconds for millions of blocks, so callers
    /// should not run it on the request path.
    pub fn compact(&self) {
        let before = self.snapshot();
        if before.overlay.is_empty() {
            return;
        }
        let base = Arc::new(before.base.merged(&before.overlay));
        self.current.rcu(|current| {
            if !Arc::ptr_eq(&current.base, &before.base) {
                return Snapshot::clone(current);
            }
            Snapshot {
                base: Arc::clone(&base),
                overlay: Arc::new(current.overlay.difference(&before.overlay)),
            }
        });
    }
}
