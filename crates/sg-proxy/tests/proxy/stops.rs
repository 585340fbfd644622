//! What a stop and a lack of memory leave of requests at which a target is at work.

use std::time::Duration;

use sg_catalog::{Catalog, catalog::Limits};
use sg_proxy::{
    memory::{Hold, Stage, Use},
    server::Phase,
};
use sg_types::prelude::*;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    task::{JoinSet, yield_now},
    time::{sleep, timeout},
};

use crate::{
    harness::{
        Instance, KEY, OK, ScriptedTarget, Step, catalog_with, catalog_with_downloads, get, post,
        status, target,
    },
    pipelines::{Reader, kept_get, large_response},
};

/// Response that is forwarded while it arrives.
const LARGE_BYTES: usize = 3 << 20;

/// Uses up the memory of `instance` except for `left` bytes.
fn fill(instance: &Instance, left: u64) -> Hold {
    let memory = &instance.core.memory;
    let filling = memory.hold(Use::Request);
    filling.set_stage(Stage::Kept);
    let used = memory.usage().total().get() + left;
    filling.grow_over(Bytes::new(memory.limit().get() - used));
    filling
}

/// Asks for memory like a body that arrives fast.
async fn press(instance: &Instance) {
    let asking = instance.core.memory.hold(Use::Request);
    asking.record_progress(Bytes::new(1 << 20));
    let grown = asking.grow_when_released(Bytes::new(16 << 10));
    let _ = timeout(Duration::from_millis(200), grown).await;
}

/// A body that finds no memory must not end the connection of a caller whose requests were sent ahead.
#[tokio::test]
async fn pressure_on_memory_gives_up_no_request_that_was_sent_ahead() {
    for is_stopping in [false, true] {
        for second in [OK, large_response(LARGE_BYTES)] {
            let steps = vec![Step::RespondAfter(600, OK), Step::Respond(second)];
            let target = ScriptedTarget::start(steps).await;
            let instance = Instance::start(&[&target]).await;
            assert!(instance.core.replace_catalog(catalog_with_downloads()));
            let mut caller = Reader::new(instance.connect().await);
            for id in ["a", "b"] {
                caller.send(&kept_get("/safe/x", id)).await;
                sleep(Duration::from_millis(100)).await;
            }
            assert_eq!(target.count(), 2);
            if is_stopping {
                instance.drain_for(Span::from_secs(30));
            }
            let _filling = fill(&instance, 0);
            press(&instance).await;
            for id in ["a", "b"] {
                let response = caller.read_response().await;
                assert!(
                    response.is_some_and(|text| status(&text) == 200),
                    "{id} of {} bytes, stopping: {is_stopping}",
                    second.len()
                );
            }
        }
    }
}

/// A response that is forwarded must not take the memory of a request at which a target is at work.
#[tokio::test]
async fn large_response_gives_up_no_request_at_work() {
    for is_stopping in [false, true] {
        let working = ScriptedTarget::start(vec![Step::RespondAfter(1_200, OK)]).await;
        let instance = Instance::start(&[&working]).await;
        let limits = Limits {
            max_body: Bytes::new(1 << 20),
            ..Limits::default()
        };
        assert!(instance.core.replace_catalog(catalog_with(2, limits)));
        let body = "x".repeat(400 << 10);
        let request = post("/once/x", "a1", &body).replace("deadline: 1000", "deadline: 9000");
        let sent = instance.send(&request);
        let large = async {
            sleep(Duration::from_millis(300)).await;
            assert_eq!(working.count(), 1);
            let target = ScriptedTarget::start(vec![Step::Respond(large_response(LARGE_BYTES))]);
            let target = target.await;
            instance.core.remove_target(&"t0".parse().expect("a name"));
            instance
                .core
                .upsert_target(crate::harness::target("t1", target.address));
            if is_stopping {
                instance.drain_for(Span::from_secs(30));
            }
            sleep(Duration::from_millis(400)).await;
            // Room for as much of the response as a small hold may have.
            let _filling = fill(&instance, 88 << 10);
            instance.send(&get("/safe/x", "a2")).await.len()
        };
        let (response, length) = tokio::join!(sent, large);
        assert!(length > 100, "a response that was forwarded: {length}");
        assert_eq!(
            status(&response),
            200,
            "stopping: {is_stopping}: {response}"
        );
    }
}

