//! Validation of trees and installation in ascending order of revisions.

use std::sync::{Arc, atomic::Ordering};

use sg_store::Head;
use sg_tree::{Fault, Node, View, compile};
use sg_types::time::Instant;

use super::{Handle, Installation, MAX_INSTALLATIONS, Newest, Refusal, State, withdraw};

/// The origin of a tree.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Origin {
    /// The tree was read from the store.
    Store,
    /// The tree was fetched from another instance.
    Peer,
}

impl Origin {
    /// Returns the value of the `origin` metric label.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Peer => "peer",
        }
    }
}

/// The outcome of an installation.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// The tree is in force now.
    Installed,
    /// The tree was already known.
    Known,
    /// The tree was not put in force.
    Rejected(RejectionReason),
}

/// The reason for which a tree was not put in force.
#[derive(Debug, Clone, PartialEq)]
pub enum RejectionReason {
    /// The tree is older than the newest known one.
    Older,
    /// The same revision is known with another digest.
    OtherDigest,
    /// The digest of the tree differs from the one in its head.
    Corrupt,
    /// The tree has faults. The last valid revision stays in force, without the keys that this tree
    /// withdraws.
    Faults(Vec<Fault>),
}

impl RejectionReason {
    /// Returns the value of the `reason` metric label.
    #[must_use]
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Older => "older",
            Self::OtherDigest => "other-digest",
            Self::Corrupt => "corrupt",
            Self::Faults(_) => "faults",
        }
    }
}

impl Handle {
    /// Puts `tree` in force if it is newer than the newest known revision and valid.
    pub fn install(&self, head: &Head, tree: &Node, now: Instant) -> Outcome {
        let mut state = self.shared.state.write();
        if let Some(outcome) = self.outcome_from_head(&state, head) {
            return outcome;
        }
        if tree.digest() != head.digest {
            return Outcome::Rejected(RejectionReason::Corrupt);
        }
        let text: Arc<str> = serde_json::to_string(tree).unwrap_or_default().into();
        state.newest = Newest {
            revision: head.revision,
            digest: head.digest,
        };
        match compile::compile(tree, head.revision) {
            Ok(outcome) => {
                state.refusal = None;
                self.record_installation(
                    &mut state,
                    head.clone(),
                    Arc::new(outcome.view),
                    text,
                    now,
                );
                Outcome::Installed
            }
            Err(error) => {
                state.refusal = Some(Refusal {
                    head: head.clone(),
                    text,
                    faults: error.faults.clone(),
                    at: now,
                });
                self.withdraw(&mut state, tree);
                Outcome::Rejected(RejectionReason::Faults(error.faults))
            }
        }
    }

    #[cfg(not(feature = "testing"))]
    fn outcome_from_head(&self, state: &State, head: &Head) -> Option<Outcome> {
        outcome_from_head(state, head)
    }

    #[cfg(feature = "testing")]
    fn outcome_from_head(&self, state: &State, head: &Head) -> Option<Outcome> {
        let accepts_older = self.shared.accepts_older.load(Ordering::Relaxed);
        outcome_from_head(state, head).filter(|_| !accepts_older)
    }

    /// Puts an earlier tree in force when no revision is in force and the newest one has faults.
    /// The keys that the newest tree withdraws are left out.
    pub fn install_last_good(&self, head: &Head, tree: &Node, now: Instant) -> Outcome {
        let mut state = self.shared.state.write();
        let Some(refusal) = state.refusal.clone() else {
            return Outcome::Known;
        };
        if !state.installations.is_empty() || head.revision >= refusal.head.revision {
            return Outcome::Rejected(RejectionReason::Older);
        }
        if tree.digest() != head.digest {
            return Outcome::Rejected(RejectionReason::Corrupt);
        }
        let outcome = match compile::compile(tree, head.revision) {
            Ok(outcome) => outcome,
            Err(error) => return Outcome::Rejected(RejectionReason::Faults(error.faults)),
        };
        let view = match Node::from_json(refusal.text.as_bytes()) {
            Ok(newest) => withdraw::without_keys_of(&outcome.view, &newest),
            Err(_) => None,
        };
        let view = Arc::new(view.unwrap_or(outcome.view));
        let text = serde_json::to_string(tree).unwrap_or_default().into();
        self.record_installation(&mut state, head.clone(), view, text, now);
        Outcome::Installed
    }

    /// Adds an installed revision and publishes its view.
    fn record_installation(
        &self,
        state: &mut State,
        head: Head,
        view: Arc<View>,
        text: Arc<str>,
        now: Instant,
    ) {
        if let Some((_, last)) = state.installations.last_mut() {
            last.replaced_at = Some(now);
        }
        let installation = Installation {
            head,
            view: Arc::clone(&view),
            text,
            installed_at: now,
            replaced_at: None,
        };
        state.installations.insert(view.revision, installation);
        if state.installations.len() > MAX_INSTALLATIONS {
            state.installations.shift_remove_index(0);
        }
        self.publish(view);
    }

    /// Removes the keys that `tree` withdraws from the view in force.
    fn withdraw(&self, state: &mut State, tree: &Node) {
        let Some((_, installation)) = state.installations.last_mut() else {
            return;
        };
        if let Some(view) = withdraw::without_keys_of(&installation.view, tree) {
            installation.view = Arc::new(view);
            let view = Arc::clone(&installation.view);
            self.publish(view);
        }
    }

    /// Publishes a view, and counts a regression if the view in force is of a later revision.
    fn publish(&self, view: Arc<View>) {
        let is_forward = view.revision >= self.in_force();
        if !is_forward {
            self.shared.regressions.fetch_add(1, Ordering::Relaxed);
        }
        debug_assert!(is_forward, "invariant broken: revision-goes-forward");
        self.shared.view.store(Some(Arc::clone(&view)));
        self.shared.changes.send_replace(Some(view));
    }
}

/// Returns the outcome if the head alone determines it, and `None` if the tree has to be checked.
fn outcome_from_head(state: &State, head: &Head) -> Option<Outcome> {
    let newest = state.newest;
    if head.revision > newest.revision {
        return None;
    }
    if head.revision < newest.revision {
        return Some(Outcome::Rejected(RejectionReason::Older));
    }
    match head.digest == newest.digest {
        true => Some(Outcome::Known),
        false => Some(Outcome::Rejected(RejectionReason::OtherDigest)),
    }
}
