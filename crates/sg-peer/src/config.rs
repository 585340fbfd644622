//! The revisions in force: the newest good one, and the ones before it for explaining.

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

pub use install::{Origin, Outcome, Rejected};

/// How many earlier revisions are kept.
const MAX_PAST: usize = 32;

/// A revision that is or was in force.
#[derive(Debug, Clone)]
pub struct Term {
    /// Who made it and what for.
    pub head: Head,
    /// The view.
    pub view: Arc<View>,
    /// The tree's text.
    pub text: Arc<str>,
    /// When it came into force.
    pub from: Instant,
    /// When the next one replaced it; `None` while it is in force.
    pub until: Option<Instant>,
}

/// A revision that was read and can't be in force.
#[derive(Debug, Clone)]
pub struct Refusal {
    /// Its head.
    pub head: Head,
    /// Its text.
    pub text: Arc<str>,
    /// What is wrong with it.
    pub faults: Vec<Fault>,
    /// When it was read.
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
    terms: IndexMap<Revision, Term>,
}

#[derive(Debug)]
struct Shared {
    view: ArcSwapOption<View>,
    state: RwLock<State>,
    changes: watch::Sender<Option<Arc<View>>>,
    /// How often a view replaced a later one. Anything but zero is a fault of the program.
    regressions: AtomicU64,
    #[cfg(feature = "testing")]
    accepts_older: std::sync::atomic::AtomicBool,
}

/// The configuration of this instance. Clones share it.
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
    /// The view in force; `None` until the first one is known.
    #[must_use]
    pub fn view(&self) -> Option<Arc<View>> {
        self.shared.view.load_full()
    }

    /// Tells of each change of the view in force.
    #[must_use]
    pub fn changes(&self) -> watch::Receiver<Option<Arc<View>>> {
        self.shared.changes.subscribe()
    }

    /// The revision in force; zero if none is.
    #[must_use]
    pub fn in_force(&self) -> Revision {
        self.shared
            .view
            .load()
            .as_ref()
            .map_or(Revision::default(), |view| view.revision)
    }

    /// The newest revision that was read, in force or not.
    #[must_use]
    pub fn newest(&self) -> Newest {
        self.shared.state.read().newest
    }

    /// The newest revision that was refused, if it is newer than the one in force.
    #[must_use]
    pub fn refusal(&self) -> Option<Refusal> {
        self.shared.state.read().refusal.clone()
    }

    /// A revision that is or was in force here.
    #[must_use]
    pub fn term(&self, revision: Revision) -> Option<Term> {
        self.shared.state.read().terms.get(&revision).cloned()
    }

    /// The revisions that are kept, oldest first, the one in force last.
    #[must_use]
    pub fn terms(&self) -> Vec<Term> {
        self.shared.state.read().terms.values().cloned().collect()
    }

    /// How often a view replaced a later one. Anything but zero is a fault of the program.
    #[must_use]
    pub fn regressions(&self) -> u64 {
        self.shared.regressions.load(Ordering::Relaxed)
    }

    /// Breaks the rule that revisions go forward, on purpose.
    #[cfg(feature = "testing")]
    pub fn accept_older(&self) {
        self.shared.accepts_older.store(true, Ordering::Relaxed);
    }

    /// The head and text of a revision that is known here, to pass on to peers.
    #[must_use]
    pub(crate) fn text_of(&self, revision: Revision) -> Option<(Head, Arc<str>)> {
        let state = self.shared.state.read();
        let refused = state
            .refusal
            .as_ref()
            .filter(|r| r.head.revision == revision);
        if let Some(refusal) = refused {
            return Some((refusal.head.clone(), Arc::clone(&refusal.text)));
        }
        let term = state.terms.get(&revision)?;
        Some((term.head.clone(), Arc::clone(&term.text)))
    }
}
