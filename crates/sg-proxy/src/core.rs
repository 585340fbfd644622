//! What the request path holds, and what the rest of the instance tells it.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicBool, Ordering},
};

use arc_swap::ArcSwapOption;
use parking_lot::Mutex;
use sg_catalog::Catalog;
use sg_clock::Timer;
use sg_place::{Target, member::Report, plan, pool::Here, quarantine::Suspicion, quota, retry};
use sg_types::prelude::*;
use tokio::sync::{Notify, mpsc};

use crate::{links::Links, metric::Metric, state::State, trace::Valve};

/// How long a request waits for a token that is asked for: the way to another region and back, twice.
const BORROW_WAIT: Span = Span::from_millis(180);
/// The most holders that are asked for one request.
const MOST_ASKED: u32 = 2;
/// How long a request that targets are lost with stays refused: as long as its caller may come again.
const QUARANTINE: Span = Span::from_secs(60);
/// The most of the requests that a plan moves between regions in one step.
const PLAN_STEP: f64 = 0.0095;
/// The most instances of a region that one counts for: a first request says little of the others.
const MOST_CROWD: f64 = 6.0;
/// The part of all slots that is thought to be needed before requests tell, in a running system.
const FIRST_FILL: f64 = 0.45;
/// The same when the whole system starts, and all objects are cold.
const COLD_FILL: f64 = 0.7;
/// Demand below this part of that is thought to be the beginning of the traffic.
const BEGINNING: f64 = 0.25;

/// Fleet-wide bounds that come with the deployment.
#[derive(Debug, Clone)]
pub struct Options {
    /// Bounds of sends beyond the first.
    pub retry: retry::Bounds,
    /// What a cold target bears in a second beyond its stated rate, as a factor.
    pub cold_factor: f64,
    /// The same as requests.
    pub cold_slack: f64,
    /// The part of requests that are thought to find their object cold before any answer: all of them
    /// when the targets have served nobody yet.
    pub first_doubt: f64,
    /// Where this instance is.
    pub here: Here,
}

/// The request path's parts.
#[derive(Debug)]
pub struct Core<D> {
    /// What callers and targets speak.
    pub dialect: D,
    /// The timer service.
    pub timer: Timer,
    /// The counters.
    pub metric: Metric,
    /// Connections to targets.
    pub links: Links,
    pub(crate) options: Options,
    pub(crate) state: Mutex<State>,
    pub(crate) valve: Arc<Valve>,
    catalog: ArcSwapOption<Catalog>,
    leaving: AtomicBool,
    closing: AtomicBool,
    credited: Notify,
    signals: mpsc::UnboundedSender<Signal>,
}

/// What other instances are told at once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Signal {
    /// Something that all must know.
    Notice(Notice),
    /// A token is needed here.
    Ask {
        /// Of this account.
        account: id::Account,
        /// This one may lend it.
        holder: id::Instance,
    },
}

/// What an instance tells others of its load.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Load {
    /// Slots that its requests keep busy, by service.
    pub demand: Vec<(id::Service, f64)>,
    /// Tokens that it asks for.
    pub wanted: Vec<(id::Account, u32)>,
}

impl<D> Core<D> {
    /// Knows no catalog and no target yet. `notices`: where what others must know at once goes.
    #[must_use]
    pub fn new(
        dialect: D,
        timer: Timer,
        metric: Metric,
        options: Options,
        signals: mpsc::UnboundedSender<Signal>,
    ) -> Self {
        Self {
            dialect,
            links: Links::new(timer.clone(), metric.opened.clone()),
            timer,
            metric,
            state: Mutex::new(State::new(options.here.clone(), options.first_doubt)),
            options,
            valve: Arc::default(),
            catalog: ArcSwapOption::empty(),
            leaving: AtomicBool::new(false),
            closing: AtomicBool::new(false),
            credited: Notify::new(),
            signals,
        }
    }

    /// The catalog in force.
    #[must_use]
    pub fn catalog(&self) -> Option<Arc<Catalog>> {
        self.catalog.load_full()
    }

    /// Puts a catalog in force unless a newer one is; tells whether it did.
    pub fn adopt(&self, catalog: Catalog) -> bool {
        let newer = self
            .catalog()
            .is_none_or(|known| known.revision < catalog.revision);
        if newer {
            self.catalog.store(Some(Arc::new(catalog)));
        }
        newer
    }

