//! Passes requests on to another instance while this one is cut off from all targets.
//!
//! The other instance handles the request like any other: it checks the key, takes a token of the account
//! and chooses a target. An instance that stops takes it only if it can keep it until the deadline, because a further
//! instance can take it instead. A request is passed on once; an instance that gets it this way and is cut off
//! itself rejects it.

use http::{Response, request};
use rand::seq::IndexedRandom;
use sg_catalog::{Account, Route};
use sg_place::relay::{self, Peer};
use sg_types::prelude::*;

use crate::{
    Body, Core, Dialect,
    body::Cut,
    connections::{SendError, failure},
    content::Content,
    dialect::{Refusal, RequestInfo},
    receive::{self, ReceivedFrom},
    send,
    trace::{RelayEnd, RelayRecord, Trace},
};

/// Maximum number of instances that a request is passed to, as long as none of them can have handled it.
const MAX_PEERS: usize = 3;
/// Time after which a caller is asked to retry if no instance can take the request.
const NO_PEER_RETRY_AFTER: Span = Span::from_millis(500);

/// A request that is passed on.
pub(crate) struct Relayed<'a> {
    head: &'a request::Parts,
    id: &'a str,
    content: Content,
    is_idempotent: bool,
    home_regions: &'a [id::Region],
    account_home_regions: &'a [id::Region],
    /// Whether another instance has passed the request to this one.
    was_relayed: bool,
    /// Time by which this instance has to respond.
    deadline: Instant,
}

impl<'a> Relayed<'a> {
    pub fn new(
        head: &'a request::Parts,
        request_info: &RequestInfo<'a>,
        route: &'a Route,
        account: Option<&'a Account>,
        content: Content,
        deadline: Instant,
    ) -> Self {
        Self {
            head,
            id: request_info.id,
            content,
            is_idempotent: route.idempotent,
            home_regions: &route.home_regions,
            account_home_regions: account.map_or(&[], |account| &account.home_regions),
            was_relayed: request_info.is_relayed,
            deadline,
        }
    }

    /// Returns whether the request may be passed to one more instance.
    fn may_continue(&self, tried: usize, now: Instant) -> bool {
        !self.was_relayed && tried < MAX_PEERS && now < self.deadline && !self.content.is_spent()
    }
}

/// Why a request that was passed on got no response that may be passed back.
enum Failure {
    /// No byte of the request was sent.
    NotSent,
    /// The other instance rejected the request by an older configuration.
    Outdated,
    /// The other instance stops before the request's deadline, and has not run the request.
    Leaving,
    /// The connection was lost, or the response belongs to another request.
    Lost,
}

/// Passes the request on and returns the response of the other instance.
pub(crate) async fn run<D: Dialect>(
    core: &Arc<Core<D>>,
    relayed: &Relayed<'_>,
    trace: &mut Trace,
) -> Result<Response<Body>, Refusal> {
    let mut tried = Vec::new();
    while relayed.may_continue(tried.len(), core.timer.now()) {
        // This instance has no estimate of the time that the request takes at the other one.
        check_stop(core, relayed.deadline)?;
        let Some(peer) = choose_peer(core, relayed, &tried) else {
            break;
        };
        tried.push(peer.instance.clone());
        trace.relays.push(RelayRecord::open(peer.instance.clone()));
        let exchange = exchange(core, relayed, &peer, trace.revision);
        let result = core.timer.until(relayed.deadline, exchange).await;
        let end = match &result {
            Ok(Ok(_)) => RelayEnd::Answered,
            Ok(Err(Failure::NotSent)) => RelayEnd::Unsent,
            Ok(Err(Failure::Outdated)) => RelayEnd::Outdated,
            Ok(Err(Failure::Leaving)) => RelayEnd::Leaving,
            Ok(Err(Failure::Lost)) => RelayEnd::Lost,
            Err(_) => RelayEnd::Late,
        };
        trace.end_relay(end);
        core.metrics.record_relay(end.as_str());
        match result {
            Ok(Ok((response, outcome))) => {
                trace.relayed_outcome = Some(outcome);
                return Ok(response);
            }
            Ok(Err(Failure::NotSent | Failure::Outdated | Failure::Leaving)) => {}
            Ok(Err(Failure::Lost)) => {
                return Err(Refusal::may_have_run(Reason::ConnectionLost));
            }
            Err(_) => return Err(Refusal::may_have_run(Reason::DeadlineRunning)),
        }
    }
    Err(Refusal::not_run(Reason::ConnectFailed).with_retry_after(NO_PEER_RETRY_AFTER))
}

