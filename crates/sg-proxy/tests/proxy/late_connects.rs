//! Connections to targets that open, but not in time.

use std::{
    net::SocketAddr,
    sync::atomic::Ordering,
    time::{Duration, Instant},
};

use sg_place::Target;
use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};

use crate::{
    harness::{Instance, OK, ScriptedTarget, Step, get, post, read, status, target},
    relays::{HangingAddress, RefusingAddress, fill_queue},
};

/// Sends a request to an instance whose connects get no answer, and lets the target answer them afterwards.
async fn send_before_target_answers() -> (Instance, ScriptedTarget) {
    let hanging = HangingAddress::new();
    let instance = Instance::start(&[]).await;
    instance.core.upsert_target(target("t0", hanging.address));
    let response = instance.send(&post("/once/x", "a1", "body")).await;
    assert_eq!(status(&response), 503);
    assert_eq!(instance.core.reach_checks().len(), 1);
    (instance, hanging.accept())
}

/// Guards against a slow link that is taken for a cut although its connects complete.
#[tokio::test]
async fn connect_that_completes_late_withdraws_its_failure() {
    let (instance, _target) = send_before_target_answers().await;
    let started = Instant::now();
    let core = &instance.core;
    while !core.reach_checks().is_empty() || !core.targets_to_check(1).is_empty() {
        assert!(
            started.elapsed() < Duration::from_secs(2),
            "still a failure"
        );
        sleep(Duration::from_millis(50)).await;
    }
    let response = instance.send(&post("/once/x", "a2", "body")).await;
    assert_eq!(status(&response), 200);
}

/// Starts an instance that has an idle connection to its target, which accepts no further one.
async fn start_with_full_queue() -> (Instance, TcpStream, impl Sized) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let instance = Instance::start(&[]).await;
    instance.core.upsert_target(target("t0", address));
    let request = get("/safe/x", "a1");
    let caller = instance.send(&request);
    let target = async {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        respond(&mut stream, "a1").await;
        stream
    };
    let (response, idle) = tokio::join!(caller, target);
    assert_eq!(status(&response), 200);
    let filled = fill_queue(&SockRef::from(&listener), address);
    (instance, idle, (listener, filled))
}

async fn respond(stream: &mut TcpStream, id: &str) {
    read(stream).await.expect("a request");
    let response = OK.replace("{id}", id);
    let written = stream.write_all(response.as_bytes()).await;
    written.expect("a write");
}

/// Guards against working connections that are closed for a connect that was only slow.
#[tokio::test]
async fn connect_that_is_late_closes_no_idle_connection() {
    let (instance, mut idle, _full) = start_with_full_queue().await;
    // A connection isn't used for the same id twice.
    let response = instance.send(&get("/safe/x", "a1")).await;
    assert_eq!(status(&response), 503);
    let closed = timeout(Duration::from_millis(300), idle.read_u8()).await;
    assert!(closed.is_err(), "{closed:?}");
    // The connect fails after 3 s.
    for id in ["a2", "a3", "a4", "a5"] {
        let request = get("/safe/x", id);
        let answered = async { tokio::join!(instance.send(&request), respond(&mut idle, id)).0 };
        let response = timeout(Duration::from_secs(1), answered).await;
        assert_eq!(status(&response.expect("an open connection")), 200);
        sleep(Duration::from_millis(900)).await;
    }
}

/// Guards against targets that are left out although they answer, and against none being left out.
#[tokio::test]
async fn connect_that_is_late_bans_no_target_that_answers_meanwhile() {
    for (answers, banned) in [(true, 0), (false, 1)] {
        let (instance, mut idle, _full) = start_with_full_queue().await;
        let request = get("/safe/x", "a1");
        let late = instance.send(&request);
        let answered = async {
            if answers {
                let request = get("/safe/x", "a2");
                let sent = tokio::join!(instance.send(&request), respond(&mut idle, "a2"));
                assert_eq!(status(&sent.0), 200);
            }
        };
        let (response, ()) = tokio::join!(late, answered);
        assert_eq!(status(&response), 503);
        assert_eq!(instance.core.targets_to_check(1).len(), banned, "{answers}");
    }
}

/// Guards against a full link, over which open connections are answered, that is taken for a cut.
#[tokio::test]
async fn round_without_an_answer_confirms_no_cut_while_only_connects_are_late() {
    let hanging = [(); 3].map(|()| HangingAddress::new());
    let refusing = [(); 3].map(|()| RefusingAddress::new());
    let hanging = hanging.each_ref().map(|hanging| hanging.address);
    let refusing = refusing.each_ref().map(|refusing| refusing.address);
    for (name, failing, is_answered, is_cut_off) in [
        (
            "late, answered over an open connection",
            hanging,
            true,
            false,
        ),
        ("late, not answered", hanging, false, true),
        (
            "refused, answered over an open connection",
            refusing,
            true,
            true,
        ),
    ] {
        let instance = suspicious_instance(failing, is_answered).await;
        instance.core.record_reach_round(false);
        assert_eq!(instance.core.is_cut_off(), is_cut_off, "{name}");
    }
}

/// Starts an instance that has an open connection to one target, and can't open any to `failing`.
async fn suspicious_instance(failing: [SocketAddr; 3], is_answered: bool) -> Instance {
    let working = ScriptedTarget::start(vec![Step::Respond(OK)]).await;
    let instance = Instance::start(&[&working]).await;
    let open = instance.send(&get("/safe/x", "open")).await;
    assert_eq!(status(&open), 200);
    for (address, index) in failing.into_iter().zip(1..) {
        let target = target(&format!("t{index}"), address);
        instance.core.upsert_target(target);
    }
    // The request doesn't go to the target that works.
    let with_draining = |draining, sequence| Target {
        draining,
        sequence,
        ..target("t0", working.address)
    };
    instance.core.upsert_target(with_draining(true, 2));
    instance.send(&get("/safe/x", "failing")).await;
    instance.core.upsert_target(with_draining(false, 3));
    assert!(!instance.core.reach_checks().is_empty(), "no suspicion");
    if is_answered {
        let response = instance.send(&get("/safe/x", "answered")).await;
        assert_eq!(status(&response), 200);
    }
    assert_eq!(working.connections.load(Ordering::SeqCst), 1);
    instance
}

/// Guards against a round of checks at busy targets that confirms a suspicion which a response has refuted.
#[tokio::test]
async fn check_that_fails_after_the_suspicion_is_refuted_confirms_no_cut() {
    for (is_refuted, is_cut_off) in [(true, false), (false, true)] {
        let working = ScriptedTarget::start(vec![Step::Respond(OK)]).await;
        let instance = Instance::start(&[&working]).await;
        let core = &instance.core;
        core.record_neighbor_cut();
        let checked = core.reach_checks();
        core.record_failed_check(&checked[0].0, None);
        if is_refuted {
            let response = instance.send(&get("/safe/x", "a1")).await;
            assert_eq!(status(&response), 200);
        }
        core.record_failed_check(&checked[0].0, None);
        core.record_reach_round(false);
        assert_eq!(core.is_cut_off(), is_cut_off, "{is_refuted}");
    }
}
