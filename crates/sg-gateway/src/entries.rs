//! Entries under the targets' prefix that name no target to use.
//!
//! Any writer of the store can create such entries. The last entry of a target that can be used stays in
//! force until the target writes another one.

use sg_catalog::Catalog;
use sg_place::Target;
use sg_types::prelude::*;

/// The entries that name no target to use.
#[derive(Debug, Default)]
pub(crate) struct Entries {
    /// The last entry of each target whose service the configuration does not name.
    waiting: IndexMap<id::Target, Target>,
    /// The keys whose last value can't be read.
    unread: IndexSet<Arc<str>>,
}

impl Entries {
    /// Returns `target` if `catalog` names its service. Otherwise keeps it until a configuration does.
    pub fn admit(
        &mut self,
        target: Target,
        catalog: Option<&Catalog>,
        version: &str,
    ) -> Option<Target> {
        let previous = self.waiting.swap_remove(&target.id);
        if catalog.is_some_and(|catalog| catalog.services.contains_key(&target.service)) {
            return Some(target);
        }
        // Targets write their entries again and again.
        let is_new = previous.is_none_or(|previous| previous.service != target.service);
        if is_new && catalog.is_some() {
            log::warn!(target_id:% = target.id, service:% = target.service, version; "service not named");
        }
        self.waiting.insert(target.id.clone(), target);
        None
    }

    /// Returns the targets whose services `catalog` names now.
    pub fn release(&mut self, catalog: &Catalog) -> Vec<Target> {
        let (named, waiting): (IndexMap<_, _>, IndexMap<_, _>) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|(_, target)| catalog.services.contains_key(&target.service));
        self.waiting = waiting;
        named.into_values().collect()
    }

    /// Forgets a target whose entry is gone.
    pub fn remove(&mut self, target: &id::Target) {
        self.waiting.swap_remove(target);
    }

    /// Records whether the last value of `key` can be read. Returns whether that is a change.
    pub fn record_readable(&mut self, key: &Arc<str>, is_readable: bool) -> bool {
        match is_readable {
            true => self.unread.swap_remove(key),
            false => self.unread.insert(key.clone()),
        }
    }
}
