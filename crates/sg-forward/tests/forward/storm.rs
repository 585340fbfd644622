//! A randomised run: several entries, targets that fail in every way, callers that resend.
//!
//! Seeds are fixed and printed; set `SG_SEEDS` to a number to run that many others.

use std::{sync::atomic::Ordering, time::Duration};

use rand::{Rng, SeedableRng, rngs::StdRng};
use sg_types::prelude::*;

use crate::{
    double::{Entry, KEY_A, World, view},
    wire::{Act, Answer, Target, bearer, ok, raw, request, with_ticket},
};

const TARGETS: usize = 4;
const CALLERS: u64 = 24;
const BOOKINGS: u64 = 6;
const SENDS: usize = 4;

/// What a caller does after an answer that leaves it in doubt.
#[derive(Clone, Copy, PartialEq)]
enum Manner {
    /// Sends again with the same ticket.
    SameTicket,
    /// Takes a new ticket, as the callers' page forbids.
    NewTicket,
}

fn act(random: &mut StdRng, body: &str) -> Act {
    let cut = "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\ncut";
    let shed = "HTTP/1.1 503 Busy\r\nsg-outcome: not-run\r\ncontent-length: 0\r\n\r\n";
    match random.random_range(0..10) {
        0 => Act::Close,
        1 => Act::Reset,
        2 => Act::Last(cut.into()),
        3 => Act::Answer(shed.into()),
        4 => {
            let Act::Answer(text) = ok(body) else {
                return Act::Close;
            };
            Act::Late(Duration::from_millis(random.random_range(1..40)), text)
        }
        _ => ok(body),
    }
}

/// Whether a target took the request for run, by what it did.
fn ran(act: &Act) -> bool {
    !matches!(act, Act::Answer(text) if text.contains("sg-outcome: not-run"))
}

type Runs = Arc<parking_lot::Mutex<IndexMap<String, usize>>>;

async fn targets(seed: u64, runs: &Runs) -> Vec<Target> {
    let mut targets = Vec::new();
    for number in 0..TARGETS as u64 {
        let random = parking_lot::Mutex::new(StdRng::seed_from_u64(seed * 100 + number));
        let runs = runs.clone();
        let target = Target::start(move |text, _| {
            let body = text.split_once("\r\n\r\n").map_or("", |(_, body)| body);
            let act = act(&mut random.lock(), body);
            if ran(&act) {
                *runs.lock().entry(body.to_owned()).or_insert(0) += 1;
            }
            act
        });
        targets.push(target.await);
    }
    targets
}

/// What one caller got for each booking.
async fn caller(
    number: u64,
    seed: u64,
    manner: Manner,
    entries: Arc<Vec<std::net::SocketAddr>>,
) -> Vec<(String, Answer)> {
    let mut random = StdRng::seed_from_u64(seed * 1_000 + number);
    let mut got = Vec::new();
    for booking in 0..BOOKINGS {
        let body = format!("caller {number} booking {booking}");
        let mut ticket = None;
        for _ in 0..SENDS {
            let entry = entries[random.random_range(0..entries.len())];
            let mut headers = vec![bearer(KEY_A)];
            headers.extend(ticket.as_deref().map(with_ticket));
            let answer = raw(entry, request("POST", "/book", &headers, &body)).await;
            if let Some(fresh) = answer.header("sg-ticket") {
                ticket = Some(fresh);
                continue;
            }
            if answer.said().0 == "unknown" && manner == Manner::NewTicket {
                ticket = None;
            }
            let done = answer.said().0 == "ran";
            got.push((body.clone(), answer));
            if done {
                break;
            }
        }
    }
    got
}

/// The faults found in a run.
async fn storm(seed: u64, manner: Manner) -> Vec<String> {
    let runs = Runs::default();
    let targets = targets(seed, &runs).await;
    let addresses: Vec<_> = targets.iter().map(|target| target.address).collect();
    let world = World::new(&addresses);
    world.0.spread.store(true, Ordering::SeqCst);
    world.set(view(2, &[("/services/desk/quarantine", "1ms")]));
    let mut entries = Vec::new();
    for number in 1..=3 {
        entries.push(Entry::start(&format!("e{number}"), number, &world).await);
    }
    let listening = Arc::new(
        entries
            .iter()
            .map(|entry| entry.address)
            .collect::<Vec<_>>(),
    );
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| tokio::spawn(caller(number, seed, manner, listening.clone())))
        .collect();
    // One entry is lost to the others while the callers are at work.
    while world.0.starts.lock().len() < 40 {
        tokio::task::yield_now().await;
    }
    entries[0].vanish(&world);
    let mut got = Vec::new();
    for caller in callers {
        got.extend(caller.await.expect("ends"));
    }
    faults(&got, &runs.lock())
}

fn faults(got: &[(String, Answer)], runs: &IndexMap<String, usize>) -> Vec<String> {
    let mut faults = Vec::new();
    for (body, count) in runs {
        if *count > 1 {
            faults.push(format!("'{body}' ran {count} times"));
        }
    }
    for (body, answer) in got {
        let (outcome, reason) = answer.said();
        let count = runs.get(body).copied().unwrap_or(0);
        if outcome == "ran" && (count == 0 || answer.body != *body) {
            faults.push(format!(
                "'{body}' ran {count} times and got '{}'",
                answer.body
            ));
        }
        if outcome.is_empty() {
            faults.push(format!("'{body}' has no outcome: {reason}"));
        }
    }
    let last: IndexMap<&str, &Answer> =
        got.iter().map(|(body, one)| (body.as_str(), one)).collect();
    for (body, answer) in last {
        if answer.said().0 == "not-run" && runs.contains_key(body) {
            faults.push(format!("'{body}' ran and was last called not run"));
        }
    }
    faults
}

#[tokio::test]
async fn bookings_run_at_most_once_and_answers_are_true() {
    let more = std::env::var("SG_SEEDS")
        .ok()
        .and_then(|text| text.parse().ok());
    for seed in 1..=more.unwrap_or(3) {
        println!("seed {seed}");
        let faults = storm(seed, Manner::SameTicket).await;
        assert!(faults.is_empty(), "seed {seed}: {faults:#?}");
    }
}

#[tokio::test]
async fn the_checks_catch_callers_that_take_new_tickets_in_doubt() {
    let faults = storm(1, Manner::NewTicket).await;
    assert!(
        faults.iter().any(|fault| fault.contains("times")),
        "{faults:?}"
    );
}
