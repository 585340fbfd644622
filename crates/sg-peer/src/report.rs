//! What an instance tells operators.

use serde::{Deserialize, Serialize};
use sg_tree::{Digest, Fault};
use sg_types::prelude::*;

use crate::{frame::Place, fresh::Source, member::Member, node::Handle};

/// The state of one instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Node {
    /// The instance.
    pub instance: id::Instance,
    /// Its run.
    pub incarnation: Incarnation,
    /// Where it is.
    pub place: Place,
    /// The newest revision that it has read.
    pub newest: Revision,
    /// That revision's digest.
    pub digest: Digest,
    /// The revision in force.
    pub in_force: Revision,
    /// What is wrong with the newest revision, if it is not in force.
    pub faults: Vec<Fault>,
    /// Whether it serves keyed routes.
    pub fresh: bool,
    /// What it knows that by: `store` or `majority`; none without evidence.
    pub evidence: Option<Arc<str>>,
    /// The age of that evidence.
    pub evidence_age: Option<Span>,
    /// Whether it watches the store.
    pub relay: bool,
    /// The lowest slot it holds, its claim confirmed.
    pub slot: Option<Slot>,
    /// All slots it holds, their claims confirmed.
    pub slots: Vec<Slot>,
    /// Whom it talks to.
    pub contacts: Vec<id::Instance>,
    /// The other instances as it sees them.
    pub members: Vec<Member>,
}

impl<T> Handle<T> {
    /// The state of this instance.
    #[must_use]
    pub fn report(&self) -> Node {
        let shared = self.shared();
        let now = shared.timer.now();
        shared.sync(now);
        let core = shared.core.lock();
        let evidence = core.evidence(now);
        let newest = shared.config.newest();
        let me = core.me().clone();
        Node {
            instance: me.instance,
            incarnation: me.incarnation,
            place: me.place,
            newest: newest.revision,
            digest: newest.digest,
            in_force: shared.config.in_force(),
            faults: shared.config.refusal().map_or_else(Vec::new, |r| r.faults),
            fresh: shared.fresh.is_fresh(now),
            evidence: evidence.map(|evidence| match evidence.source {
                Source::Confirmation => "store".into(),
                Source::Majority => "majority".into(),
            }),
            evidence_age: evidence.map(|evidence| now.since(evidence.at)),
            relay: core.is_relay(),
            slot: core.local().own_slots.iter().min().copied(),
            slots: core.local().own_slots.clone(),
            contacts: core.contacts().peers.iter().cloned().collect(),
            members: core.everybody(now),
        }
    }
}
