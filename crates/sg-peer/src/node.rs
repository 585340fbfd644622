//! Entry point of the crate: one running instance.

use std::{net::SocketAddr, sync::Arc};

use indexmap::IndexMap;
use parking_lot::Mutex;
use sg_clock::Timer;
use sg_share::{Budget, Engine, budget, engine, report};
use sg_store::Store;
use sg_tree::View;
use sg_types::prelude::*;
use tokio::{
    sync::{Notify, broadcast, mpsc},
    task::JoinSet,
};

use crate::{
    config,
    core::{Core, Identity},
    fresh,
    handler::Handler,
    list::Source,
    member::{Member, Status},
    metrics::Metrics,
    shared::{Budgets, Shared},
    task::{call, claims, fetch, follow::Follower, list, maintenance, share},
    transport::{Error, Transport},
};

/// The number of notices buffered for a slow subscriber.
const NOTICE_CAPACITY: usize = 1_024;
/// The capacity of the queues for tree fetches and store calls.
const QUEUE_CAPACITY: usize = 64;
/// The interval between checks of whether a stop is complete.
const STOP_CHECK_INTERVAL: Span = Span::from_millis(20);

/// Options of an instance.
#[derive(Debug, Clone)]
pub struct Options {
    /// The identity of the instance. Other instances receive `place.peer` as its address.
    pub identity: Identity,
    /// The address to listen on for other instances.
    pub listen: SocketAddr,
    /// The options of the share engine.
    pub share: engine::Options,
    /// The function that returns the budgets of a view.
    pub budgets: Budgets,
    /// The interval between reads of the instance list.
    pub list_period: Span,
    /// The maximum duration of a graceful stop.
    pub stop_within: Span,
    /// The metrics of the instance.
    pub metrics: Metrics,
}

/// Returns the budgets of all client accounts.
#[must_use]
pub fn account_budgets(view: &View) -> IndexMap<budget::Id, Budget> {
    view.accounts
        .iter()
        .map(|(name, account)| {
            let budget = Budget {
                rate: account.rate,
                burst: account.burst,
            };
            (budget::Id::Account(name.clone()), budget)
        })
        .collect()
}

/// Handle to a running instance. Dropping it stops the instance at once; [`Handle::stop`] stops it
/// gracefully.
#[derive(Debug)]
pub struct Handle<T> {
    /// The configuration.
    pub config: config::Handle,
    /// The budget shares.
    pub shares: Shares,
    /// Whether keyed routes may be served.
    pub fresh: fresh::Handle,
    /// The other instances.
    pub members: Members,
    /// Notices to and from the other instances.
    pub notices: Notices,
    shared: Arc<Shared>,
    stop_within: Span,
    tasks: JoinSet<()>,
    _server: T,
}

/// The number of store calls, by purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct StoreCalls {
    /// Calls for the configuration and freshness.
    pub config: u64,
    /// Calls for claims of slots.
    pub claims: u64,
}

/// Starts instances.
#[derive(Debug, Clone, Copy)]
pub struct Node;

impl Node {
    /// Starts an instance and its tasks.
    ///
    /// # Errors
    /// [`Error::Unreachable`] if the transport can't listen on the peer address.
    pub async fn start<T: Transport>(
        options: Options,
        timer: Timer,
        store: impl Store,
        list: impl Source,
        transport: T,
    ) -> Result<Handle<T::Server>, Error> {
        let (fetches, fetch_queue) = mpsc::channel(QUEUE_CAPACITY);
        let (store_work, work_queue) = mpsc::channel(QUEUE_CAPACITY);
        let me = options.identity;
        let share_period = options.share.interval;
        let engine = Engine::new(
            me.instance.clone(),
            me.incarnation,
            options.share,
            timer.now(),
        );
        let shared = Arc::new(Shared {
            core: Mutex::new(Core::new(me)),
            engine: Mutex::new(engine),
            config: config::Handle::default(),
            fresh: fresh::Handle::default(),
            metrics: options.metrics,
            budgets: options.budgets,
            wake: Notify::new(),
            notices: broadcast::Sender::new(NOTICE_CAPACITY),
            fetches,
            store_work,
            timer,
        });
        let handler = Handler::new(Arc::clone(&shared));
        let server = transport.serve(options.listen, handler).await?;
        let poll_request = Arc::new(Notify::new());
        let follower = Follower::new(Arc::clone(&shared), store.clone());
        let mut tasks = JoinSet::new();
        let clone_shared = || Arc::clone(&shared);
        tasks.spawn(maintenance::run(clone_shared()));
        tasks.spawn(list::run(clone_shared(), list, options.list_period));
        tasks.spawn(call::run(clone_shared(), transport.clone()));
        tasks.spawn(fetch::run(clone_shared(), transport, fetch_queue));
        tasks.spawn(Arc::clone(&follower).poll());
        tasks.spawn(follower.watch());
        tasks.spawn(claims::run(clone_shared(), store, work_queue));
        tasks.spawn(share::run(
            clone_shared(),
            Arc::clone(&poll_request),
            share_period,
        ));
        Ok(Handle {
            config: shared.config.clone(),
            shares: Shares {
                shared: clone_shared(),
                poll_request,
            },
            fresh: shared.fresh.clone(),
            members: Members {
                shared: clone_shared(),
            },
            notices: Notices {
                shared: clone_shared(),
            },
            stop_within: options.stop_within,
            tasks,
            shared,
            _server: server,
        })
    }
}

