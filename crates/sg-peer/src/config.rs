//! Revisions of the configuration: the valid revision in force, and earlier ones kept for
//! explanations.

mod install;
mod withdraw;

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use arc_swap::ArcSwapOption;
use indexmap::IndexMap;
use parking_lot::RwLock;
use sg_store::Head;
use sg_tree::{Digest, Fault, View};
use sg_types::{revision::Revision, time::Instant};
use tokio::sync::watch;

pub use install::{Origin, Outcome, RejectionReason};

/// The maximum number of revisions kept, including the one in force.
const MAX_INSTALLATIONS: usize = 32;

/// A revision that is or was in force.
#[derive(Debug, Clone)]
pub struct Installation {
    /// The head, which names the author and the purpose of the revision.
    pub head: Head,
    /// The compiled view.
    pub view: Arc<View>,
    /// The tree as JSON text.
    pub text: Arc<str>,
    /// The time at which the revision came into force.
    pub installed_at: Instant,
    /// The time at which the next revision replaced this one; `None` while this one is in force.
    pub replaced_at: Option<Instant>,
}

/// A revision that was read but can't be put in force.
#[derive(Debug, Clone)]
pub struct Refusal {
    /// The head of the revision.
    pub head: Head,
    /// The tree as JSON text.
    pub text: Arc<str>,
    /// The faults found in the tree.
    pub faults: Vec<Fault>,
    /// The time at which the revision was read.
    pub at: Instant,
}

/// The newest revision that was read, in force or not.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Newest {
    /// The revision.
    pub revision: Revision,
    /// The digest of its tree.
    pub digest: Digest,
}

#[derive(Debug, Default)]
struct State {
    newest: Newest,
    refusal: Option<Refusal>,
    installations: IndexMap<Revision, Installation>,
}

#[derive(Debug)]
struct Shared {
    view: ArcSwapOption<View>,
    state: RwLock<State>,
    changes: watch::Sender<Option<Arc<View>>>,
    /// The number of times that a view replaced one of a later revision. A value above zero is a
    /// bug.
    regressions: AtomicU64,
    #[cfg(feature = "testing")]
    accepts_older: std::sync::atomic::AtomicBool,
}

/// Handle to the configuration of this instance. All clones share the same state.
#[derive(Debug, Clone)]
pub struct Handle {
    shared: Arc<Shared>,
}

impl Default for Handle {
    fn default() -> Self {
        let shared = Shared {
            view: ArcSwapOption::empty(),
            state: RwLock::default(),
            changes: watch::Sender::new(None),
            regressions: AtomicU64::new(0),
            #[cfg(feature = "testing")]
            accepts_older: std::sync::atomic::AtomicBool::new(false),
        };
        Self {
            shared: Arc::new(shared),
        }
    }
}

impl Handle {
    /// Returns the view in force, or `None` until the first one is known.
    #[must_use]
    pub fn view(&self) -> Option<Arc<View>> {
        self.shared.view.load_full()
    }

    /// Returns a receiver that observes each change of the view in force.
    #[must_use]
    pub fn changes(&self) -> watch::Receiver<Option<Arc<View>>> {
        self.shared.changes.subscribe()
    }

    /// Returns the revision in force, or zero if there is none.
    #[must_use]
    pub fn in_force(&self) -> Revision {
        self.shared
            .view
            .load()
            .as_ref()
            .map_or(Revision::default(), |view| view.revision)
    }

    /// Returns the newest revision that was read, in force or not.
    #[must_use]
    pub fn newest(&self) -> Newest {
        self.shared.state.read().newest
    }

    /// Returns the newest refused revision if it is newer than the one in force.
    #[must_use]
    pub fn refusal(&self) -> Option<Refusal> {
        self.shared.state.read().refusal.clone()
    }

    /// Returns a revision that is or was in force, if it is still kept.
    #[must_use]
    pub fn installation(&self, revision: Revision) -> Option<Installation> {
        self.shared
            .state
            .read()
            .installations
            .get(&revision)
            .cloned()
    }

    /// Returns the kept revisions, oldest first. The last one is in force.
    #[must_use]
    pub fn installations(&self) -> Vec<Installation> {
        self.shared
            .state
            .read()
            .installations
            .values()
            .cloned()
            .collect()
    }

    /// Returns the number of times that a view replaced one of a later revision. A value above zero
    /// is a bug.
    #[must_use]
    pub fn regressions(&self) -> u64 {
        self.shared.regressions.load(Ordering::Relaxed)
    }

    /// Disables the rule that revisions only go forward, for tests of the invariant checks.
    #[cfg(feature = "testing")]
    pub fn accept_older(&self) {
        self.shared.accepts_older.store(true, Ordering::Relaxed);
    }

    /// Returns the head and text of a revision that is known here, to pass on to peers.
    #[must_use]
    pub(crate) fn tree_text(&self, revision: Revision) -> Option<(Head, Arc<str>)> {
        let state = self.shared.state.read();
        let refusal = state
            .refusal
            .as_ref()
            .filter(|r| r.head.revision == revision);
        if let Some(refusal) = refusal {
            return Some((refusal.head.clone(), Arc::clone(&refusal.text)));
        }
        let installation = state.installations.get(&revision)?;
        Some((installation.head.clone(), Arc::clone(&installation.text)))
    }
}
