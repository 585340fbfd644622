//! Asks the targets what they saw.

use futures_util::future::join_all;
use reqwest::Client;
use sg_clock::Timer;
use sg_fake::target::Records;
use sg_tree::{View, view::Target};
use sg_types::prelude::*;

use crate::history::Seen;

/// How long a target that does not answer is asked again.
const PATIENCE: Span = Span::from_secs(12);

/// How long to wait between two questions.
const PAUSE: Span = Span::from_millis(100);

/// How long one answer may take.
const TIMEOUT: Span = Span::from_secs(5);

/// What all targets saw, and which of them did not tell.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    /// What they saw.
    pub seen: Vec<Seen>,
    /// Who did not tell.
    pub missing: Vec<id::Target>,
}

/// Asks every target of `view`.
pub async fn collect(timer: &Timer, client: &Client, view: &View) -> Outcome {
    let services = view.services.values();
    let targets = services.flat_map(|s| s.targets.iter().map(move |(name, t)| (s, name, t)));
    let asked = targets.map(|(service, name, target)| async move {
        let records = ask(timer, client, target).await;
        (service.name.clone(), name.clone(), records)
    });
    let mut outcome = Outcome::default();
    for (service, name, records) in join_all(asked).await {
        match records {
            Some(records) => outcome.seen.push(Seen {
                name,
                service,
                records,
            }),
            None => outcome.missing.push(name),
        }
    }
    outcome
}

async fn ask(timer: &Timer, client: &Client, target: &Target) -> Option<Records> {
    let deadline = timer.now() + PATIENCE;
    let url = format!("http://{}/_records", target.address);
    while timer.now() < deadline {
        let before = timer.now();
        let request = client.get(&url).timeout(TIMEOUT.into());
        if let Ok(response) = request.send().await {
            let after = timer.now();
            if let Ok(records) = response.json::<Records>().await {
                let middle = (before.as_nanos() + after.as_nanos()) / 2;
                return Some(align(records, middle / 1_000));
            }
        }
        timer.sleep(PAUSE).await;
    }
    None
}

/// Moves the times of `records` to the clock on which they were read at `now_us`.
fn align(mut records: Records, now_us: u64) -> Records {
    let offset = now_us as i64 - records.now_us as i64;
    let moved = |time: u64| time.saturating_add_signed(offset);
    for run in &mut records.runs {
        run.start_us = moved(run.start_us);
        run.end_us = match run.end {
            sg_fake::target::End::Running => now_us,
            _ => moved(run.end_us),
        };
    }
    records.leaving_us = records.leaving_us.map(moved);
    for offer in &mut records.leaving_offers_us {
        *offer = moved(*offer);
    }
    records.now_us = now_us;
    records
}
