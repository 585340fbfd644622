//! The protocol between instances, without input or output: what to say to whom, and what follows
//! from what they say.

mod exchange;
mod schedule;

use sg_share::Message;
use sg_types::prelude::*;

use crate::{
    Headroom,
    config::Newest,
    contact::{Candidate, Contacts},
    frame::{Confirmation, Place, Refused},
    fresh::{Context, Evidence, Gate},
    member::Member,
    members::Table,
    notice::{Board, Item},
};

/// The most messages that wait for one peer.
const MAX_WAITING: usize = 256;

/// Who this instance is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// Its name.
    pub instance: id::Instance,
    /// Its run.
    pub incarnation: Incarnation,
    /// Where it is.
    pub place: Place,
}

/// What the rest of the instance tells the core before each step.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Local {
    /// The newest revision that was read here.
    pub newest: Newest,
    /// The revision in force here.
    pub in_force: Revision,
    /// The number of slots of the tree; zero if no tree is known.
    pub slots: u32,
    /// Relays a failure domain.
    pub relays: u32,
    /// How long evidence is good.
    pub validity: Span,
    /// The slots held here, their claims confirmed.
    pub own_slots: Vec<Slot>,
}

impl Local {
    /// What the gate needs to know.
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

/// What is to be done after a frame came in.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Give these to the share engine.
    Shares {
        /// Who sent them.
        from: id::Instance,
        /// The sender's run.
        incarnation: Incarnation,
        /// The messages.
        messages: Vec<Message>,
    },
    /// Fetch a tree that is newer than what is known here.
    Fetch {
        /// Who has it.
        from: id::Instance,
        /// The revision.
        revision: Revision,
    },
    /// Give a notice to its subscribers.
    Notify(Notice),
}

/// Counts of what the core saw. They only grow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Counts {
    /// Notices announced here.
    pub announced: u64,
    /// Notices that came in for the first time.
    pub delivered: u64,
    /// Notices that came in again.
    pub duplicates: u64,
    /// Share messages dropped because too many waited for a peer.
    pub shares_dropped: u64,
    /// Instances seen to have the same revision with another tree.
    pub conflicts: u64,
}

/// The state of the protocol in one instance.
#[derive(Debug)]
pub struct Core {
    me: Identity,
    local: Local,
    members: Table,
    gate: Gate,
    board: Board,
    contacts: Contacts,
    calls: IndexMap<id::Instance, schedule::Call>,
    waiting: IndexMap<id::Instance, Vec<Message>>,
    nonce: u32,
    leaving: bool,
    headroom: Headroom,
    counts: Counts,
}

impl Core {
    /// A core that knows nobody.
    #[must_use]
    pub fn new(me: Identity) -> Self {
        Self {
            me,
            local: Local::default(),
            members: Table::default(),
            gate: Gate::default(),
            board: Board::default(),
            contacts: Contacts::default(),
            calls: IndexMap::new(),
            waiting: IndexMap::new(),
            nonce: 0,
            leaving: false,
            headroom: Headroom::FULL,
            counts: Counts::default(),
        }
    }

    /// Who this instance is.
    #[must_use]
    pub const fn me(&self) -> &Identity {
        &self.me
    }

    /// Takes what the rest of the instance knows. A newer revision is told to the contacts at once.
    pub fn set_local(&mut self, local: Local) {
        self.local = local;
    }

    /// What the rest of the instance told last.
    #[must_use]
    pub const fn local(&self) -> &Local {
        &self.local
    }

    /// The membership.
    pub const fn members(&mut self) -> &mut Table {
        &mut self.members
    }

    /// Takes a read of the list of instances.
    pub fn list(&mut self, entries: &[crate::list::Listed], now: Instant) {
        self.members.list(&self.me.instance, entries, now);
    }

    /// Everybody else, as of `now`.
    #[must_use]
    pub fn everybody(&self, now: Instant) -> Vec<Member> {
        self.members.members(now)
    }

    /// The counts.
    #[must_use]
    pub const fn counts(&self) -> Counts {
        self.counts
    }

    /// The gate of freshness.
    pub const fn gate(&mut self) -> &mut Gate {
        &mut self.gate
    }

    /// Whether keyed routes may be served at `now`.
    #[must_use]
    pub fn is_fresh(&self, now: Instant) -> bool {
        self.gate.is_fresh(&self.local.context(), now)
    }

    /// The best evidence of freshness.
    #[must_use]
    pub fn evidence(&self, now: Instant) -> Option<Evidence> {
        self.gate.evidence(&self.local.context(), now)
    }

    /// Whether a majority of `slots` holders had read no later revision than `revision`: a tree
    /// learned from peers may be the first one in force here.
    #[must_use]
    pub fn backs(&self, revision: Revision, slots: u32, validity: Span, now: Instant) -> bool {
        let context = Context {
            revision,
            slots,
            own_slots: Vec::new(),
            validity,
        };
        self.gate.is_fresh(&context, now)
    }

    /// What this instance can confirm to others.
    fn confirmation(&self, now: Instant) -> Option<Confirmation> {
        let evidence = self.evidence(now)?;
        let age = now.since(evidence.at);
        let useful = age < self.local.validity;
        useful.then(|| Confirmation {
            age_millis: age.as_millis() + 1,
        })
    }

    /// Announces a notice to all.
    pub fn announce(&mut self, notice: Notice, now: Instant) {
        self.counts.announced += 1;
        let me = self.me.clone();
        self.board
            .announce(&me.instance, me.incarnation, notice, now);
    }

    /// Queues a message of the share engine.
    pub fn send(&mut self, to: &id::Instance, message: Message) {
        let waiting = self.waiting.entry(to.clone()).or_default();
        if waiting.len() >= MAX_WAITING {
            waiting.drain(..1);
            self.counts.shares_dropped += 1;
        }
        waiting.push(message);
    }

    /// Tells others from now on that this instance stops.
    pub const fn leave(&mut self) {
        self.leaving = true;
    }

    /// Tells others from the next frame on how much room this instance has.
    pub const fn set_headroom(&mut self, headroom: Headroom) {
        self.headroom = headroom;
    }

    /// Whether all contacts that answer were told all notices, and no message waits.
    #[must_use]
    pub fn has_told_all(&self) -> bool {
        let pending =
            |peer: &id::Instance| self.members.is_known(peer) && self.board.is_pending(peer);
        self.waiting.is_empty() && !self.contacts.peers.iter().any(pending)
    }

    /// Whether this instance is to watch the store for its failure domain.
    #[must_use]
    pub fn is_relay(&self) -> bool {
        self.contacts.relays.contains(&self.me.instance)
    }

    /// The contacts.
    #[must_use]
    pub const fn contacts(&self) -> &Contacts {
        &self.contacts
    }

    fn candidate(&self) -> Candidate {
        Candidate {
            instance: self.me.instance.clone(),
            domain: self.me.place.domain.clone(),
        }
    }

    fn deliver(
        &mut self,
        items: Vec<Item>,
        from: &id::Instance,
        now: Instant,
        effects: &mut Vec<Effect>,
    ) {
        for item in items {
            let notice = item.notice.clone();
            if self.board.take(item, Some(from), now) == crate::notice::Taken::Known {
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
                self.members.stopping(instance, *incarnation, *within, now);
            }
            effects.push(Effect::Notify(notice));
        }
    }

    fn check(&self, frame: &crate::Frame) -> Result<(), Refused> {
        frame.check()?;
        match frame.from == self.me.instance {
            true => Err(Refused::FromSelf),
            false => Ok(()),
        }
    }
}