/// Refuses a request that is passed on, by this instance or to it, and whose deadline comes after the stop of this
/// instance.
pub(crate) fn check_stop<D>(core: &Core<D>, deadline: Instant) -> Result<(), Refusal> {
    if core.stops_before(deadline) {
        return Err(Refusal::not_run(Reason::Leaving).with_retry_after(Span::ZERO));
    }
    Ok(())
}

/// Draws an instance that may take the request.
fn choose_peer<D>(core: &Core<D>, relayed: &Relayed<'_>, tried: &[id::Instance]) -> Option<Peer> {
    let query = relay::Query {
        home_regions: relayed.home_regions,
        account_home_regions: relayed.account_home_regions,
        tried,
    };
    let state = core.state.lock();
    let candidates = relay::candidates(&state.peers, &state.location, &query);
    candidates.choose(&mut rand::rng()).copied().cloned()
}

/// Sends the request, which this instance admits by the configuration of `revision`, to `peer`, and returns
/// its response and what that says of the request.
async fn exchange<D: Dialect>(
    core: &Arc<Core<D>>,
    relayed: &Relayed<'_>,
    peer: &Peer,
    revision: Revision,
) -> Result<(Response<Body>, Outcome), Failure> {
    let remaining = relayed.deadline.since(core.timer.now());
    let headers = core
        .dialect
        .relayed_headers(&relayed.head.headers, remaining);
    let request = send::build_request(relayed.head, relayed.content.outgoing(), headers);
    let reuse = send::reuse_policy(relayed.is_idempotent);
    // A request that may have run elsewhere is not passed on again.
    let timeouts = send::timeouts(core, false, remaining);
    let may_send = || !core.stops_before(relayed.deadline);
    let sent = core
        .connections
        .send(peer.address, request, reuse, timeouts, may_send)
        .await;
    if let Some(failure) = sent.as_ref().err().and_then(failure::Failure::of_send) {
        core.metrics.record_connection_failure(failure);
    }
    let (response, connection) = match sent {
        Ok(sent) => sent,
        Err(SendError::Late { opening, .. }) => {
            log::debug!(other:% = peer.instance; "connection late");
            core.keep_late_connection(opening);
            return Err(Failure::NotSent);
        }
        Err(error @ (SendError::NotSent(_) | SendError::Withdrawn)) => {
            log::debug!(other:% = peer.instance, error:% = error; "instance not reached");
            return Err(Failure::NotSent);
        }
        Err(SendError::Lost { cause, .. }) => {
            log::debug!(other:% = peer.instance, error:% = cause; "connection lost");
            return Err(Failure::Lost);
        }
    };
    let (mut head, body) = response.into_parts();
    let Some(info) = core.dialect.parse_relayed_response(&head, relayed.id) else {
        return Err(Failure::Lost);
    };
    if relay::is_outdated(info.rejected_by, revision) {
        log::debug!(other:% = peer.instance; "rejected by an older configuration");
        return Err(Failure::Outdated);
    }
    if info.is_leaving {
        log::debug!(other:% = peer.instance; "instance stops");
        return Err(Failure::Leaving);
    }
    let received = receive::receive_body(core, relayed.head, body).await;
    let received = received.map_err(|error| {
        log::debug!(other:% = peer.instance, error:% = error; "connection lost");
        Failure::Lost
    })?;
    let closes_connection = core.dialect.closes_connection(&head);
    core.dialect.strip_hop_by_hop_headers(&mut head.headers);
    let from = ReceivedFrom {
        connection,
        closes: closes_connection || relayed.content.is_incomplete(),
        keep_alive_timeout: None,
    };
    let metrics = core.metrics.clone();
    let on_cut = move |cut: Cut| metrics.record_cut_response(cut.as_str());
    let body = receive::finish_body(core, received, from, relayed.deadline, on_cut);
    Ok((Response::from_parts(head, body), info.outcome))
}
