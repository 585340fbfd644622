//! Targets that say that they are leaving, or ask this instance to come back later.

use std::time::Duration;

use sg_clock::Timer;
use sg_place::departure::Run;
use sg_proxy::connections::{ConnectionPool, Counters, Options, ReusePolicy, SendError, Timeouts};
use sg_types::prelude::*;
use tokio::time::sleep;

use crate::harness::{Instance, OK, ScriptedTarget, Step, get, header, post, status, target};

const LEAVING: &str = "HTTP/1.1 200 OK\r\nid: {id}\r\nleaving: 1\r\ncontent-length: 4\r\n\r\nfine";
const COME_BACK: &str =
    "HTTP/1.1 503 No\r\nid: {id}\r\nnot-run: 1\r\ncome-back: 500\r\ncontent-length: 0\r\n\r\n";
const COME_BACK_SOMETIME: &str =
    "HTTP/1.1 503 No\r\nid: {id}\r\nnot-run: 1\r\ncome-back: soon\r\ncontent-length: 0\r\n\r\n";

fn leaving_run(instance: &Instance) -> Vec<Run> {
    instance.core.take_departures()
}

async fn send_many(instance: &Instance, count: usize, prefix: &str) -> Vec<u16> {
    let mut statuses = Vec::new();
    for index in 0..count {
        let response = instance
            .send(&get("/safe/x", &format!("{prefix}{index}")))
            .await;
        statuses.push(status(&response));
    }
    statuses
}

#[tokio::test]
async fn leaving_target_gets_nothing_after_its_first_response_that_says_so() {
    let leaving = ScriptedTarget::start(vec![Step::Respond(LEAVING), Step::Respond(OK)]).await;
    let instance = Instance::start(&[&leaving]).await;
    let response = instance.send(&get("/safe/x", "first")).await;
    assert!(response.ends_with("fine"), "{response}");
    let response = instance.send(&post("/once/x", "second", "body")).await;
    assert_eq!((status(&response), leaving.count()), (503, 1));
    assert_eq!(header(&response, "reason").as_deref(), Some("no-target"));
}

#[tokio::test]
async fn other_targets_take_over_from_a_leaving_one() {
    let leaving = ScriptedTarget::start(vec![Step::Respond(LEAVING)]).await;
    let staying = ScriptedTarget::start(vec![Step::Respond(OK)]).await;
    let instance = Instance::start(&[&leaving, &staying]).await;
    let statuses = send_many(&instance, 20, "a").await;
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
    assert!(leaving.count() <= 1, "{}", leaving.count());
}

#[tokio::test]
async fn retry_does_not_go_to_a_target_that_is_leaving() {
    let leaving = ScriptedTarget::start(vec![Step::Respond(LEAVING)]).await;
    let instance = Instance::start(&[&leaving]).await;
    instance.send(&get("/safe/x", "first")).await;
    let failing = ScriptedTarget::start(vec![Step::RespondAndReset("")]).await;
    instance.core.upsert_target(target("t1", failing.address));
    let response = instance.send(&get("/safe/x", "second")).await;
    assert_ne!(status(&response), 200);
    assert_eq!((leaving.count(), failing.count()), (1, 1));
}

/// Responses overtake each other, so a later one without the header changes nothing.
#[tokio::test]
async fn response_without_the_header_does_not_end_a_departure() {
    let steps = vec![Step::RespondAfter(300, OK), Step::Respond(LEAVING)];
    let leaving = ScriptedTarget::start(steps).await;
    let instance = Instance::start(&[&leaving]).await;
    let slow = get("/safe/x", "slow");
    let slow = instance.send(&slow);
    let leaves = async {
        sleep(Duration::from_millis(100)).await;
        instance.send(&get("/safe/x", "leaves")).await
    };
    let (slow, leaves) = tokio::join!(slow, leaves);
    assert_eq!((status(&slow), status(&leaves)), (200, 200));
    assert_eq!(send_many(&instance, 3, "a").await, [503, 503, 503]);
    assert_eq!(leaving.count(), 2);
}

