//! Requests that may not be repeated: checks their ticket and runs them at most once.

use http::HeaderMap;
use sg_tree::View;
use sg_types::prelude::*;
use tokio::sync::oneshot;

use crate::{
    admit,
    call::Call,
    check::Head,
    dependencies::DependencySet,
    handler, headers, issue,
    limit::Permit,
    reply::{Payload, Refusal, Reply},
    run::{self, RunResult},
    shared::Shared,
    ticket::Ticket,
    ticket_register::{Record, RecordReceiver, StartResult},
    trace::Trace,
};

/// The state of a request's ticket.
#[derive(Debug)]
pub enum TicketState {
    /// The request is repeatable and needs no ticket.
    Repeatable,
    /// The ticket was issued by this instance and has not been used.
    Unused(Ticket),
    /// The ticket was issued by this instance and may have been used.
    Used(Ticket),
    /// The ticket was issued by another instance.
    IssuedElsewhere(Ticket),
}

impl TicketState {
    /// Returns whether the request may start new work on this instance.
    #[must_use]
    pub const fn starts_new_work(&self) -> bool {
        matches!(self, Self::Repeatable | Self::Unused(_))
    }
}

/// Parses the ticket in the `Idempotency-Key` header.
#[must_use]
pub fn parse_ticket(headers: &HeaderMap) -> Option<Ticket> {
    let text = headers.get(headers::IDEMPOTENCY_KEY)?.to_str().ok()?;
    text.parse().ok()
}

/// Checks the ticket of a request.
///
/// # Errors
/// A refusal, with a fresh ticket if the ticket is missing or expired.
pub fn check_ticket<P: DependencySet>(
    shared: &Shared<P>,
    head: &Head,
) -> Result<TicketState, Refusal> {
    if head.settings.repeatable {
        return Ok(TicketState::Repeatable);
    }
    let account = head.holder.as_ref().map(|holder| &holder.account);
    let refuse_with_ticket = |reason| {
        let ticket = issue::ticket_header(shared, &head.view, account);
        Refusal::not_run(reason).with_ticket(ticket)
    };
    if !head.headers.contains_key(headers::IDEMPOTENCY_KEY) {
        return Err(refuse_with_ticket(Reason::TicketMissing));
    }
    let Some(ticket) = parse_ticket(&head.headers) else {
        return Err(Refusal::not_run(Reason::TicketMismatch));
    };
    if !shared.ticket_issuer.names_this_incarnation(&ticket) {
        return check_issued_elsewhere(shared, head, ticket);
    }
    if !shared.ticket_issuer.has_issued(&ticket, account) {
        return Err(Refusal::not_run(Reason::TicketMismatch));
    }
    let now = shared.timer.now();
    if shared.tickets.lock().may_have_started(&ticket, now) {
        return Ok(TicketState::Used(ticket));
    }
    if ticket.expires <= now {
        return Err(refuse_with_ticket(Reason::TicketExpired));
    }
    Ok(TicketState::Unused(ticket))
}

fn check_issued_elsewhere<P: DependencySet>(
    shared: &Shared<P>,
    head: &Head,
    ticket: Ticket,
) -> Result<TicketState, Refusal> {
    let earlier_incarnation = ticket.instance == shared.identity.instance;
    if head.is_relayed || earlier_incarnation {
        return Err(Refusal::unknown(Reason::IssuerGone));
    }
    Ok(TicketState::IssuedElsewhere(ticket))
}

/// Runs the request, waits for a run in progress, or replays the recorded result.
pub async fn run_once<P: DependencySet>(
    shared: &Arc<Shared<P>>,
    view: &View,
    call: Box<Call>,
    ticket: &Ticket,
    trace: &mut Trace,
) -> Reply {
    let earlier = shared
        .tickets
        .lock()
        .find(ticket.sequence, call.fingerprint);
    if let Some(earlier) = earlier {
        return answer_resend(shared, &call, earlier).await;
    }
    let now = shared.timer.now();
    if ticket.expires <= now {
        return Reply::not_run(Reason::TicketExpired);
    }
    if shared.tickets.lock().is_full(now) {
        return Reply::not_run(Reason::Overloaded);
    }
    let permit = match admit::admit(shared, view, &call).await {
        Ok(permit) => permit,
        Err(refusal) => return refusal.into(),
    };
    let now = shared.timer.now();
    let start = shared.tickets.lock().start(ticket, call.fingerprint, now);
    match start {
        StartResult::Started => start_run(shared, call, ticket, permit, trace).await,
        earlier => answer_resend(shared, &call, earlier).await,
    }
}

