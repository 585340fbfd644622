//! The table of client blocks: an immutable base, and a small overlay of what changed since.
//!
//! Readers take a whole snapshot and never wait. A change copies only the overlay;
//! [`Table::compact`] folds the overlay into a new base and is meant for a thread of its own.

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

/// Changed blocks after which the overlay should be folded into the base.
pub const OVERLAY_LIMIT: usize = 4_096;

/// What became of a block.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// It now belongs to this site.
    Set(site::Index),
    /// It is no longer in the table; the next larger block around it counts.
    Remove,
}

/// A block that covers an address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Match {
    /// The length of its prefix.
    pub len: u8,
    /// Its site.
    pub site: site::Index,
}

/// One state of the table. Immutable; a change makes a new one.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    base: Arc<Base>,
    overlay: Arc<Overlay>,
}

impl Snapshot {
    /// The longest block that covers `address`.
    #[must_use]
    pub fn find(&self, address: IpAddr) -> Option<Match> {
        let address = block::canonical(address);
        if self.overlay.is_empty() {
            return self.base.find(address, |_| true);
        }
        let old = self
            .base
            .find(address, |block| !self.overlay.is_removed(block));
        let new = self.overlay.find(address);
        match (old, new) {
            (Some(old), Some(new)) if old.len > new.len => Some(old),
            (old, new) => new.or(old),
        }
    }

    /// How many blocks the base has, and how many changed since.
    #[must_use]
    pub fn len(&self) -> Length {
        Length {
            base: self.base.len(),
            overlay: self.overlay.len(),
        }
    }

    /// Bytes of memory of the base.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.base.bytes()
    }
}

/// The size of a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Length {
    /// Blocks of the base.
    pub base: usize,
    /// Changes since the base was built.
    pub overlay: usize,
}

/// The table that an instance decides by.
#[derive(Debug, Default)]
pub struct Table {
    current: ArcSwap<Snapshot>,
}

impl Table {
    /// A table with `base` and no change since.
    #[must_use]
    pub fn new(base: Base) -> Self {
        let table = Self::default();
        table.replace(base);
        table
    }

    /// The table of the tree's blocks. The sites are the failure domains, in the view's order.
    #[must_use]
    pub fn from_view(view: &View) -> Self {
        Self::new(Base::from_view(view))
    }

    /// Puts a whole new base in place, without the changes made before.
    pub fn replace(&self, base: Base) {
        self.current.store(Arc::new(Snapshot {
            base: Arc::new(base),
            overlay: Arc::default(),
        }));
    }

    /// The table as it is now.
    #[must_use]
    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.current.load_full()
    }

    /// The longest block that covers `address`.
    #[must_use]
    pub fn find(&self, address: IpAddr) -> Option<Match> {
        self.current.load().find(address)
    }

    /// Takes changes into the overlay. The time does not depend on the size of the base.
    pub fn change(&self, changes: &[(Block, Change)]) {
        self.current.rcu(|now| {
            let mut overlay = (*now.overlay).clone();
            for (block, change) in changes {
                overlay.change(*block, *change);
            }
            Snapshot {
                base: Arc::clone(&now.base),
                overlay: Arc::new(overlay),
            }
        });
    }

    /// Folds the overlay into a new base. Changes that come meanwhile stay in the overlay, and a
    /// base that is replaced meanwhile stays. Takes seconds for millions of blocks: call it off
    /// the request path.
    pub fn compact(&self) {
        let before = self.snapshot();
        if before.overlay.is_empty() {
            return;
        }
        let base = Arc::new(before.base.with(&before.overlay));
        self.current.rcu(|now| {
            if !Arc::ptr_eq(&now.base, &before.base) {
                return Snapshot::clone(now);
            }
            Snapshot {
                base: Arc::clone(&base),
                overlay: Arc::new(now.overlay.since(&before.overlay)),
            }
        });
    }
}