/// Requests behind one another on a kept connection are answered if they were sent before the stop, and one
/// that is not passed on reaches no target.
#[tokio::test]
async fn requests_sent_ahead_are_answered_or_reach_no_target_in_a_stop() {
    for closes in [false, true] {
        for stop_after in [0, 2, 50, 150, 310] {
            let target = ScriptedTarget::start(vec![Step::RespondAfter(300, OK)]).await;
            let instance = Instance::start(&[&target]).await;
            assert!(instance.core.replace_catalog(catalog_with_downloads()));
            let mut caller = Reader::new(instance.connect().await);
            let requests: String = ["a", "b", "c", "d"]
                .map(|id| kept_get("/safe/x", id))
                .concat();
            caller.send(&requests).await;
            sleep(Duration::from_millis(stop_after)).await;
            instance.drain_for(Span::from_secs(30));
            if closes {
                instance.phase.send_replace(Phase::Closing);
            }
            let mut answered = 0;
            while answered < 4
                && let Some(response) = caller.read_response().await
            {
                assert_eq!(status(&response), 200, "{response}");
                answered += 1;
            }
            assert_eq!(
                target.count(),
                answered,
                "stop after {stop_after} ms, closes: {closes}"
            );
        }
    }
}

/// Ends of connections without a request must spare one whose requests have just been read.
#[tokio::test]
async fn connection_that_ends_for_its_idleness_answers_the_requests_that_were_passed_on() {
    const IDLE: usize = 30;
    let target = ScriptedTarget::start(vec![Step::RespondAfter(100, OK)]).await;
    let instance = Instance::start_limited(&[&target], 100).await;
    assert!(instance.core.replace_catalog(catalog_with_downloads()));
    let mut callers = Vec::new();
    for _ in 0..IDLE {
        callers.push(Reader::new(instance.connect().await));
    }
    sleep(Duration::from_millis(1_600)).await;
    // New connections and requests are there when the instance runs next.
    let new: Vec<_> = (0..IDLE / 2)
        .map(|_| std::net::TcpStream::connect(instance.address).expect("a connection"))
        .collect();
    for (index, caller) in callers.iter().enumerate() {
        let requests = ["a", "b"].map(|id| kept_get("/safe/x", &format!("{id}{index}")));
        let written = caller.stream.try_write(requests.concat().as_bytes());
        written.expect("a write");
    }
    let mut answered = 0;
    for caller in &mut callers {
        while let Ok(Some(response)) = timeout(Duration::from_secs(2), caller.read_response()).await
        {
            answered += usize::from(status(&response) == 200);
        }
    }
    assert_eq!(target.count(), answered);
    drop(new);
}

/// What changes in the configuration and around an instance concerns requests to come.
#[tokio::test]
async fn changes_give_up_no_request_at_work() {
    type Change = fn(&Instance, &ScriptedTarget);
    let changes: [(&str, Change); 9] = [
        ("nothing", |_, _| {}),
        ("routes and keys withdrawn", |instance, _| {
            let empty = Catalog::new(Revision::new(2), Limits::default());
            assert!(instance.core.replace_catalog(empty));
        }),
        ("domain closed", |instance, _| {
            let domain = "west-a".parse().expect("a name");
            assert!(instance.core.set_domain_closed(domain, true));
        }),
        ("target removed", |instance, _| {
            assert!(instance.core.remove_target(&"t0".parse().expect("a name")));
        }),
        ("target leaving", |instance, scripted| {
            let mut leaving = target("t0", scripted.address);
            (leaving.draining, leaving.sequence) = (true, 2);
            instance.core.upsert_target(leaving);
        }),
        ("target moved", |instance, _| {
            let mut moved = target("t0", "127.0.0.1:9".parse().expect("an address"));
            moved.sequence = 2;
            instance.core.upsert_target(moved);
        }),
        ("cut off", |instance, _| instance.cut_off()),
        ("new requests refused", |instance, _| {
            instance.core.refuse_new_requests();
        }),
        ("connections closing", |instance, _| {
            instance.phase.send_replace(Phase::Closing);
        }),
    ];
    let mut rows = JoinSet::new();
    for (name, change) in changes {
        for is_stopping in [false, true] {
            rows.spawn(async move {
                let scripted = ScriptedTarget::start(vec![Step::RespondAfter(300, OK)]).await;
                let instance = Instance::start(&[&scripted]).await;
                // The account's share of its rate fills within this time.
                assert!(instance.core.load().wanted_tokens.is_empty());
                sleep(Duration::from_millis(300)).await;
                let request = post("/keyed/x", "a1", "body")
                    .replace("id: a1", &format!("id: a1\r\nkey: {KEY}"));
                let sent = instance.send(&request);
                let change = async {
                    sleep(Duration::from_millis(100)).await;
                    assert_eq!(scripted.count(), 1);
                    if is_stopping {
                        instance.drain_for(Span::from_secs(30));
                    }
                    change(&instance, &scripted);
                };
                let (response, ()) = tokio::join!(sent, change);
                assert_eq!(status(&response), 200, "{name}, stopping: {is_stopping}");
            });
        }
    }
    while let Some(row) = rows.join_next().await {
        row.expect("a response of the target");
    }
}

