//! Tests of whole fleets over loopback: seven entries, simulated platform services and targets.

use sg_fake::target::Control;
use sg_types::prelude::*;
use tokio::task::JoinSet;

use crate::fleet::{ENTRIES, Fleet};

/// A repeated ticket must not run twice, whichever entry receives it, and the crash of one entry
/// must not affect callers of the others.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn requests_cross_every_entry_and_a_crash_leaves_callers_served() {
    let mut fleet = Fleet::start(1).await;
    for index in 0..ENTRIES {
        let open = fleet.get(index, "/list", None).await.expect("a response");
        assert_eq!((open.status, open.outcome.as_str()), (200, "ran"));
        let keyless = fleet.get(index, "/mine", None).await.expect("a response");
        assert_eq!(keyless.reason, "key-missing");
        let first = fleet
            .post(index, "ann-key", None)
            .await
            .expect("a response");
        assert_eq!((first.status, first.outcome.as_str()), (428, "not-run"));
        let ticket = first.ticket.expect("a ticket");
        let ran = fleet
            .post(index, "ann-key", Some(&ticket))
            .await
            .expect("a response");
        assert_eq!((ran.status, ran.outcome.as_str()), (200, "ran"));
        assert!(ran.body.contains("\"account\":\"ann\""), "{}", ran.body);
        let other = (index + 1) % ENTRIES;
        let again = fleet
            .post(other, "ann-key", Some(&ticket))
            .await
            .expect("a response");
        assert_eq!(again.reason, "replayed");
        assert_eq!(again.body, ran.body);
    }
    assert_eq!(
        fleet.runs_of("/book"),
        ENTRIES,
        "a booking ran twice or not at all"
    );
    fleet.entries[0].crash();
    let is_unresponsive = || async { fleet.get(0, "/list", None).await.is_none() };
    fleet
        .wait_until("the crashed entry does not respond", is_unresponsive)
        .await;
    for index in 1..ENTRIES {
        let response = fleet
            .get(index, "/mine", Some("bob-key"))
            .await
            .expect("a response");
        let report = fleet.report(index).await;
        assert_eq!(response.status, 200, "{}: {report}", response.reason);
    }
}

/// An entry that does not apply the new revision would still accept a withdrawn key.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_withdrawn_key_stops_working_everywhere() {
    let mut fleet = Fleet::start(2).await;
    let mut tree = fleet.tree();
    tree.set(
        &"/accounts/ann/keys/k1/withdrawn".parse().expect("a path"),
        "yes",
    );
    fleet.publish(&tree).await;
    for index in 0..ENTRIES {
        let is_refused = || async {
            let response = fleet.get(index, "/mine", Some("ann-key")).await;
            response.is_some_and(|response| response.reason == "key-refused")
        };
        fleet.wait_until("the key is refused", is_refused).await;
        let other = fleet
            .get(index, "/mine", Some("bob-key"))
            .await
            .expect("a response");
        assert_eq!(other.status, 200, "{}", other.reason);
    }
}

/// Requests that are forwarded with all their headers would show the keys of accounts to targets.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_stop_is_graceful_and_no_target_saw_a_key() {
    let mut fleet = Fleet::start(3).await;
    let entry = &mut fleet.entries[3];
    entry.stop().await.expect("a clean end");
    assert!(
        fleet.get(3, "/list", None).await.is_none(),
        "the stopped entry still responds"
    );
    for target in &fleet.targets {
        for run in target.records().runs {
            let leaked = run
                .headers
                .iter()
                .any(|header| header.value.contains("ann-key"));
            assert!(!leaked, "{run:?}");
        }
    }
}

/// Keyed routes would be refused if entries could not confirm each other by a majority once the
/// confirmations by the store have expired.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_outage_of_the_store_leaves_keyed_routes_served() {
    let fleet = Fleet::start(4).await;
    // A started process confirms no other process before the validity has passed.
    fleet.timer.sleep(sg_types::time::Span::from_secs(7)).await;
    fleet.store.control(sg_fake::store::Control {
        outage: Some(sg_fake::store::Outage::Hang),
        ..sg_fake::store::Control::default()
    });
    // Twice the validity, so that no earlier confirmation by the store is still valid.
    fleet.timer.sleep(sg_types::time::Span::from_secs(11)).await;
    for index in 0..ENTRIES {
        let response = fleet
            .get(index, "/mine", Some("ann-key"))
            .await
            .expect("a response");
        let report = fleet.report(index).await;
        assert_eq!(response.status, 200, "{}: {report}", response.reason);
    }
}

