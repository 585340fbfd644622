//! Exchanges state, loans and notices with the other instances.

use std::{net::SocketAddr, sync::atomic::Ordering};

use rand::seq::SliceRandom;
use sg_mesh::{
    Members,
    frame::{Departure, Frame},
    relay,
};
use sg_place::{departure::Run, quota, relay::Peer};
use sg_proxy::{
    core::{self, Signal},
    planning::InstanceLoad,
    quotas::Loan,
};
use sg_store::{Store, version::Era};
use sg_types::prelude::*;
use tokio::{sync::mpsc, task::JoinSet};

use crate::{
    Interpreter, Protocol, beacon,
    daemon::{Context, INSTANCE_INDEX, OPERATOR_INDEX, TARGET_INDEX},
    digests, following, slots,
};

/// The interval at which the demand for loans, the traffic plans and the fleet size are updated.
const TICK_INTERVAL: Span = Span::from_millis(200);
/// The number of ticks between two sweeps of idle connections to targets.
const TICKS_PER_SWEEP: u32 = 5;
/// The time after the start for which an instance that has not read the registered instances uses no
/// fleet-wide budget. Afterwards the instance assumes a fleet of at least two instances per failure
/// domain, so that it does not take more than its share of the budgets.
const REGISTRY_GRACE: Span = Span::from_secs(4);
/// The time for which calls to the store have to fail before an instance that receives no beacons halves
/// its share of fleet-wide budgets, because the instance may be partitioned from the others.
const ISOLATION_TIMEOUT: Span = Span::from_secs(8);
/// The interval at which a starting instance checks whether it has read the store.
const START_POLL_INTERVAL: Span = Span::from_millis(10);
/// The longest time that a starting instance waits for what others retain, several round trips between
/// regions.
const MAX_RETAINED_WAIT: Span = Span::from_millis(400);
/// The largest number of instances that a starting instance asks for what they retain.
const MAX_ASKED_FOR_RETAINED: usize = 8;
/// Receives frames from other instances and handles them.
pub(crate) async fn receive_frames<D: Protocol, I: Interpreter, S: Store>(
    context: Arc<Context<D, I, S>>,
) {
    let mut buffer = Vec::new();
    loop {
        match context.gossip.receive(&mut buffer).await {
            Ok((frame, from)) => handle_frame(&context, frame, from),
            Err(error) => {
                log::debug!(error:% = error; "datagram not received");
                context.timer.sleep(Span::from_millis(10)).await;
            }
        }
    }
}

/// Handles one frame that arrived from the address `from`.
fn handle_frame<D: Protocol, I: Interpreter, S: Store>(
    context: &Context<D, I, S>,
    frame: Frame,
    from: SocketAddr,
) {
    let now = context.timer.now();
    match frame {
        Frame::Beacon(beacon) => {
            let wanted_tokens = beacon.wanted_tokens.clone();
            let incarnation = beacon.incarnation;
            let is_neighbour = beacon.location.domain == context.settings.domain;
            if beacon::record(context, *beacon, now, now) && is_neighbour {
                context.digests.request();
            }
            lend_wanted_tokens(context, incarnation, from, wanted_tokens);
        }
        Frame::Digest(digest) => digests::receive(context, &digest, now),
        Frame::Slots(packet) => slots::receive(context, packet, from, now),
        Frame::Wanted {
            incarnation,
            tokens,
        } => lend_wanted_tokens(context, incarnation, from, tokens),
        Frame::Loan {
            from,
            incarnation,
            to,
            number,
            account,
            tokens,
            asked_at,
        } => {
            let is_addressee = to == context.incarnation;
            if is_addressee
                && context
                    .members
                    .lock()
                    .record_loan(&from, incarnation, number)
            {
                let asked_at = asked_at.map(Instant::from_nanos);
                let loan = Loan {
                    from,
                    tokens,
                    asked_at,
                };
                context.core.add_borrowed_tokens(&account, loan);
            }
        }
        Frame::Ask {
            incarnation,
            account,
            tokens,
            asked_at,
        } => {
            // A holder without spare tokens responds with a loan of zero tokens, so that the borrower
            // refuses the waiting request at once.
            let is_direct = asked_at.is_some();
            if let Some(tokens) = context.core.lend_tokens(&account, tokens, is_direct) {
                send_loan(context, (incarnation, from), account, tokens, asked_at);
            }
        }
        Frame::Departures { runs, .. } => {
            for run in runs {
                context.core.adopt_departure(&Run {
                    target: run.target,
                    started_at_millis: run.started_at_millis,
                });
            }
        }
        Frame::Notice { from, notice } => context.core.handle_notice(from, &notice),
    }
}