/// A request that another instance handles is given up no sooner than one at a target.
#[tokio::test]
async fn request_that_was_passed_on_to_an_instance_is_answered_in_a_stop() {
    let target = ScriptedTarget::start(vec![Step::RespondAfter(400, OK)]).await;
    let peer = Instance::start(&[&target]).await;
    let instance = Instance::start(&[]).await;
    instance.cut_off();
    instance.set_peers(&[peer.address]);
    let request = post("/once/x", "a1", "body");
    let sent = instance.send(&request);
    let stop = async {
        sleep(Duration::from_millis(100)).await;
        for stopping in [&instance, &peer] {
            stopping.drain_for(Span::from_secs(30));
            stopping.phase.send_replace(Phase::Closing);
        }
    };
    let (response, ()) = tokio::join!(sent, stop);
    assert_eq!((status(&response), target.count()), (200, 1));
}

/// A request that was read whole behind another one must not be dropped with the connection long after it was
/// sent.
#[tokio::test]
async fn request_that_waited_behind_another_gets_an_answer_in_a_stop() {
    let second = [
        kept_get("/safe/x", "b"),
        post("/once/x", "b", "body").replace("connection: close\r\n", ""),
        "POST /once/x HTTP/1.1\r\nhost: h\r\nid: b\r\ntransfer-encoding: chunked\r\n\r\n\
         4\r\nbody\r\n0\r\n\r\n"
            .to_owned(),
    ];
    for second in second {
        for closes in [false, true] {
            for refuses in [false, true] {
                let target = ScriptedTarget::start(vec![Step::RespondAfter(250, OK)]).await;
                let instance = Instance::start(&[&target]).await;
                let mut caller = Reader::new(instance.connect().await);
                let (first, third) = (kept_get("/safe/x", "a"), kept_get("/safe/x", "c"));
                caller.send(&(first + &second + &third)).await;
                sleep(Duration::from_millis(100)).await;
                instance.drain_for(Span::from_secs(30));
                if refuses {
                    instance.core.refuse_new_requests();
                }
                if closes {
                    instance.phase.send_replace(Phase::Closing);
                }
                let behind = if refuses { 503 } else { 200 };
                for expected in [200, behind, behind] {
                    let response = caller.read_response().await;
                    let found = response.map(|text| status(&text));
                    assert_eq!(found, Some(expected), "closes: {closes}: {second}");
                }
                // The connection ends with the last response.
                let end = timeout(Duration::from_millis(500), caller.read_response()).await;
                assert_eq!(end, Ok(None));
            }
        }
    }
}

/// A request that its caller ends after new requests are refused counts as a new one.
#[tokio::test]
async fn request_whose_body_ends_late_in_a_stop_is_not_taken_and_given_up() {
    for (stop, expected, runs) in [(500, 503, 0), (5_000, 200, 1)] {
        let target = ScriptedTarget::start(vec![Step::RespondAfter(700, OK)]).await;
        let instance = Instance::start(&[&target]).await;
        instance.drain_for(Span::from_millis(stop));
        let mut caller = Reader::new(instance.connect().await);
        let request = post("/once/x", "a1", "body");
        let (first, rest) = request.split_at(request.len() - 2);
        caller.send(first).await;
        sleep(Duration::from_millis(50)).await;
        instance.core.refuse_new_requests();
        caller.send(rest).await;
        let response = caller.read_response().await.expect("a response");
        assert_eq!((status(&response), target.count()), (expected, runs));
    }
}

