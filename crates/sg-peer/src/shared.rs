//! State shared by the tasks and the handler of one instance.

use indexmap::IndexMap;
use parking_lot::Mutex;
use sg_clock::Timer;
use sg_share::{Action, Budget, Engine, Event, budget, claim::Claim};
use sg_store::Head;
use sg_tree::{Node, View};
use sg_types::{
    id,
    notice::Notice,
    revision::{Revision, Slot},
    time::Instant,
};
use tokio::sync::{Notify, broadcast, mpsc};

use crate::{
    config::{self, Origin, Outcome, RejectionReason},
    core::{Core, Effect, Local},
    frame::MAX_SLOTS,
    fresh,
    metrics::Metrics,
};

/// A store operation requested by the share engine.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum StoreWork {
    ReadClaims,
    WriteClaim { claim: Claim, expect: Option<u64> },
}

/// A request to fetch a tree from a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct FetchRequest {
    pub(crate) from: id::Instance,
    pub(crate) revision: Revision,
}

/// Function that returns the budgets of a view.
pub type Budgets = fn(&View) -> IndexMap<budget::Id, Budget>;

#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) timer: Timer,
    pub(crate) core: Mutex<Core>,
    pub(crate) engine: Mutex<Engine>,
    pub(crate) config: config::Handle,
    pub(crate) fresh: fresh::Handle,
    pub(crate) metrics: Metrics,
    pub(crate) budgets: Budgets,
    /// Wakes the task that calls peers.
    pub(crate) wake: Notify,
    pub(crate) notices: broadcast::Sender<Notice>,
    pub(crate) fetches: mpsc::Sender<FetchRequest>,
    pub(crate) store_work: mpsc::Sender<StoreWork>,
}

impl Shared {
    /// Passes the state of the instance to the core and updates the freshness handle.
    pub(crate) fn sync_core(&self, now: Instant) {
        let own_slots = self.own_slots(now);
        let mut core = self.core.lock();
        // Read while the core is locked, so that an older state never replaces a newer one.
        let view = self.config.view();
        let fleet = view.as_ref().map(|view| &view.fleet);
        core.set_local(Local {
            newest: self.config.newest(),
            in_force: self.config.in_force(),
            slots: fleet.map_or(0, |fleet| fleet.slots),
            relays: fleet.map_or(1, |fleet| fleet.relays),
            validity: fleet.map_or_else(|| fresh::INITIAL_VALIDITY, |fleet| fleet.validity),
            own_slots,
        });
        let context = core.local().context();
        let expires_at = core.gate().expires_at(&context, now);
        self.fresh.set(expires_at.filter(|_| view.is_some()));
    }

    fn own_slots(&self, now: Instant) -> Vec<Slot> {
        let engine = self.engine.lock();
        engine.slots_in_use(now).take(MAX_SLOTS).collect()
    }

    /// Carries out the effects of a frame.
    pub(crate) fn apply_effects(&self, effects: Vec<Effect>, now: Instant) {
        for effect in effects {
            match effect {
                Effect::Shares {
                    from,
                    incarnation,
                    messages,
                } => {
                    for message in messages {
                        let event = Event::Message {
                            from: from.clone(),
                            incarnation,
                            message,
                        };
                        self.handle_event(event, now);
                    }
                }
                Effect::Fetch { from, revision } => {
                    // A full queue loses nothing, since the peer sends its revision again.
                    let _ = self.fetches.try_send(FetchRequest { from, revision });
                }
                Effect::Notify(notice) => {
                    // An error means that there are no subscribers.
                    let _ = self.notices.send(notice);
                    self.wake.notify_one();
                }
            }
        }
    }

    /// Passes an event to the share engine and carries out the resulting actions.
    pub(crate) fn handle_event(&self, event: Event, now: Instant) {
        let actions = self.engine.lock().handle(event, now);
        self.perform(actions, now);
    }

    /// Carries out actions of the share engine.
    pub(crate) fn perform(&self, actions: Vec<Action>, now: Instant) {
        for action in actions {
            match action {
                Action::Send { to, message } => {
                    self.core.lock().queue_message(&to, message);
                    self.wake.notify_one();
                }
                Action::ReadClaims => self.queue_store_work(StoreWork::ReadClaims, now),
                Action::WriteClaim { claim, expect } => {
                    self.queue_store_work(StoreWork::WriteClaim { claim, expect }, now);
                }
            }
        }
    }

    /// Queues a store operation. If the queue is full, reports a claim to the engine as not written.
    fn queue_store_work(&self, work: StoreWork, now: Instant) {
        let Err(error) = self.store_work.try_send(work) else {
            return;
        };
        if let StoreWork::WriteClaim { claim, .. } = error.into_inner() {
            self.handle_event(Event::NotWritten { slot: claim.slot }, now);
        }
    }

    /// Installs a tree in the configuration and in the share engine, and wakes the calls that
    /// announce it to peers.
    pub(crate) fn install(
        &self,
        head: &Head,
        tree: &Node,
        origin: Origin,
        now: Instant,
    ) -> Outcome {
        let outcome = self.config.install(head, tree, now);
        match &outcome {
            Outcome::Installed => self.on_installed(origin, now),
            Outcome::Known => {}
            Outcome::Rejected(rejected) => self.on_rejected(head, rejected),
        }
        self.sync_core(now);
        self.wake.notify_one();
        outcome
    }

    /// Passes the budgets of an installed revision to the share engine.
    pub(crate) fn on_installed(&self, origin: Origin, now: Instant) {
        let Some(view) = self.config.view() else {
            return;
        };
        let revision = view.revision;
        let labels = [origin.as_str()];
        self.metrics.installed.with_label_values(&labels).inc();
        log::info!(
            "revision {revision} is in force; origin: {}",
            origin.as_str()
        );
        let budgets = (self.budgets)(&view);
        let mut engine = self.engine.lock();
        engine.configure(revision, view.fleet.slots, budgets, now);
    }

    fn on_rejected(&self, head: &Head, rejected: &RejectionReason) {
        let labels = [rejected.as_str()];
        self.metrics.rejected.with_label_values(&labels).inc();
        if let RejectionReason::Faults(faults) = rejected {
            let first = faults.first().map(ToString::to_string).unwrap_or_default();
            log::warn!(
                "revision {} was refused: {first}; publish a corrected tree",
                head.revision
            );
        }
    }
}