/// A stopping entry that is still named, or that stops before cached responses expire, would fail
/// the callers that use it.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn lookups_name_near_entries_and_omit_a_stopping_one() {
    let mut fleet = Fleet::start(5).await;
    let first = fleet.lookup(0, "10.1.2.3").await.expect("a response");
    assert_eq!(first.domain.as_ref().map(AsRef::as_ref), Some("n1"));
    let near = first.entries[0].instance.clone();
    let near = fleet
        .entries
        .iter()
        .position(|entry| entry.settings.instance == near)
        .expect("an entry of the fleet");
    assert_eq!(fleet.entries[near].settings.domain.as_str(), "n1");
    let other = (near + 1) % ENTRIES;
    let name = fleet.entries[near].settings.instance.clone();
    let mut stopping = fleet.entries.remove(near);
    let stop = tokio::spawn(async move { stopping.stop().await.map(|()| stopping) });
    let asked = other - usize::from(other > near);
    let is_omitted = || async {
        let lookup = fleet.lookup(asked, "10.1.2.3").await;
        lookup.is_some_and(|lookup| lookup.entries.iter().all(|entry| entry.instance != name))
    };
    fleet
        .wait_until("lookups omit the stopping entry", is_omitted)
        .await;
    // The entry still serves callers that cached an earlier response.
    assert!(
        !stop.is_finished(),
        "the entry stopped before cached responses expired"
    );
    stop.await.expect("the task ran").expect("a clean end");
}

/// Returns the weights of entries 0 and 4 in a lookup on entry `asked`. Both entries are in the
/// same failure domain.
async fn lookup_weights(fleet: &Fleet, asked: usize) -> Option<(Percent, Percent)> {
    let lookup = fleet.lookup(asked, "10.1.2.3").await?;
    let weight = |index: usize| {
        let name = &fleet.entries[index].settings.instance;
        let mut entries = lookup.entries.iter();
        let found = entries.find(|entry| entry.instance == *name)?;
        Some(found.weight)
    };
    Some((weight(0)?, weight(4)?))
}

/// Without the headroom of other entries, lookups would keep sending callers to a loaded entry.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn lookups_reduce_the_weight_of_a_loaded_entry() {
    let mut fleet = Fleet::start(6).await;
    let mut tree = fleet.tree();
    tree.set(&"/fleet/concurrency".parse().expect("a path"), "10");
    fleet.publish(&tree).await;
    let slow = Control {
        service_time: Some(Span::from_millis(300)),
        ..Control::default()
    };
    for target in &fleet.targets {
        target.control(&slow);
    }
    let mut callers = JoinSet::new();
    for _ in 0..6 {
        let url = format!("http://{}/list", fleet.entries[0].settings.serve);
        let http = fleet.http.clone();
        callers.spawn(async move {
            loop {
                let _ = http.get(&url).send().await;
            }
        });
    }
    for asked in [1, 4] {
        let has_less_weight = || async {
            let weights = lookup_weights(&fleet, asked).await;
            weights.is_some_and(|(loaded, other)| loaded.as_f64() < 0.8 * other.as_f64())
        };
        fleet
            .wait_until(
                "lookups reduce the weight of the loaded entry",
                has_less_weight,
            )
            .await;
    }
    callers.shutdown().await;
    let has_equal_weight = || async {
        let weights = lookup_weights(&fleet, 1).await;
        weights.is_some_and(|(one, other)| one.as_f64() > 0.95 * other.as_f64())
    };
    fleet
        .wait_until(
            "lookups restore the weight after the load",
            has_equal_weight,
        )
        .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_outage_right_after_the_start_leaves_keyed_routes_served() {
    let fleet = Fleet::start(8).await;
    fleet.store.control(sg_fake::store::Control {
        outage: Some(sg_fake::store::Outage::Hang),
        ..sg_fake::store::Control::default()
    });
    for step in 0..40 {
        fleet
            .timer
            .sleep(sg_types::time::Span::from_millis(250))
            .await;
        for index in 0..ENTRIES {
            let reply = fleet.get(index, "/mine", Some("ann-key")).await;
            let reply = reply.expect("an answer");
            assert_eq!(reply.status, 200, "step {step}, {index}: {}", reply.reason);
        }
    }
}
