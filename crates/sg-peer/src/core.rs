//! State machine of the protocol between instances.
//!
//! The core performs no input or output. It decides which frames to send, and which effects follow
//! from received frames.

mod exchange;
mod schedule;

use sg_share::Message;
use sg_types::prelude::*;

use crate::{
    Headroom,
    config::Newest,
    contact::{Candidate, Contacts},
    frame::{Confirmation, Place, Rejection},
    fresh::{Context, Evidence, Gate},
    member::Member,
    members::Table,
    notice::{Item, Tracker},
};

/// The maximum number of messages queued for one peer.
const MAX_QUEUED_MESSAGES: usize = 256;

/// The identity of an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// The name of the instance.
    pub instance: id::Instance,
    /// The incarnation of the instance.
    pub incarnation: Incarnation,
    /// The location and addresses of the instance.
    pub place: Place,
}

/// The state of this instance outside the core, set before each step of the core.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Local {
    /// The newest revision that this instance has read.
    pub newest: Newest,
    /// The revision in force on this instance.
    pub in_force: Revision,
    /// The number of slots in the tree; zero if no tree is known.
    pub slots: u32,
    /// The number of relays per failure domain.
    pub relays: u32,
    /// The time for which evidence of freshness is valid.
    pub validity: Span,
    /// The slots held by this instance whose claims are confirmed.
    pub own_slots: Vec<Slot>,
}

impl Local {
    /// Returns the input of the freshness gate.
    #[must_use]
    pub fn context(&self) -> Context {
        Context {
            revision: self.newest.revision,
            slots: self.slots,
            own_slots: self.own_slots.clone(),
            validity: self.validity,
        }
    }
}

/// An effect of a received frame, for the caller to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Pass messages to the share engine.
    Shares {
        /// The sender of the messages.
        from: id::Instance,
        /// The incarnation of the sender.
        incarnation: Incarnation,
        /// The messages.
        messages: Vec<Message>,
    },
    /// Fetch a tree that is newer than the newest one known here.
    Fetch {
        /// The instance that has the tree.
        from: id::Instance,
        /// The revision of the tree.
        revision: Revision,
    },
    /// Pass a notice to the subscribers.
    Notify(Notice),
}

/// Cumulative event counts of the core.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Counts {
    /// Notices announced by this instance.
    pub announced: u64,
    /// Notices received for the first time.
    pub delivered: u64,
    /// Notices received again.
    pub duplicates: u64,
    /// Share messages dropped because the queue of a peer was full.
    pub shares_dropped: u64,
    /// Frames whose sender has another tree under the newest revision known here.
    pub conflicts: u64,
}

/// The protocol state of one instance.
#[derive(Debug)]
pub struct Core {
    me: Identity,
    local: Local,
    members: Table,
    gate: Gate,
    notices: Tracker,
    contacts: Contacts,
    /// The schedule of the calls to each contact and suspect.
    calls: IndexMap<id::Instance, schedule::Call>,
    /// Messages of the share engine, by receiver.
    queued_messages: IndexMap<id::Instance, Vec<Message>>,
    nonce: u32,
    leaving: bool,
    headroom: Headroom,
    counts: Counts,
}

impl Core {
    /// Creates a core that knows no other instance.
    #[must_use]
    pub fn new(me: Identity) -> Self {
        Self {
            me,
            local: Local::default(),
            members: Table::default(),
            gate: Gate::default(),
            notices: Tracker::default(),
            contacts: Contacts::default(),
            calls: IndexMap::new(),
            queued_messages: IndexMap::new(),
            nonce: 0,
            leaving: false,
            headroom: Headroom::FULL,
            counts: Counts::default(),
        }
    }

    /// Returns the identity of this instance.
    #[must_use]
    pub const fn me(&self) -> &Identity {
        &self.me
    }

    /// Sets the state of this instance outside the core. A newer revision is sent to every contact
    /// before the next routine call.
    pub fn set_local(&mut self, local: Local) {
        self.local = local;
    }

    /// Returns the state set by [`Core::set_local`].
    #[must_use]
    pub const fn local(&self) -> &Local {
        &self.local
    }

    /// Returns the membership table.
    pub const fn members(&mut self) -> &mut Table {
        &mut self.members
    }

    /// Updates the membership from a read of the instance list.
    pub fn list(&mut self, entries: &[crate::list::Listed], now: Instant) {
        self.members
            .update_from_list(&self.me.instance, entries, now);
    }

