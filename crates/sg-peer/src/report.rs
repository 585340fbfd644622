//! Status report of an instance for operators.

use serde::{Deserialize, Serialize};
use sg_tree::{Digest, Fault};
use sg_types::prelude::*;

use crate::{frame::Place, fresh::Source, member::Member, node::Handle};

/// The status of one instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Node {
    /// The name of the instance.
    pub instance: id::Instance,
    /// The incarnation of the instance.
    pub incarnation: Incarnation,
    /// The location and addresses of the instance.
    pub place: Place,
    /// The newest revision that the instance has read.
    pub newest: Revision,
    /// The digest of that revision.
    pub digest: Digest,
    /// The revision in force.
    pub in_force: Revision,
    /// The faults of the newest revision if it was refused.
    pub faults: Vec<Fault>,
    /// Whether the instance serves keyed routes.
    pub fresh: bool,
    /// The source of the evidence of freshness: `store` or `majority`; `None` without evidence.
    pub evidence: Option<Arc<str>>,
    /// The age of that evidence.
    pub evidence_age: Option<Span>,
    /// Whether the instance watches the store.
    pub relay: bool,
    /// The lowest slot held whose claim is confirmed.
    pub slot: Option<Slot>,
    /// All slots held whose claims are confirmed.
    pub slots: Vec<Slot>,
    /// The contacts of the instance.
    pub contacts: Vec<id::Instance>,
    /// The other instances, as seen by this one.
    pub members: Vec<Member>,
}

impl<T> Handle<T> {
    /// Returns the status of this instance.
    #[must_use]
    pub fn report(&self) -> Node {
        let shared = self.shared();
        let now = shared.timer.now();
        shared.sync_core(now);
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
            members: core.member_snapshot(now),
        }
    }
}
