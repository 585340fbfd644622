//! Fetches the records of the targets and converts their times to the clock of this program.

use futures_util::future::join_all;
use reqwest::Client;
use serde::de::DeserializeOwned;
use sg_clock::Timer;
use sg_fake::target::{Clock, End, Records};
use sg_tree::{View, view::Target};
use sg_types::prelude::*;

use crate::history::Observation;

/// Time after which fetching the records of a target is given up.
const RECORDS_TIMEOUT: Span = Span::from_secs(12);

/// Delay between two attempts.
const RETRY_DELAY: Span = Span::from_millis(100);

/// Timeout of one request.
const REQUEST_TIMEOUT: Span = Span::from_secs(5);

/// Clock requests per target; the sample with the shortest round trip is used.
const CLOCK_SAMPLES: usize = 5;

/// A sample of a target's clock.
#[derive(Clone, Copy)]
struct Sample {
    round_trip_us: u64,
    offset_us: i64,
}

/// The records of all targets, and the targets without records.
#[derive(Debug, Clone, Default)]
pub struct Collected {
    /// The records by target.
    pub observations: Vec<Observation>,
    /// The targets whose records could not be fetched.
    pub missing: Vec<id::Target>,
}

/// Fetches the records of every target of `view`.
pub async fn collect(timer: &Timer, client: &Client, view: &View) -> Collected {
    let services = view.services.values();
    let targets = services.flat_map(|s| s.targets.iter().map(move |(name, t)| (s, name, t)));
    let fetches = targets.map(|(service, name, target)| async move {
        let records = fetch_records(timer, client, target).await;
        (service.name.clone(), name.clone(), records)
    });
    let mut collected = Collected::default();
    for (service, name, records) in join_all(fetches).await {
        match records {
            Some(records) => collected.observations.push(Observation {
                name,
                service,
                records,
            }),
            None => collected.missing.push(name),
        }
    }
    collected
}

async fn fetch_records(timer: &Timer, client: &Client, target: &Target) -> Option<Records> {
    let deadline = timer.now() + RECORDS_TIMEOUT;
    while timer.now() < deadline {
        if let Some(offset) = offset_us(timer, client, target).await
            && let Some(records) = get_json::<Records>(client, target, "_records").await
        {
            return Some(align(records, offset, micros(timer.now())));
        }
        timer.sleep(RETRY_DELAY).await;
    }
    None
}

/// Returns how far this program's clock is ahead of the target's, by the sample with the shortest
/// round trip.
async fn offset_us(timer: &Timer, client: &Client, target: &Target) -> Option<i64> {
    let mut best: Option<Sample> = None;
    for _ in 0..CLOCK_SAMPLES {
        let before = micros(timer.now());
        let clock = get_json::<Clock>(client, target, "_clock").await?;
        let after = micros(timer.now());
        let sample = Sample {
            round_trip_us: after - before,
            offset_us: ((before + after) / 2) as i64 - clock.now_us as i64,
        };
        if best.is_none_or(|best| sample.round_trip_us < best.round_trip_us) {
            best = Some(sample);
        }
    }
    best.map(|best| best.offset_us)
}

async fn get_json<T: DeserializeOwned>(client: &Client, target: &Target, what: &str) -> Option<T> {
    let url = format!("http://{}/{what}", target.address);
    let request = client.get(url).timeout(REQUEST_TIMEOUT.into());
    request.send().await.ok()?.json().await.ok()
}

fn micros(instant: Instant) -> u64 {
    instant.as_nanos() / 1_000
}

/// Converts the times of `records` to the clock that is `offset` ahead and shows `now_us`.
fn align(mut records: Records, offset: i64, now_us: u64) -> Records {
    let shifted = |time: u64| time.saturating_add_signed(offset);
    for run in &mut records.runs {
        run.start_us = shifted(run.start_us);
        run.end_us = match run.end {
            End::Running => now_us,
            End::Answered | End::Dropped => shifted(run.end_us),
        };
    }
    records.leaving_us = records.leaving_us.map(shifted);
    for offer in &mut records.leaving_offers_us {
        *offer = shifted(*offer);
    }
    records
}