/// Lends tokens that another instance wants and that this instance does not need.
fn lend_wanted_tokens<D: Protocol, I: Interpreter, S: Store>(
    context: &Context<D, I, S>,
    to: Incarnation,
    address: SocketAddr,
    wanted_tokens: Vec<(id::Account, u32)>,
) {
    if wanted_tokens.is_empty() {
        return;
    }
    for (account, tokens) in wanted_tokens {
        let tokens = context.core.lend_tokens(&account, tokens, false);
        if let Some(tokens) = tokens.filter(|tokens| *tokens > 0) {
            send_loan(context, (to, address), account, tokens, None);
        }
    }
}

/// Sends a loan to the run of another instance at an address. `asked_at` is that of the ask, if the tokens
/// are direct.
fn send_loan<D, I, S>(
    context: &Context<D, I, S>,
    (to, address): (Incarnation, SocketAddr),
    account: id::Account,
    tokens: u32,
    asked_at: Option<u64>,
) {
    let frame = Frame::Loan {
        from: context.settings.instance.clone(),
        incarnation: context.incarnation,
        to,
        number: context.next_loan_number.fetch_add(1, Ordering::Relaxed),
        account,
        tokens,
        asked_at,
    };
    context.gossip.send(&frame, [address]);
}

/// Sends beacons at an interval, and requests for tokens that this instance expects to need at every
/// tick. Sends notices and requests for single tokens when the request path signals them.
pub(crate) async fn send_frames<D: Protocol, I: Interpreter, S: Store>(
    context: Arc<Context<D, I, S>>,
    mut signals: mpsc::UnboundedReceiver<Signal>,
) {
    let mut ticks = context.timer.every(TICK_INTERVAL);
    let mut tick_count = 0u32;
    let mut last_beacon = Instant::START;
    let mut follow_due_since = None;
    let mut last_state = None;
    let mut era = context.replica.subscribe_era();
    loop {
        tokio::select! {
            // The sender lives as long as the replica in the context.
            Ok(()) = era.changed() => {
                let load = context.core.load();
                beacon::send(&context, load, context.timer.now());
            }
            () = context.changed.notified() => {
                let load = context.core.load();
                beacon::send(&context, load, context.timer.now());
            }
            tick = ticks.tick() => {
                context.core.metrics.lateness.observe(tick.late.as_secs_f64());
                context.event_loop.lock().record_updates(tick.now);
                tick_count += 1;
                update_core(&context, tick.now);
                slots::update(&context, tick.now);
                digests::report_earlier_builds(&context, tick.now);
                digests::send_requested(&context, tick.now);
                following::update(&context, &mut follow_due_since, tick.now);
                if tick_count.is_multiple_of(TICKS_PER_SWEEP) {
                    context.core.connections.close_expired();
                }
                let load = context.core.load();
                send_wanted(&context, &load.wanted_tokens, tick.now);
                send_departures(&context, tick.now);
                let core = &context.core;
                let follows = following::reaches_store(&context, tick.now);
                let takes_slots = context.slots.takes_part();
                let is_usable = (context.is_ready(), core.is_draining(), core.is_cut_off());
                let state = (is_usable, follows, takes_slots);
                let is_due = tick.now.since(last_beacon) >= beacon::interval(&context, tick.now);
                if is_due || last_state != Some(state) {
                    last_beacon = tick.now;
                    last_state = Some(state);
                    beacon::send(&context, load, tick.now);
                }
            }
            Some(signal) = signals.recv() => send_signal(&context, signal),
        }
    }
}