/// Runs the request in its own task, so that the run completes and is recorded even if the caller
/// disconnects.
async fn start_run<P: DependencySet>(
    shared: &Arc<Shared<P>>,
    call: Box<Call>,
    ticket: &Ticket,
    permit: Permit,
    trace: &mut Trace,
) -> Reply {
    let (sender, receiver) = oneshot::channel();
    let task = run_and_record(shared.clone(), call, ticket.clone(), permit, sender);
    tokio::spawn(task);
    match receiver.await {
        Ok(result) => handler::record_attempts(trace, result),
        Err(_) => Reply::refusal(Outcome::Unknown, Reason::ConnectionLost),
    }
}

async fn run_and_record<P: DependencySet>(
    shared: Arc<Shared<P>>,
    call: Box<Call>,
    ticket: Ticket,
    permit: Permit,
    sender: oneshot::Sender<RunResult>,
) {
    let _guard = shared.shutdown.begin_request();
    let result = run::run(&shared, call, permit).await;
    let mut tickets = shared.tickets.lock();
    tickets.record_result(ticket.sequence, record_of(&result.reply));
    shared.metrics.tickets.set(tickets.len() as i64);
    drop(tickets);
    // The receiver is gone if the caller disconnected; the caller can resend with the same ticket.
    let _ = sender.send(result);
}

fn record_of(reply: &Reply) -> Record {
    let body = match &reply.payload {
        Payload::Complete(body) => Some(body.clone()),
        Payload::Text(text) => Some(bytes::Bytes::from_static(text.as_bytes())),
        Payload::Stream(_) => None,
    };
    Record {
        outcome: reply.outcome,
        reason: reply.reason,
        status: reply.status,
        headers: reply.headers.clone(),
        body,
    }
}

async fn answer_resend<P: DependencySet>(
    shared: &Shared<P>,
    call: &Call,
    earlier: StartResult,
) -> Reply {
    match earlier {
        StartResult::AlreadyStarted(receiver) => join_run(shared, call, receiver).await,
        StartResult::RequestMismatch => Reply::refusal(Outcome::Unknown, Reason::TicketMismatch),
        StartResult::Full => Reply::not_run(Reason::Overloaded),
        StartResult::Started => Reply::refusal(Outcome::Unknown, Reason::EarlierUnknown),
    }
}

/// Waits for a run in progress to end.
async fn join_run<P: DependencySet>(
    shared: &Shared<P>,
    call: &Call,
    mut receiver: RecordReceiver,
) -> Reply {
    let ended = receiver.wait_for(Option::is_some);
    let record = match shared.timer.until(call.deadline, ended).await {
        Ok(Ok(record)) => record.clone(),
        Ok(Err(_)) => return Reply::refusal(Outcome::Unknown, Reason::EarlierUnknown),
        Err(_) => return Reply::refusal(Outcome::Unknown, Reason::DeadlineRunning),
    };
    record.as_deref().map_or_else(
        || Reply::refusal(Outcome::Unknown, Reason::EarlierUnknown),
        replay,
    )
}

/// Builds the reply to a resend from the record of the finished run.
fn replay(record: &Record) -> Reply {
    match (record.outcome, &record.body) {
        (Outcome::Unknown, _) => Reply::refusal(Outcome::Unknown, Reason::EarlierUnknown),
        (Outcome::NotRun, _) => Reply::not_run(record.reason),
        (Outcome::Ran, None) => Reply::refusal(Outcome::Ran, Reason::AnswerGone),
        (Outcome::Ran, Some(body)) => {
            let mut reply = Reply::refusal(Outcome::Ran, Reason::Replayed);
            reply.status = record.status;
            reply.headers = record.headers.clone();
            reply.payload = Payload::Complete(body.clone());
            reply
        }
    }
}
