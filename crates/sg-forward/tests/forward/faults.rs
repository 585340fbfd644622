//! Tests at-most-once execution with random faults: several entries, targets with every kind of
//! failure, and callers that resend.
//!
//! Seeds are fixed and printed; `SG_SEEDS` sets their number.

use std::{sync::atomic::Ordering, time::Duration};

use rand::{Rng, SeedableRng, rngs::StdRng};
use sg_types::prelude::*;

use crate::{
    env::{Entry, KEY_A, TestEnv, view},
    wire::{Behavior, Response, Target, bearer, exchange, ok, request, ticket_header},
};

const TARGETS: usize = 4;
const CALLERS: u64 = 24;
const BOOKINGS: u64 = 6;
const SENDS: usize = 4;

/// The reaction of a caller to a response with an unknown outcome.
#[derive(Clone, Copy, PartialEq)]
enum ResendPolicy {
    /// Resends with the same ticket.
    SameTicket,
    /// Takes a new ticket, which the callers' page forbids.
    NewTicket,
}

fn random_behavior(random: &mut StdRng, body: &str) -> Behavior {
    let truncated = "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\ncut";
    let shed = "HTTP/1.1 503 Busy\r\nsg-outcome: not-run\r\ncontent-length: 0\r\n\r\n";
    match random.random_range(0..10) {
        0 => Behavior::Close,
        1 => Behavior::Reset,
        2 => Behavior::RespondAndClose(truncated.into()),
        3 => Behavior::Respond(shed.into()),
        4 => {
            let Behavior::Respond(text) = ok(body) else {
                return Behavior::Close;
            };
            Behavior::RespondAfter(Duration::from_millis(random.random_range(1..40)), text)
        }
        _ => ok(body),
    }
}

/// Returns whether a target counts the request as run, from its reaction.
fn counts_as_run(behavior: &Behavior) -> bool {
    !matches!(behavior, Behavior::Respond(text) if text.contains("sg-outcome: not-run"))
}

type Runs = Arc<parking_lot::Mutex<IndexMap<String, usize>>>;

async fn targets(seed: u64, runs: &Runs) -> Vec<Target> {
    let mut targets = Vec::new();
    for number in 0..TARGETS as u64 {
        let random = parking_lot::Mutex::new(StdRng::seed_from_u64(seed * 100 + number));
        let runs = runs.clone();
        let target = Target::start(move |text, _| {
            let body = text.split_once("\r\n\r\n").map_or("", |(_, body)| body);
            let behavior = random_behavior(&mut random.lock(), body);
            if counts_as_run(&behavior) {
                *runs.lock().entry(body.to_owned()).or_insert(0) += 1;
            }
            behavior
        });
        targets.push(target.await);
    }
    targets
}

/// Returns the responses that one caller got for its bookings.
async fn caller(
    number: u64,
    seed: u64,
    policy: ResendPolicy,
    entries: Arc<Vec<std::net::SocketAddr>>,
) -> Vec<(String, Response)> {
    let mut random = StdRng::seed_from_u64(seed * 1_000 + number);
    let mut responses = Vec::new();
    for booking in 0..BOOKINGS {
        let body = format!("caller {number} booking {booking}");
        let mut ticket = None;
        for _ in 0..SENDS {
            let entry = entries[random.random_range(0..entries.len())];
            let mut headers = vec![bearer(KEY_A)];
            headers.extend(ticket.as_deref().map(ticket_header));
            let response = exchange(entry, request("POST", "/book", &headers, &body)).await;
            if let Some(fresh) = response.header("sg-ticket") {
                ticket = Some(fresh);
                continue;
            }
            if response.outcome_and_reason().0 == "unknown" && policy == ResendPolicy::NewTicket {
                ticket = None;
            }
            let done = response.outcome_and_reason().0 == "ran";
            responses.push((body.clone(), response));
            if done {
                break;
            }
        }
    }
    responses
}

/// Returns the violations found in one run.
async fn run_with_faults(seed: u64, policy: ResendPolicy) -> Vec<String> {
    let runs = Runs::default();
    let targets = targets(seed, &runs).await;
    let addresses: Vec<_> = targets.iter().map(|target| target.address).collect();
    let env = TestEnv::new(&addresses);
    env.0.rotate_targets.store(true, Ordering::SeqCst);
    env.set_view(view(2, &[("/services/desk/quarantine", "1ms")]));
    let mut entries = Vec::new();
    for number in 1..=3 {
        entries.push(Entry::start(&format!("e{number}"), number, &env).await);
    }
    let entry_addresses = Arc::new(
        entries
            .iter()
            .map(|entry| entry.address)
            .collect::<Vec<_>>(),
    );
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| tokio::spawn(caller(number, seed, policy, entry_addresses.clone())))
        .collect();
    // One entry disappears from the directory while the callers send.
    while env.0.starts.lock().len() < 40 {
        tokio::task::yield_now().await;
    }
    entries[0].remove_from_directory(&env);
    let mut responses = Vec::new();
    for caller in callers {
        responses.extend(caller.await.expect("ends"));
    }
    violations(&responses, &runs.lock())
}

fn violations(responses: &[(String, Response)], runs: &IndexMap<String, usize>) -> Vec<String> {
    let mut violations = Vec::new();
    for (body, count) in runs {
        if *count > 1 {
            violations.push(format!("'{body}' ran {count} times"));
        }
    }
    for (body, response) in responses {
        let (outcome, reason) = response.outcome_and_reason();
        let count = runs.get(body).copied().unwrap_or(0);
        if outcome == "ran" && (count == 0 || response.body != *body) {
            violations.push(format!(
                "'{body}' ran {count} times and got '{}'",
                response.body
            ));
        }
        if outcome.is_empty() {
            violations.push(format!("'{body}' has no outcome: {reason}"));
        }
    }
    let last: IndexMap<&str, &Response> = responses
        .iter()
        .map(|(body, response)| (body.as_str(), response))
        .collect();
    for (body, response) in last {
        if response.outcome_and_reason().0 == "not-run" && runs.contains_key(body) {
            violations.push(format!("'{body}' ran and was last called not run"));
        }
    }
    violations
}

#[tokio::test]
async fn bookings_run_at_most_once_and_responses_are_correct() {
    let seed_count = std::env::var("SG_SEEDS")
        .ok()
        .and_then(|text| text.parse().ok());
    for seed in 1..=seed_count.unwrap_or(3) {
        println!("seed {seed}");
        let violations = run_with_faults(seed, ResendPolicy::SameTicket).await;
        assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
    }
}

#[tokio::test]
async fn the_checks_detect_callers_that_take_new_tickets_after_unknown_outcomes() {
    let violations = run_with_faults(1, ResendPolicy::NewTicket).await;
    assert!(
        violations
            .iter()
            .any(|violation| violation.contains("times")),
        "{violations:?}"
    );
}
