//! Asks the targets what they saw.

use futures_util::future::join_all;
use reqwest::Client;
use serde::de::DeserializeOwned;
use sg_clock::Timer;
use sg_fake::target::{Clock, End, Records};
use sg_tree::{View, view::Target};
use sg_types::prelude::*;

use crate::history::Seen;

/// How long a target that does not answer is asked again.
const PATIENCE: Span = Span::from_secs(12);

/// How long to wait between two questions.
const PAUSE: Span = Span::from_millis(100);

/// How long one answer may take.
const TIMEOUT: Span = Span::from_secs(5);

/// How often a target is asked for its clock; the quickest answer counts.
const CLOCK_SAMPLES: usize = 5;

/// One look at a target's clock.
#[derive(Clone, Copy)]
struct Sample {
    took_us: u64,
    offset_us: i64,
}

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
    while timer.now() < deadline {
        if let Some(offset) = offset_us(timer, client, target).await
            && let Some(records) = get::<Records>(client, target, "_records").await
        {
            return Some(align(records, offset, micros(timer.now())));
        }
        timer.sleep(PAUSE).await;
    }
    None
}

/// How far this program's clock is ahead of the target's, by the quickest of several questions.
async fn offset_us(timer: &Timer, client: &Client, target: &Target) -> Option<i64> {
    let mut best: Option<Sample> = None;
    for _ in 0..CLOCK_SAMPLES {
        let before = micros(timer.now());
        let clock = get::<Clock>(client, target, "_clock").await?;
        let after = micros(timer.now());
        let sample = Sample {
            took_us: after - before,
            offset_us: ((before + after) / 2) as i64 - clock.now_us as i64,
        };
        if best.is_none_or(|best| sample.took_us < best.took_us) {
            best = Some(sample);
        }
    }
    best.map(|best| best.offset_us)
}

async fn get<T: DeserializeOwned>(client: &Client, target: &Target, what: &str) -> Option<T> {
    let url = format!("http://{}/{what}", target.address);
    let request = client.get(url).timeout(TIMEOUT.into());
    request.send().await.ok()?.json().await.ok()
}

fn micros(instant: Instant) -> u64 {
    instant.as_nanos() / 1_000
}

/// Moves the times of `records` to the clock that is `offset` ahead; it is `now_us` there.
fn align(mut records: Records, offset: i64, now_us: u64) -> Records {
    let moved = |time: u64| time.saturating_add_signed(offset);
    for run in &mut records.runs {
        run.start_us = moved(run.start_us);
        run.end_us = match run.end {
            End::Running => now_us,
            End::Answered | End::Dropped => moved(run.end_us),
        };
    }
    records.leaving_us = records.leaving_us.map(moved);
    for offer in &mut records.leaving_offers_us {
        *offer = moved(*offer);
    }
    records
}