/// Sends a notice to all live instances, or a request for a loan to the holder that may lend.
fn send_signal<D: Protocol, I: Interpreter, S: Store>(context: &Context<D, I, S>, signal: Signal) {
    let (frame, to) = match signal {
        Signal::Notice(notice) => {
            let from = context.settings.instance.clone();
            (Frame::Notice { from, notice }, None)
        }
        Signal::BorrowToken {
            account,
            holder,
            asked_at,
        } => {
            let frame = Frame::Ask {
                incarnation: context.incarnation,
                account,
                tokens: 1,
                asked_at: asked_at.map(Instant::as_nanos),
            };
            (frame, Some(holder))
        }
    };
    let now = context.timer.now();
    let members = context.members.lock();
    let addresses: Vec<_> = members
        .alive(now)
        .filter(|member| to.as_ref().is_none_or(|to| *to == member.beacon.instance))
        .map(|member| member.beacon.location.mesh_address)
        .collect();
    drop(members);
    context.gossip.send(&frame, addresses);
}

/// Announces targets that told this instance that they are leaving.
fn send_departures<D: Protocol, I: Interpreter, S: Store>(
    context: &Context<D, I, S>,
    now: Instant,
) {
    let runs = context.core.take_departures().into_iter();
    let runs = runs.map(|run| Departure {
        target: run.target,
        started_at_millis: run.started_at_millis,
    });
    let runs: Vec<_> = runs.collect();
    if runs.is_empty() {
        return;
    }
    let from = context.settings.instance.clone();
    let members = context.members.lock();
    let addresses = members
        .alive(now)
        .map(|member| member.beacon.location.mesh_address);
    let addresses: Vec<_> = addresses.collect();
    drop(members);
    context
        .gossip
        .send(&Frame::Departures { from, runs }, addresses);
}

/// Asks random holders of the accounts' budgets for the tokens that this instance wants, in one frame a
/// holder.
fn send_wanted<D: Protocol, I: Interpreter, S: Store>(
    context: &Context<D, I, S>,
    wanted: &[(id::Account, u32)],
    now: Instant,
) {
    let mut by_holder: IndexMap<id::Instance, Vec<(id::Account, u32)>> = IndexMap::new();
    for (account, tokens) in wanted {
        let mut holders = context.core.holders(account);
        holders.shuffle(&mut rand::rng());
        let requests = quota::divide_request(*tokens, holders.len());
        for (holder, tokens) in holders.into_iter().zip(requests) {
            let asked = by_holder.entry(holder).or_default();
            asked.push((account.clone(), tokens));
        }
    }
    let members = context.members.lock();
    let mesh_address = |name: &id::Instance| {
        let member = members.alive(now).find(|m| m.beacon.instance == *name)?;
        Some(member.beacon.location.mesh_address)
    };
    let addressed = by_holder
        .into_iter()
        .filter_map(|(holder, tokens)| Some((mesh_address(&holder)?, tokens)));
    let addressed: Vec<_> = addressed.collect();
    drop(members);
    for (address, tokens) in addressed {
        let frame = Frame::Wanted {
            incarnation: context.incarnation,
            tokens,
        };
        context.gossip.send(&frame, [address]);
    }
}