    /// Returns all other instances as of `now`.
    #[must_use]
    pub fn member_snapshot(&self, now: Instant) -> Vec<Member> {
        self.members.snapshot(now)
    }

    /// Returns the event counts.
    #[must_use]
    pub const fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns the freshness gate.
    pub const fn gate(&mut self) -> &mut Gate {
        &mut self.gate
    }

    /// Returns whether keyed routes may be served at `now`.
    #[must_use]
    pub fn is_fresh(&self, now: Instant) -> bool {
        self.gate.is_fresh(&self.local.context(), now)
    }

    /// Returns the best evidence of freshness.
    #[must_use]
    pub fn evidence(&self, now: Instant) -> Option<Evidence> {
        self.gate.evidence(&self.local.context(), now)
    }

    /// Returns whether evidence such as votes of a majority of `slots` shows that no revision after
    /// `revision` was accepted. A tree fetched from peers may then become the first one in force here.
    #[must_use]
    pub fn is_backed_by_majority(
        &self,
        revision: Revision,
        slots: u32,
        validity: Span,
        now: Instant,
    ) -> bool {
        let context = Context {
            revision,
            slots,
            own_slots: Vec::new(),
            validity,
        };
        self.gate.is_fresh(&context, now)
    }

    /// Returns the confirmation to send to other instances, if the evidence is still valid.
    fn confirmation(&self, now: Instant) -> Option<Confirmation> {
        let evidence = self.evidence(now)?;
        let age = now.since(evidence.at);
        let is_valid = age < self.local.validity;
        is_valid.then(|| Confirmation {
            age_millis: age.as_millis() + 1,
        })
    }

    /// Announces a notice to all instances.
    pub fn announce(&mut self, notice: Notice, now: Instant) {
        self.counts.announced += 1;
        let me = self.me.clone();
        self.notices
            .announce(&me.instance, me.incarnation, notice, now);
    }

    /// Queues a message of the share engine. A full queue drops its oldest message.
    pub fn queue_message(&mut self, to: &id::Instance, message: Message) {
        let queue = self.queued_messages.entry(to.clone()).or_default();
        if queue.len() >= MAX_QUEUED_MESSAGES {
            queue.drain(..1);
            self.counts.shares_dropped += 1;
        }
        queue.push(message);
    }

    /// Marks this instance as leaving in all later frames.
    pub const fn leave(&mut self) {
        self.leaving = true;
    }

    /// Sets the headroom that later frames report.
    pub const fn set_headroom(&mut self, headroom: Headroom) {
        self.headroom = headroom;
    }

    /// Returns whether every responding contact has received all notices, and no message is queued.
    #[must_use]
    pub fn has_delivered_all(&self) -> bool {
        let is_undelivered =
            |peer: &id::Instance| self.members.is_reachable(peer) && self.notices.has_pending(peer);
        self.queued_messages.is_empty() && !self.contacts.peers.iter().any(is_undelivered)
    }

    /// Returns whether this instance watches the store for its failure domain.
    #[must_use]
    pub fn is_relay(&self) -> bool {
        self.contacts.relays.contains(&self.me.instance)
    }

    /// Returns the contacts.
    #[must_use]
    pub const fn contacts(&self) -> &Contacts {
        &self.contacts
    }

    /// Returns this instance as a candidate for the choice of contacts.
    fn candidate(&self) -> Candidate {
        Candidate {
            instance: self.me.instance.clone(),
            domain: self.me.place.domain.clone(),
        }
    }

    /// Records received notices and adds an effect for each new one.
    fn process_notices(
        &mut self,
        items: Vec<Item>,
        from: &id::Instance,
        now: Instant,
        effects: &mut Vec<Effect>,
    ) {
        for item in items {
            let notice = item.notice.clone();
            if self.notices.record(item, Some(from), now) == crate::notice::Reception::Known {
                self.counts.duplicates += 1;
                continue;
            }
            self.counts.delivered += 1;
            if let Notice::Stopping {
                instance,
                incarnation,
                within,
            } = &notice
            {
                self.members
                    .record_stopping(instance, *incarnation, *within, now);
            }
            effects.push(Effect::Notify(notice));
        }
    }

    /// Checks the limits and the sender of a received frame.
    fn check_frame(&self, frame: &crate::Frame) -> Result<(), Rejection> {
        frame.check()?;
        match frame.from == self.me.instance {
            true => Err(Rejection::FromSelf),
            false => Ok(()),
        }
    }
}