#[tokio::test]
async fn departure_outlasts_the_removal_of_the_entry_and_an_old_entry() {
    let leaving = ScriptedTarget::start(vec![Step::Respond(LEAVING), Step::Respond(OK)]).await;
    let instance = Instance::start(&[&leaving]).await;
    instance.send(&get("/safe/x", "first")).await;
    instance.core.remove_target(&"t0".parse().expect("a name"));
    let mut entry = target("t0", leaving.address);
    entry.sequence = 9;
    instance.core.upsert_target(entry);
    assert_eq!(send_many(&instance, 2, "a").await, [503, 503]);
    assert_eq!(leaving.count(), 1);
}

#[tokio::test]
async fn next_run_of_a_target_that_left_takes_requests() {
    let leaving = ScriptedTarget::start(vec![Step::Respond(LEAVING), Step::Respond(OK)]).await;
    let instance = Instance::start(&[&leaving]).await;
    instance.send(&get("/safe/x", "first")).await;
    let mut next = target("t0", leaving.address);
    next.started_at_millis = 2;
    instance.core.upsert_target(next);
    assert_eq!(send_many(&instance, 2, "a").await, [200, 200]);
}

#[tokio::test]
async fn departure_is_announced_and_adopted_by_other_instances() {
    let leaving = ScriptedTarget::start(vec![Step::Respond(LEAVING)]).await;
    let teller = Instance::start(&[&leaving]).await;
    let hearer = Instance::start(&[&leaving]).await;
    teller.send(&get("/safe/x", "first")).await;
    let announced = leaving_run(&teller);
    assert_eq!(announced.len(), 1);
    assert_eq!(leaving_run(&teller), announced, "the repetition");
    assert!(leaving_run(&teller).is_empty());
    hearer.core.adopt_departure(&announced[0]);
    assert_eq!(send_many(&hearer, 2, "a").await, [503, 503]);
    assert!(leaving_run(&hearer).is_empty(), "not announced again");
    assert_eq!(leaving.count(), 1);
}

/// An announcement may arrive after the next run of the target has started.
#[tokio::test]
async fn announcement_of_an_earlier_run_holds_nothing_back() {
    let next = ScriptedTarget::start(vec![Step::Respond(OK)]).await;
    let instance = Instance::start(&[]).await;
    let mut entry = target("t0", next.address);
    entry.started_at_millis = 2;
    instance.core.upsert_target(entry);
    instance.core.adopt_departure(&Run {
        target: "t0".parse().expect("a name"),
        started_at_millis: 1,
    });
    assert_eq!(send_many(&instance, 2, "a").await, [200, 200]);
}

#[tokio::test]
async fn leaving_target_gets_no_health_checks() {
    let leaving = ScriptedTarget::start(vec![Step::Respond(LEAVING)]).await;
    let instance = Instance::start(&[&leaving]).await;
    instance.send(&get("/safe/x", "first")).await;
    let domain: id::Domain = "west-a".parse().expect("a name");
    instance.core.set_domain_closed(domain.clone(), true);
    instance.core.set_domain_closed(domain, false);
    assert!(instance.core.targets_to_check(8).is_empty());
}

/// A request may have to wait for its connection while the target says that it leaves.
#[tokio::test]
async fn request_is_withheld_if_its_target_leaves_while_the_connection_opens() {
    let target = ScriptedTarget::start(vec![Step::Respond(OK)]).await;
    let counter = |name| prometheus::IntCounter::new(name, "Test.").expect("a counter");
    let counters = Counters {
        opened: counter("opened"),
        passed_over: counter("passed_over"),
    };
    let options = Options {
        max_idle: 8,
        source: None,
        id_header: http::HeaderName::from_static("id"),
    };
    let pool = ConnectionPool::new(Timer::new(), options, counters);
    let request = http::Request::new(sg_proxy::content::Outgoing::empty());
    let timeouts = Timeouts::with_connect(Span::from_secs(1));
    let sent = pool
        .send(target.address, request, ReusePolicy::ANY, timeouts, || {
            false
        })
        .await;
    assert!(matches!(sent, Err(SendError::Withdrawn)));
    assert_eq!(target.count(), 0);
}

#[tokio::test]
async fn target_that_asks_to_come_back_later_gets_nothing_until_then() {
    let target = ScriptedTarget::start(vec![Step::Respond(COME_BACK), Step::Respond(OK)]).await;
    let instance = Instance::start(&[&target]).await;
    assert_eq!(send_many(&instance, 4, "a").await, [503; 4]);
    assert_eq!(target.count(), 1);
    sleep(Duration::from_millis(520)).await;
    assert_eq!(send_many(&instance, 4, "b").await, [200; 4]);
}