impl<T> Handle<T> {
    pub(crate) fn shared(&self) -> &Shared {
        &self.shared
    }

    /// Injects a deliberate fault into the freshness gate.
    #[cfg(feature = "testing")]
    pub fn mutate_gate(&self, mutation: fresh::Mutation) {
        self.shared.core.lock().gate().mutate(mutation);
    }

    /// Returns the number of store calls since the start.
    #[must_use]
    pub fn store_calls(&self) -> StoreCalls {
        let count = |call: &str| {
            let calls = &self.shared.metrics.store_calls;
            calls.with_label_values(&[call]).get()
        };
        StoreCalls {
            config: ["head", "tree", "history", "watch"]
                .into_iter()
                .map(count)
                .sum(),
            claims: ["claims", "claim"].into_iter().map(count).sum(),
        }
    }

    /// Stops gracefully: announces the stop, releases the slots and ends the tasks once all of this is
    /// delivered, or after [`Options::stop_within`].
    pub async fn stop(mut self) {
        let timer = self.shared.timer.clone();
        let now = timer.now();
        let deadline = now + self.stop_within;
        let me = {
            let mut core = self.shared.core.lock();
            core.leave();
            core.me().clone()
        };
        self.notices.announce(Notice::Stopping {
            instance: me.instance,
            incarnation: me.incarnation,
            within: self.stop_within,
        });
        let actions = self.shared.engine.lock().leave(now);
        self.shared.perform(actions, now);
        loop {
            timer.sleep(STOP_CHECK_INTERVAL).await;
            let delivered = self.shared.core.lock().has_delivered_all();
            let handed_over = self.shared.engine.lock().has_left();
            if delivered && handed_over || timer.now() >= deadline {
                break;
            }
        }
        self.tasks.shutdown().await;
    }
}

/// The budget shares held by this instance. All clones share the same state.
#[derive(Debug, Clone)]
pub struct Shares {
    shared: Arc<Shared>,
    poll_request: Arc<Notify>,
}

impl Shares {
    /// Takes `units` from a budget. The caller reads `now` after its last await before the use.
    ///
    /// # Errors
    /// [`budget::Exhausted`] if the share held here does not cover the units now.
    pub fn take(&self, id: &budget::Id, units: u32, now: Instant) -> Result<(), budget::Exhausted> {
        let result = self.shared.engine.lock().take(id, units, now);
        if result.is_err_and(|exhausted| exhausted.may_borrow) {
            self.poll_request.notify_one();
        }
        result
    }

    /// Checks whether [`Shares::take`] would succeed now, without taking units.
    ///
    /// # Errors
    /// The same as [`Shares::take`].
    pub fn peek(&self, id: &budget::Id, units: u32, now: Instant) -> Result<(), budget::Exhausted> {
        self.shared.engine.lock().peek(id, units, now)
    }

    /// Returns a report on the share engine.
    #[must_use]
    pub fn report(&self) -> report::Engine {
        self.shared.engine.lock().report()
    }
}

/// The other instances. All clones share the same state.
#[derive(Debug, Clone)]
pub struct Members {
    shared: Arc<Shared>,
}

impl Members {
    /// Returns all other instances as of `now`.
    #[must_use]
    pub fn everybody(&self, now: Instant) -> Vec<Member> {
        self.shared.core.lock().member_snapshot(now)
    }

    /// Returns the address for callers of `instance`, if that incarnation may be alive.
    #[must_use]
    pub fn entry(
        &self,
        instance: &id::Instance,
        incarnation: Incarnation,
        now: Instant,
    ) -> Option<SocketAddr> {
        let mut core = self.shared.core.lock();
        let (status, place, current) = core.members().member(instance, now)?;
        let may_be_alive = matches!(status, Status::Alive | Status::Leaving | Status::Suspect);
        (may_be_alive && current == Some(incarnation)).then_some(place.entry)
    }

    /// Sets the headroom that this instance reports to the others from the next frame on.
    pub fn set_headroom(&self, free: Percent) {
        self.shared.core.lock().set_headroom(free.into());
    }

    /// Returns whether this instance watches the store for its failure domain.
    #[must_use]
    pub fn is_relay(&self) -> bool {
        self.shared.core.lock().is_relay()
    }
}

/// Notices to and from the other instances. All clones share the same state.
#[derive(Debug, Clone)]
pub struct Notices {
    shared: Arc<Shared>,
}

impl Notices {
    /// Announces a notice to all other instances without waiting for its delivery.
    pub fn announce(&self, notice: Notice) {
        let now = self.shared.timer.now();
        self.shared.core.lock().announce(notice, now);
        self.shared.wake.notify_one();
    }

    /// Subscribes to the notices of other instances. Each notice is received once.
    #[must_use]
    pub fn subscribe(&self) -> broadcast::Receiver<Notice> {
        self.shared.notices.subscribe()
    }
}
