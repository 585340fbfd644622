//! Tests of load files and call schedules.

use serde_json::json;
use sg_load::{
    plan::{Error, Plan},
    schedule::schedule,
};
use sg_types::prelude::*;

fn plan(seed: u64, faults: &serde_json::Value) -> Plan {
    serde_json::from_value(json!({
        "seed": seed, "duration": "20s", "tree": "", "store": "127.0.0.1:1",
        "list": "127.0.0.1:2", "entries": [],
        "mix": [{ "route": "list", "weight": 3, "size": 0 }, { "route": "book", "weight": 1, "size": 0 }],
        "accounts": [{ "account": "a", "key": "k", "secret": "s", "rate": "100/s" }],
        "faults": faults
    }))
    .expect("a plan")
}

#[test]
fn same_seed_gives_the_same_schedule() {
    let calls = |seed| schedule(&plan(seed, &json!([])));
    assert_eq!(calls(7), calls(7));
    assert_ne!(calls(7), calls(8));
    // For a Poisson process with a mean of 2,000 calls, all but one in 10^9 counts lie within 6 standard
    // deviations.
    let count = calls(7).len() as f64;
    assert!(
        (count - 2_000.0).abs() < 6.0 * 2_000.0_f64.sqrt(),
        "{count}"
    );
}

#[test]
fn rate_factor_applies_from_its_time_on() {
    let faults = json!([{ "at": "10s", "do": { "rate": { "account": "a", "factor": 10 } } }]);
    let calls = schedule(&plan(7, &faults));
    let half = Span::from_secs(10);
    let early = calls.iter().filter(|call| call.at < half).count() as f64;
    let late = calls.len() as f64 - early;
    assert!((late - 10_000.0).abs() < 600.0, "{late}");
    assert!((early - 1_000.0).abs() < 190.0, "{early}");
}

#[test]
fn poison_calls_match_count_and_interval() {
    let poison = json!({ "account": "a", "route": "list", "count": 3, "every": "1s" });
    let faults = json!([{ "at": "5s", "do": { "poison": poison } }]);
    let calls = schedule(&plan(7, &faults));
    let times: Vec<_> = calls
        .iter()
        .filter(|c| c.poison)
        .map(|c| c.at.as_millis())
        .collect();
    assert_eq!(times, [5_000, 6_000, 7_000]);
}

#[test]
fn unreadable_file_is_reported_with_its_name_and_a_remedy() {
    let error = Plan::read("no/such/file.json").expect_err("there is none");
    assert!(matches!(error, Error::File { .. }));
    assert!(error.to_string().contains("no/such/file.json"));
    assert!(error.to_string().contains("check the path"));
}

quickcheck::quickcheck! {
    fn schedule_is_ordered_and_within_the_duration_for_every_seed(seed: u64) -> bool {
        let calls = schedule(&plan(seed, &json!([])));
        calls.is_sorted_by_key(|call| call.at)
            && calls.iter().all(|call| call.at < Span::from_secs(20))
    }
}