/// The caller hears when a target is back, not what the target said.
#[tokio::test]
async fn caller_is_refused_at_once_with_the_time_at_which_a_target_is_back() {
    let target = ScriptedTarget::start(vec![Step::Respond(COME_BACK)]).await;
    let instance = Instance::start(&[&target]).await;
    instance.send(&get("/safe/x", "first")).await;
    let started = std::time::Instant::now();
    let response = instance.send(&post("/once/x", "second", "body")).await;
    assert!(started.elapsed() < Duration::from_millis(100));
    assert_eq!(status(&response), 503);
    let reason = header(&response, "reason");
    assert_eq!(reason.as_deref(), Some("targets-paused"));
    let wait = header(&response, "retry-after").expect("a time");
    let wait: u64 = wait.parse().expect("milliseconds");
    assert!((300..=625).contains(&wait), "{wait}");
}

#[tokio::test]
async fn other_targets_take_over_from_a_paused_one() {
    let paused = ScriptedTarget::start(vec![Step::Respond(COME_BACK)]).await;
    let open = ScriptedTarget::start(vec![Step::Respond(OK)]).await;
    let instance = Instance::start(&[&paused, &open]).await;
    let statuses = send_many(&instance, 20, "a").await;
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
    assert!(paused.count() <= 1, "{}", paused.count());
}

#[tokio::test]
async fn paused_target_gets_no_health_checks() {
    let target = ScriptedTarget::start(vec![Step::Respond(COME_BACK)]).await;
    let instance = Instance::start(&[&target]).await;
    instance.send(&get("/safe/x", "first")).await;
    let domain: id::Domain = "west-a".parse().expect("a name");
    instance.core.set_domain_closed(domain.clone(), true);
    instance.core.set_domain_closed(domain, false);
    assert!(instance.core.targets_to_check(8).is_empty());
    sleep(Duration::from_millis(520)).await;
    assert_eq!(instance.core.targets_to_check(8).len(), 1);
}

#[tokio::test]
async fn after_a_pause_the_first_request_goes_alone() {
    let steps = vec![
        Step::Respond(COME_BACK),
        Step::RespondAfter(300, OK),
        Step::Respond(OK),
    ];
    let target = ScriptedTarget::start(steps).await;
    let instance = Instance::start(&[&target]).await;
    instance.send(&get("/safe/x", "first")).await;
    sleep(Duration::from_millis(520)).await;
    let trial = get("/safe/x", "trial");
    let others = async {
        sleep(Duration::from_millis(100)).await;
        send_many(&instance, 3, "a").await
    };
    let (trial, others) = tokio::join!(instance.send(&trial), others);
    assert_eq!(status(&trial), 200);
    assert_eq!(others, [503; 3]);
    assert_eq!(target.count(), 2);
    assert_eq!(send_many(&instance, 3, "b").await, [200; 3]);
}

#[tokio::test]
async fn pause_of_unreadable_length_holds_for_a_while() {
    let steps = vec![Step::Respond(COME_BACK_SOMETIME), Step::Respond(OK)];
    let target = ScriptedTarget::start(steps).await;
    let instance = Instance::start(&[&target]).await;
    assert_eq!(send_many(&instance, 3, "a").await, [503; 3]);
    assert_eq!(target.count(), 1);
    sleep(Duration::from_millis(1_050)).await;
    assert_eq!(send_many(&instance, 1, "b").await, [200]);
}

#[tokio::test]
async fn pause_is_kept_while_the_entry_of_its_target_lapses() {
    let steps = vec![Step::Respond(COME_BACK), Step::Respond(OK)];
    let paused = ScriptedTarget::start(steps).await;
    let instance = Instance::start(&[&paused]).await;
    assert_eq!(send_many(&instance, 1, "first").await, [503]);
    let mut entry = target("t0", paused.address);
    assert!(instance.core.remove_target(&entry.id));
    entry.sequence = 9;
    instance.core.upsert_target(entry);
    assert_eq!(send_many(&instance, 3, "during").await, [503, 503, 503]);
    assert_eq!(paused.count(), 1);
    sleep(Duration::from_millis(600)).await;
    assert_eq!(send_many(&instance, 1, "after").await, [200]);
}