/// A stop may begin while the connection to a target is opened.
#[tokio::test]
async fn request_that_a_stop_could_give_up_is_not_sent_once_its_connection_is_open() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.set_nonblocking(true).expect("a listener");
    let instance = Instance::start(&[]).await;
    let address = listener.local_addr().expect("an address");
    instance.core.upsert_target(target("t0", address));
    let request = post("/once/x", "a1", "body");
    // This task runs before that of the request, which finds its connection open in the same turn.
    let stop = async {
        let connection = loop {
            match listener.accept() {
                Ok(connection) => break connection,
                Err(_) => yield_now().await,
            }
        };
        instance.drain_for(Span::from_millis(20));
        connection
    };
    let (response, _connection) = tokio::join!(instance.send(&request), stop);
    assert_eq!(status(&response), 503);
}

/// Requests that waited behind one that the stop gives up must not wait beyond the close of the connections.
#[tokio::test]
async fn requests_behind_one_that_a_stop_gives_up_are_answered_before_the_connection_closes() {
    const BEHIND: usize = 20;
    // From the answers of the instance to the close of the connections, of a period of 6 s.
    const LEFT: Duration = Duration::from_millis(180);
    let target = ScriptedTarget::start(vec![Step::Silent]).await;
    let instance = Instance::start(&[&target]).await;
    let mut caller = Reader::new(instance.connect().await);
    let requests = (0..=BEHIND).map(|index| {
        let request = post("/once/x", &format!("a{index}"), "body");
        request.replace("connection: close\r\n", "")
    });
    caller.send(&requests.collect::<String>()).await;
    sleep(Duration::from_millis(100)).await;
    instance.drain_for(Span::from_millis(200));
    instance.core.refuse_new_requests();
    instance.phase.send_replace(Phase::Closing);
    let first = caller.read_response().await.expect("a response");
    assert_eq!(status(&first), 502);
    let answered = async {
        for _ in 0..BEHIND {
            let response = caller.read_response().await.expect("a response");
            assert_eq!(status(&response), 503);
        }
    };
    assert!(timeout(LEFT, answered).await.is_ok());
}

/// Guards against 502 for a request whose target broke off, although another target would answer it.
#[tokio::test]
async fn request_that_may_have_run_is_sent_again_in_a_stop_that_could_give_it_up() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let instance = Instance::start(&[]).await;
    let address = listener.local_addr().expect("an address");
    instance.core.upsert_target(target("t0", address));
    let working = ScriptedTarget::start(vec![Step::Respond(OK)]).await;
    let request = get("/safe/x", "a1");
    let stop = async {
        let (connection, _) = listener.accept().await.expect("a connection");
        connection.peek(&mut [0]).await.expect("a request");
        instance.core.upsert_target(target("t1", working.address));
        instance.drain_for(Span::from_millis(60));
        drop(connection);
    };
    let (response, ()) = tokio::join!(instance.send(&request), stop);
    assert_eq!((status(&response), working.count()), (200, 1), "{response}");
}

/// Guards against requests that are taken late because the process got no processor time.
#[tokio::test]
async fn request_is_refused_late_in_a_stop_whenever_the_process_gets_to_run() {
    let target = ScriptedTarget::start(vec![Step::Respond(OK)]).await;
    let instance = Instance::start(&[&target]).await;
    let mut connection = instance.connect().await;
    instance.drain_for(Span::from_secs(30));
    let late = instance.core.timer.now() + Span::from_millis(50);
    instance.core.refuse_new_requests_from(late);
    let request = post("/once/x", "a1", "body");
    connection
        .write_all(request.as_bytes())
        .await
        .expect("a write");
    std::thread::sleep(Duration::from_millis(100));
    let mut response = String::new();
    connection
        .read_to_string(&mut response)
        .await
        .expect("an end");
    assert_eq!((status(&response), target.count()), (503, 0), "{response}");
}