/// Updates the fleet's members and the traffic plans of the request path.
fn update_core<D: Protocol, I: Interpreter, S: Store>(context: &Context<D, I, S>, now: Instant) {
    let own = &context.settings.instance;
    let (mut fleet, loads) = {
        let mut members = context.members.lock();
        let loads: Vec<(id::Region, InstanceLoad)> = members
            .alive(now)
            .map(|member| {
                let beacon = &member.beacon;
                let load = InstanceLoad {
                    demand: beacon.demand.clone(),
                    bound: beacon.bound.clone(),
                    wanted_tokens: Vec::new(),
                };
                (beacon.location.region.clone(), load)
            })
            .collect();
        let fleet = core::Fleet {
            instances: members.instance_names(own, now),
            instance_regions: members.instance_regions(now),
            peers: peers(&members, now),
            size: members.fleet_size(own, now),
            budget_fraction: 0.0,
        };
        (fleet, loads)
    };
    fleet.budget_fraction = usable_budget_fraction(context, fleet.size, loads.len(), now);
    context.core.update_fleet(fleet);
    context.core.update_plans(&context.settings.domains, &loads);
}

/// Returns the live instances that accept requests and reach targets.
fn peers(members: &Members, now: Instant) -> Vec<Peer> {
    let alive = members.alive(now).map(|member| &member.beacon);
    let usable = alive.filter(|beacon| beacon.ready && !beacon.leaving && !beacon.cut_off);
    let peers = usable.map(|beacon| Peer {
        instance: beacon.instance.clone(),
        domain: beacon.location.domain.clone(),
        region: beacon.location.region.clone(),
        address: beacon.location.caller_address,
    });
    peers.collect()
}

/// Returns the fraction of fleet-wide budgets that may be divided among the known instances.
fn usable_budget_fraction<D, I, S>(
    context: &Context<D, I, S>,
    fleet_size: u32,
    live_count: usize,
    now: Instant,
) -> f64 {
    let domain_count = context.settings.domains.len() as f64;
    if !context.replica.is_initialized(INSTANCE_INDEX) {
        if now.since(Instant::START) < REGISTRY_GRACE {
            return 0.0;
        }
        let fleet_size = f64::from(fleet_size);
        return fleet_size / fleet_size.max(domain_count * 2.0);
    }
    let failing_since = context.replica.contact(INSTANCE_INDEX).failing_since;
    let is_isolated =
        live_count == 0 && failing_since.is_some_and(|at| now.since(at) > ISOLATION_TIMEOUT);
    if is_isolated { 0.5 } else { 1.0 }
}

/// Fetches what other instances retain from before the store was restored from a copy, so that an
/// instance that starts after that does not apply what the copy has in an older state. Returns once the
/// configuration is known, if the store reports no eras.
pub(crate) async fn fetch_retained<D: Protocol, I: Interpreter, S: Store>(
    context: &Context<D, I, S>,
) {
    let replica = &context.replica;
    while !replica.is_initialized(OPERATOR_INDEX) {
        context.timer.sleep(START_POLL_INTERVAL).await;
    }
    if replica.era() == Era::default() {
        return;
    }
    let deadline = context.timer.now() + MAX_RETAINED_WAIT;
    while !replica.is_initialized(INSTANCE_INDEX) && context.timer.now() < deadline {
        context.timer.sleep(START_POLL_INTERVAL).await;
    }
    let mut others = beacon::addresses(context, context.timer.now());
    others.truncate(MAX_ASKED_FOR_RETAINED);
    let mut fetches = JoinSet::new();
    for address in others {
        let (replica, timer) = (replica.clone(), context.timer.clone());
        fetches.spawn(async move {
            for index in [OPERATOR_INDEX, TARGET_INDEX] {
                relay::fetch_retaining(&replica, &timer, address, index).await?;
            }
            Ok::<_, relay::Error>(())
        });
    }
    let mut answered = 0;
    while let Ok(Some(fetched)) = context.timer.until(deadline, fetches.join_next()).await {
        answered += u32::from(matches!(fetched, Ok(Ok(()))));
    }
    let retained = replica.retained_count(OPERATOR_INDEX) + replica.retained_count(TARGET_INDEX);
    log::info!(answered, retained, era:% = replica.era(); "other instances asked for retained values");
}
