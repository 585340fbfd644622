//! One instance's part in the fleet: the entry point of the crate.

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
    task::{call, claims, fetch, follow::Follower, list, share, upkeep},
    transport::{Error, Transport},
};

/// Notices that wait for a slow subscriber.
const NOTICES: usize = 1_024;
/// Trees and store calls that wait.
const QUEUE: usize = 64;
/// How often a stop looks whether everything was handed on.
const STOP_LOOK: Span = Span::from_millis(20);

/// How an instance takes part.
#[derive(Debug, Clone)]
pub struct Options {
    /// Who it is. `place.peer` is what others are told.
    pub identity: Identity,
    /// Where to listen for others.
    pub listen: SocketAddr,
    /// The share engine's limits and periods.
    pub share: engine::Options,
    /// Finds the budgets of a view.
    pub budgets: Budgets,
    /// How often the instance list is read.
    pub list_period: Span,
    /// How long a stop may take.
    pub stop_within: Span,
    /// The counters.
    pub metrics: Metrics,
}

/// The budgets of all client accounts.
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

/// A running instance. Dropping it ends it at once; [`Handle::stop`] ends it gracefully.
#[derive(Debug)]
pub struct Handle<T> {
    /// The configuration.
    pub config: config::Handle,
    /// The shares of budgets.
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

/// Calls to the store, by what they are for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct StoreCalls {
    /// For the configuration and freshness.
    pub config: u64,
    /// For claims of slots.
    pub claims: u64,
}

/// Starts instances.
#[derive(Debug, Clone, Copy)]
pub struct Node;

impl Node {
    /// Starts to take part in the fleet.
    ///
    /// # Errors
    /// [`Error::Unreachable`] if the peer address can't be listened on.
    pub async fn start<T: Transport>(
        options: Options,
        timer: Timer,
        store: impl Store,
        list: impl Source,
        transport: T,
    ) -> Result<Handle<T::Server>, Error> {
        let (fetches, fetch_queue) = mpsc::channel(QUEUE);
        let (store_work, work_queue) = mpsc::channel(QUEUE);
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
            notices: broadcast::Sender::new(NOTICES),
            fetches,
            store_work,
            timer,
        });
        let handler = Handler::new(Arc::clone(&shared));
        let server = transport.serve(options.listen, handler).await?;
        let poke = Arc::new(Notify::new());
        let follower = Follower::new(Arc::clone(&shared), store.clone());
        let mut tasks = JoinSet::new();
        let own = || Arc::clone(&shared);
        tasks.spawn(upkeep::run(own()));
        tasks.spawn(list::run(own(), list, options.list_period));
        tasks.spawn(call::run(own(), transport.clone()));
        tasks.spawn(fetch::run(own(), transport, fetch_queue));
        tasks.spawn(Arc::clone(&follower).read());
        tasks.spawn(follower.watch());
        tasks.spawn(claims::run(own(), store, work_queue));
        tasks.spawn(share::run(own(), Arc::clone(&poke), share_period));
        Ok(Handle {
            config: shared.config.clone(),
            shares: Shares {
                shared: own(),
                poke,
            },
            fresh: shared.fresh.clone(),
            members: Members { shared: own() },
            notices: Notices { shared: own() },
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

    /// Breaks the gate of freshness on purpose.
    #[cfg(feature = "testing")]
    pub fn mutate_gate(&self, mutation: fresh::Mutation) {
        self.shared.core.lock().gate().mutate(mutation);
    }

    /// Calls to the store since the start.
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

    /// Says good-bye, hands the shares on and ends.
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
        self.shared.act(actions, now);
        loop {
            timer.sleep(STOP_LOOK).await;
            let told = self.shared.core.lock().has_told_all();
            let handed_on = self.shared.engine.lock().has_left();
            if told && handed_on || timer.now() >= deadline {
                break;
            }
        }
        self.tasks.shutdown().await;
    }
}

/// The shares of budgets held here. Clones share them.
#[derive(Debug, Clone)]
pub struct Shares {
    shared: Arc<Shared>,
    poke: Arc<Notify>,
}

impl Shares {
    /// Takes `units` of a budget. `now` is to be read after the last wait before the use.
    ///
    /// # Errors
    /// [`budget::Exhausted`] if the share held here does not cover them now.
    pub fn take(&self, id: &budget::Id, units: u32, now: Instant) -> Result<(), budget::Exhausted> {
        let result = self.shared.engine.lock().take(id, units, now);
        if result.is_err_and(|exhausted| exhausted.may_borrow) {
            self.poke.notify_one();
        }
        result
    }

    /// Tells whether [`Shares::take`] would refuse now, and takes nothing.
    ///
    /// # Errors
    /// As [`Shares::take`].
    pub fn peek(&self, id: &budget::Id, units: u32, now: Instant) -> Result<(), budget::Exhausted> {
        self.shared.engine.lock().peek(id, units, now)
    }

    /// What the engine holds.
    #[must_use]
    pub fn report(&self) -> report::Engine {
        self.shared.engine.lock().report()
    }
}

/// The other instances. Clones share them.
#[derive(Debug, Clone)]
pub struct Members {
    shared: Arc<Shared>,
}

impl Members {
    /// Everybody else, as of `now`.
    #[must_use]
    pub fn everybody(&self, now: Instant) -> Vec<Member> {
        self.shared.core.lock().everybody(now)
    }

    /// Where callers reach `instance`, if that run of it is believed to be alive.
    #[must_use]
    pub fn entry(
        &self,
        instance: &id::Instance,
        incarnation: Incarnation,
        now: Instant,
    ) -> Option<SocketAddr> {
        let mut core = self.shared.core.lock();
        let (status, place, run) = core.members().member(instance, now)?;
        let alive = matches!(status, Status::Alive | Status::Leaving | Status::Suspect);
        (alive && run == Some(incarnation)).then_some(place.entry)
    }

    /// Tells the others how much room this instance has for more work, from the next frame on.
    pub fn set_headroom(&self, free: Percent) {
        self.shared.core.lock().set_headroom(free.into());
    }

    /// Whether this instance watches the store for its failure domain.
    #[must_use]
    pub fn is_relay(&self) -> bool {
        self.shared.core.lock().is_relay()
    }
}

/// Notices to and from the other instances. Clones share them.
#[derive(Debug, Clone)]
pub struct Notices {
    shared: Arc<Shared>,
}

impl Notices {
    /// Tells all other instances, soon and without waiting.
    pub fn announce(&self, notice: Notice) {
        let now = self.shared.timer.now();
        self.shared.core.lock().announce(notice, now);
        self.shared.wake.notify_one();
    }

    /// Yields each notice of another instance once, from now on.
    #[must_use]
    pub fn subscribe(&self) -> broadcast::Receiver<Notice> {
        self.shared.notices.subscribe()
    }
}