    /// Answers close their connections from now on.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Release);
    }

    /// Takes no new request from now on: there is too little time left to finish it.
    pub fn close(&self) {
        self.closing.store(true, Ordering::Release);
    }

    /// Whether no new request is taken.
    #[must_use]
    pub fn is_closing(&self) -> bool {
        self.closing.load(Ordering::Acquire)
    }

    /// Whether the instance is about to stop.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Adds a target or takes what it says of itself now; tells whether it is new.
    pub fn put_target(&self, target: Target) -> bool {
        let now = self.timer.now();
        self.state.lock().put(target, now)
    }

    /// Forgets a target; tells whether it was known.
    pub fn remove_target(&self, target: &id::Target) -> bool {
        let mut state = self.state.lock();
        let address = state.services.get(target).cloned().and_then(|service| {
            let member = state.pool(&service).member_mut(target)?;
            Some(member.target.address)
        });
        let known = state.remove(target);
        drop(state);
        if let Some(address) = address {
            self.links.forget(address);
        }
        known
    }

    /// Sends nothing to targets of `domain` while `closed`.
    pub fn close_domain(&self, domain: id::Domain, closed: bool) -> bool {
        let mut state = self.state.lock();
        if closed {
            return state.closed.insert(domain);
        }
        let reopened = state.closed.swap_remove(&domain);
        if reopened {
            // Its targets may have been replaced by cold ones meanwhile.
            for pool in state.pools.values_mut() {
                pool.doubt(&domain);
            }
        }
        reopened
    }

    /// Takes over who sends to targets, and how much of fleet-wide budgets may be used, 0 to 1.
    pub fn fleet(&self, instances: Vec<id::Instance>, fleet: u32, whole: f64) {
        let mut state = self.state.lock();
        if state.here.instances.as_ref() != instances.as_slice() {
            state.here.instances = instances.into();
        }
        state.fleet = fleet.max(1);
        state.whole = whole;
    }

    /// What this instance tells others of its load.
    #[must_use]
    pub fn load(&self) -> Load {
        let now = self.timer.now();
        let mut state = self.state.lock();
        let demand = state.demand.iter();
        let demand = demand.map(|(service, demand)| (service.clone(), demand.get(now)));
        let demand = demand.collect();
        let mut wanted = Vec::new();
        if let Some(catalog) = self.catalog() {
            for account in catalog.accounts.values() {
                let Some(bounds) = bounds(account) else {
                    continue;
                };
                let part = state.part_of(&account.name, bounds);
                let share = state.share(&account.name, bounds, now);
                let tokens = share.wanted(bounds, part);
                if tokens > 0 {
                    wanted.push((account.name.clone(), tokens));
                }
            }
        }
        Load { demand, wanted }
    }

    /// Takes up to `wanted` tokens of `account` out of this instance's share; `None` if it holds none.
    pub fn lend(&self, account: &id::Account, wanted: u32) -> Option<u32> {
        let bounds = self.bounds(account)?;
        let now = self.timer.now();
        let mut state = self.state.lock();
        let part = state.part_of(account, bounds);
        let share = state.share(account, bounds, now);
        (part > 0.0).then(|| share.lend(wanted, bounds, part))
    }

    /// Takes borrowed tokens in.
    pub fn credit(&self, account: &id::Account, tokens: u32) {
        let now = self.timer.now();
        if let Some(bounds) = self.bounds(account) {
            let mut state = self.state.lock();
            state.share(account, bounds, now).credit(tokens, now);
        }
        self.credited.notify_waiters();
    }

    /// Waits a moment for a token of `account` that others lend; `false` if there is none to be had.
    pub(crate) async fn borrow(&self, account: &id::Account, bounds: quota::Bounds) -> bool {
        let until = self.timer.now() + BORROW_WAIT;
        let mut asked = 0;
        loop {
            let credited = self.credited.notified();
            tokio::pin!(credited);
            credited.as_mut().enable();
            let now = self.timer.now();
            {
                let mut state = self.state.lock();
                let share = state.share(account, bounds, now);
                if share.take_again() {
                    return true;
                }
                if now >= until {
                    share.waited(now);
                    return false;
                }
                if !share.may_ask(now) {
                    return false;
                }
                if asked < MOST_ASKED && now >= self.next_ask(until, asked) {
                    let mut holders = state.holders(account, bounds);
                    if holders.is_empty() {
                        return false;
                    }
                    let one = rand::random_range(0..holders.len());
                    asked += 1;
                    self.signal(Signal::Ask {
                        account: account.clone(),
                        holder: holders.swap_remove(one),
                    });
                }
            }
            let wake = until.min(self.next_ask(until, asked));
            // The end of the wait shows in the next round.
            let _ = self
                .timer
                .until(wake.max(now + Span::from_millis(1)), credited)
                .await;
        }
    }

    /// When the next holder is asked: the first at once, others after their share of the wait.
    fn next_ask(&self, until: Instant, asked: u32) -> Instant {
        if asked >= MOST_ASKED {
            return until;
        }
        let left = BORROW_WAIT.mul_f64(1.0 - f64::from(asked) / f64::from(MOST_ASKED));
        until - left
    }

    fn bounds(&self, account: &id::Account) -> Option<quota::Bounds> {
        bounds(self.catalog()?.accounts.get(account)?)
    }

    /// Targets that a health check has to clear before they are used, `most` at a time: the target, its
    /// address and the path to ask.
    #[must_use]
    pub fn doubtful(&self, most: usize) -> Vec<(id::Target, SocketAddr, Arc<str>)> {
        let Some(catalog) = self.catalog() else {
            return Vec::new();
        };
        let state = self.state.lock();
        let doubtful = state.pools.iter().flat_map(|(service, pool)| {
            let path = catalog
                .services
                .get(service)
                .map(|service| service.health_path.clone());
            let members = pool
                .members()
                .filter(|m| m.needs_check() && !m.target.draining);
            members.filter_map(move |member| {
                Some((
                    member.target.id.clone(),
                    member.target.address,
                    path.clone()?,
                ))
            })
        });
        let mut doubtful: Vec<_> = doubtful.collect();
        rand::seq::SliceRandom::shuffle(doubtful.as_mut_slice(), &mut rand::rng());
        doubtful.truncate(most);
        doubtful
    }

    /// A health check of `target` was answered.
    pub fn checked(
        &self,
        target: &id::Target,
        healthy: bool,
        cold: Option<Span>,
        report: Option<Report>,
    ) {
        let now = self.timer.now();
        let mut state = self.state.lock();
        let Some(service) = state.services.get(target).cloned() else {
            return;
        };
        if let Some(member) = state.pool(&service).member_mut(target) {
            member.checked(healthy, cold, now);
            if let Some(report) = report {
                member.report(report, now);
            }
        }
    }

    /// Plans anew for each service: `demand` gives the slots that a region's requests keep busy.
    pub fn replan(
        &self,
        domains: &IndexMap<id::Domain, id::Region>,
        demand: impl Fn(&id::Service, &id::Region) -> f64,
        own: impl Fn(&id::Service) -> f64,
    ) {
        let now = self.timer.now();
        let mut state = self.state.lock();
        let home = state.here.region.clone();
        let all_cold = state.first_doubt >= 1.0;
        let fill = if all_cold { COLD_FILL } else { FIRST_FILL };
        let closed = state.closed.clone();
        let regions: IndexSet<&id::Region> = domains.values().collect();
        for (service, pool) in &mut state.pools {
            let slots = |region: &id::Region| -> f64 {
                let inside = domains.iter().filter(|(_, at)| *at == region);
                let open = inside.filter(|(domain, _)| !closed.contains(*domain));
                open.map(|(domain, _)| pool.slots(domain, now)).sum()
            };
            let mut loads: Vec<plan::Region> = regions
                .iter()
                .map(|region| plan::Region {
                    name: (*region).clone(),
                    demand: demand(service, region),
                    slots: slots(region),
                })
                .collect();
            let whole = demand(service, &home);
            let own = own(service);
            let crowd = if own > 0.0 { whole / own } else { 1.0 };
            pool.crowd(crowd.clamp(1.0, MOST_CROWD));
            guess_beginning(&mut loads, fill);
            let next = plan::split(&loads, &home);
            let step = pool.plan().toward(&next, PLAN_STEP);
            pool.follow(step);
        }
    }

    /// Takes note of what another instance tells.
    pub fn on_notice(&self, notice: &Notice) {
        let Notice::Suspect {
            account,
            fingerprint,
            target,
            in_flight,
            ..
        } = notice
        else {
            return;
        };
        self.suspect(Suspicion {
            account: account.clone(),
            fingerprint: *fingerprint,
            target: target.clone(),
            in_flight: *in_flight,
        });
    }

    pub(crate) fn suspect(&self, suspicion: Suspicion) {
        let now = self.timer.now();
        let fingerprint = suspicion.fingerprint;
        if self
            .state
            .lock()
            .quarantine
            .note(suspicion, QUARANTINE, now)
        {
            log::warn!(fingerprint:% = fingerprint; "request quarantined");
        }
    }

    pub(crate) fn signal(&self, signal: Signal) {
        // The receiver is gone only while the process stops.
        let _ = self.signals.send(signal);
    }
}

/// Before requests tell, the demand is thought to be spread evenly.
fn guess_beginning(loads: &mut [plan::Region], fill: f64) {
    let slots: f64 = loads.iter().map(|load| load.slots).sum();
    let told: f64 = loads.iter().map(|load| load.demand).sum();
    let guess = slots * fill;
    if told < guess * BEGINNING {
        let part = guess / loads.len().max(1) as f64;
        loads.iter_mut().for_each(|load| load.demand = part);
    }
}

/// The fleet-wide bound of an account, if it has one.
pub(crate) fn bounds(account: &sg_catalog::Account) -> Option<quota::Bounds> {
    Some(quota::Bounds {
        rate: account.rate?.as_f64(),
        burst: f64::from(account.burst),
    })
}
