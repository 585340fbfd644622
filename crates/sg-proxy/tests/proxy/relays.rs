//! Requests that an instance without a path to its targets passes on to another instance.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use sg_types::prelude::Span;
use socket2::{Domain, SockRef, Socket, Type};
use tokio::{io::AsyncWriteExt, task::JoinSet, time::sleep};

use crate::harness::{
    Instance, KEY, OK, ScriptedTarget, Step, catalog_with_added_route, get, header, post, status,
    target,
};

/// Address that refuses connections, and that no other socket gets.
pub struct RefusingAddress {
    pub address: SocketAddr,
    _bound: Socket,
}

impl RefusingAddress {
    pub fn new() -> Self {
        let (bound, address) = bound_socket();
        Self {
            address,
            _bound: bound,
        }
    }
}

fn bound_socket() -> (Socket, SocketAddr) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    socket.bind(&any.into()).expect("a port");
    let address = socket.local_addr().expect("an address");
    (socket, address.as_socket().expect("an address"))
}

/// Address at which connection attempts get no answer, because its queue of connections is full.
pub struct HangingAddress {
    pub address: SocketAddr,
    listener: Socket,
    _queued: Vec<Socket>,
}

/// Fills the queue of connections of a listener. Returns the connections; the last ones are in progress.
pub fn fill_queue(listener: &SockRef<'_>, address: SocketAddr) -> Vec<Socket> {
    listener.listen(0).expect("a listener");
    let queued = (0..4).map(|_| {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket.set_nonblocking(true).expect("a socket");
        let _ = socket.connect(&address.into());
        socket
    });
    queued.collect()
}

impl HangingAddress {
    pub fn new() -> Self {
        let (listener, address) = bound_socket();
        Self {
            address,
            _queued: fill_queue(&SockRef::from(&listener), address),
            listener,
        }
    }

    /// Makes room for connections, which a target accepts. The system repeats attempts that got no answer after
    /// a second.
    pub fn accept(self) -> ScriptedTarget {
        self.listener.set_nonblocking(true).expect("a listener");
        self.listener.listen(64).expect("a listener");
        let listener = tokio::net::TcpListener::from_std(self.listener.into());
        ScriptedTarget::start_on(listener.expect("a listener"), vec![Step::Respond(OK)])
    }
}

/// Starts an instance that is known to be cut off, with hanging targets.
async fn cut_off_instance(hanging: &[HangingAddress]) -> Instance {
    let instance = Instance::start(&[]).await;
    for (index, hanging) in hanging.iter().enumerate() {
        let target = target(&format!("t{index}"), hanging.address);
        instance.core.upsert_target(target);
    }
    instance.cut_off();
    instance
}

fn hanging_targets() -> Vec<HangingAddress> {
    (0..3).map(|_| HangingAddress::new()).collect()
}

#[tokio::test]
async fn request_that_no_target_accepts_is_passed_on_before_a_cut_is_confirmed() {
    let working = ScriptedTarget::start(vec![Step::Respond(OK)]).await;
    let peer = Instance::start(&[&working]).await;
    let instance = Instance::start(&[]).await;
    let refusing: Vec<_> = (0..6).map(|_| RefusingAddress::new()).collect();
    for (index, refusing) in refusing.iter().enumerate() {
        let target = target(&format!("t{index}"), refusing.address);
        instance.core.upsert_target(target);
    }
    instance.set_peers(&[peer.address]);
    let response = instance.send(&post("/once/x", "a1", "body")).await;
    assert_eq!(status(&response), 200);
    assert_eq!(header(&response, "id").as_deref(), Some("a1"));
    assert_eq!(working.count(), 1);
}

#[tokio::test]
async fn instance_cut_off_passes_requests_on_at_once() {
    let working = ScriptedTarget::start(vec![Step::Respond(OK)]).await;
    let peer = Instance::start(&[&working]).await;
    let hanging = hanging_targets();
    let instance = cut_off_instance(&hanging).await;
    instance.set_peers(&[peer.address]);
    for (index, path) in ["/safe/x", "/once/x"].into_iter().enumerate() {
        let started = Instant::now();
        let id = format!("a{index}");
        let response = instance.send(&post(path, &id, "body")).await;
        assert_eq!(status(&response), 200, "{path}");
        let elapsed = started.elapsed();
        assert!(elapsed < Duration::from_millis(200), "{path}: {elapsed:?}");
    }
    let requests = working.requests.lock().clone();
    assert!(requests.iter().all(|request| request.ends_with("body")));
    let remaining = header(&requests[0], "deadline").expect("a deadline");
    let remaining: u64 = remaining.parse().expect("digits");
    assert!((800..=1_000).contains(&remaining), "{remaining}");
}

/// How long the work takes elsewhere is not known here, so that only the deadline bounds it.
#[tokio::test]
async fn stopping_instance_passes_on_no_request_that_it_could_give_up_at_the_end_of_the_stop() {
    for (stop, expected, runs) in [(500, 503, 0), (5_000, 200, 1)] {
        let working = ScriptedTarget::start(vec![Step::RespondAfter(700, OK)]).await;
        let peer = Instance::start(&[&working]).await;
        let hanging = hanging_targets();
        let instance = cut_off_instance(&hanging).await;
        instance.set_peers(&[peer.address]);
        instance.drain_for(Span::from_millis(stop));
        let started = Instant::now();
        let response = instance.send(&post("/once/x", "a1", "body")).await;
        assert_eq!(
            (status(&response), working.count()),
            (expected, runs),
            "{stop}"
        );
        assert!(runs == 1 || started.elapsed() < Duration::from_millis(300));
    }
}

/// A stop may begin while the connection to an instance is opened.
#[tokio::test]
async fn request_is_passed_on_to_no_further_instance_if_a_stop_could_give_it_up_by_then() {
    let working = ScriptedTarget::start(vec![Step::RespondAfter(700, OK)]).await;
    let peer = Instance::start(&[&working]).await;
    let hanging = hanging_targets();
    let instance = cut_off_instance(&hanging).await;
    instance.set_peers(&[hanging[0].address]);
    let request = post("/once/x", "a1", "body");
    let stop = async {
        sleep(Duration::from_millis(100)).await;
        instance.drain_for(Span::from_millis(400));
        instance.set_peers(&[peer.address]);
    };
    let (response, ()) = tokio::join!(instance.send(&request), stop);
    assert_eq!((status(&response), working.count()), (503, 0));
}

/// Guards against a request that is given up, or refused, by an instance that stops although a further one can
/// finish it.
#[tokio::test]
async fn request_goes_on_to_an_instance_that_can_finish_it() {
    for (name, stop, is_refusing) in [("short stop", 500, false), ("no new requests", 5_000, true)]
    {
        let working = ScriptedTarget::start(vec![Step::RespondAfter(700, OK)]).await;
        let stopping = Instance::start(&[&working]).await;
        let peer = Instance::start(&[&working]).await;
        stopping.drain_for(Span::from_millis(stop));
        if is_refusing {
            stopping.core.refuse_new_requests();
        }
        let hanging = hanging_targets();
        let instance = cut_off_instance(&hanging).await;
        instance.set_peers(&[stopping.address, peer.address]);
        let mut sends = JoinSet::new();
        let instance = Arc::new(instance);
        for index in 0..8 {
            let instance = instance.clone();
            let request = post("/once/x", &format!("a{index}"), "body");
            sends.spawn(async move { status(&instance.send(&request).await) });
        }
        let statuses = sends.join_all().await;
        assert_eq!(statuses, [200; 8], "{name}");
        assert_eq!(working.count(), 8, "{name}");
    }
}

#[tokio::test]
async fn other_instance_checks_the_key_and_takes_the_token() {
    let working = ScriptedTarget::start(vec![Step::Respond(OK)]).await;
    let peer = Instance::start(&[&working]).await;
    let hanging = hanging_targets();
    let instance = cut_off_instance(&hanging).await;
    instance.set_peers(&[peer.address]);
    assert!(peer.core.load().wanted_tokens.is_empty());
    sleep(Duration::from_millis(500)).await;
    let mut statuses = Vec::new();
    for index in 0..8 {
        let request = post("/keyed/x", &format!("a{index}"), "body");
        let request = request.replace("host: h", &format!("host: h\r\nkey: {KEY}"));
        statuses.push(status(&instance.send(&request).await));
    }
    let served = statuses.iter().filter(|status| **status == 200).count();
    let refused = statuses.iter().filter(|status| **status == 429).count();
    assert!(served >= 1 && refused >= 4, "{statuses:?}");
    assert_eq!(working.count(), served);
    let requests = working.requests.lock().clone();
    assert!(requests.iter().all(|request| !request.contains(KEY)));
}

#[tokio::test]
async fn instances_that_are_all_cut_off_reject_at_once_and_pass_nothing_in_circles() {
    let hanging = hanging_targets();
    let first = cut_off_instance(&hanging).await;
    let second = cut_off_instance(&hanging).await;
    first.set_peers(&[second.address]);
    second.set_peers(&[first.address]);
    let started = Instant::now();
    let response = first.send(&post("/once/x", "a1", "body")).await;
    assert_eq!(status(&response), 503);
    assert!(header(&response, "retry-after").is_some());
    assert!(started.elapsed() < Duration::from_millis(300));
    let alone = cut_off_instance(&hanging).await;
    let response = alone.send(&get("/safe/x", "a2")).await;
    assert_eq!(status(&response), 503);
}

#[tokio::test]
async fn request_that_another_instance_may_have_run_goes_to_no_third_one() {
    let closing = ScriptedTarget::start(vec![Step::RespondAndClose("")]).await;
    let other = ScriptedTarget::start(vec![Step::RespondAndClose("")]).await;
    let hanging = hanging_targets();
    let instance = cut_off_instance(&hanging).await;
    instance.set_peers(&[closing.address, other.address]);
    let response = instance.send(&post("/once/x", "a1", "body")).await;
    assert_eq!(status(&response), 502);
    assert_eq!(closing.count() + other.count(), 1);
}

#[tokio::test]
async fn response_to_another_request_is_not_passed_back() {
    let wrong = "HTTP/1.1 200 OK\r\nid: other\r\ncontent-length: 4\r\n\r\nevil";
    for (step, expected) in [
        (Step::Respond(wrong), 504),
        (Step::RespondAndClose(wrong), 502),
        (Step::RespondTwice(wrong, 20, OK), 200),
    ] {
        let peer = ScriptedTarget::start(vec![step.clone()]).await;
        let hanging = hanging_targets();
        let instance = cut_off_instance(&hanging).await;
        instance.set_peers(&[peer.address]);
        let response = instance.send(&post("/once/x", "a1", "body")).await;
        assert_eq!((status(&response), peer.count()), (expected, 1), "{step:?}");
        assert!(!response.ends_with("evil"), "{step:?}");
    }
}

#[tokio::test]
async fn truncated_response_of_another_instance_is_not_passed_back() {
    let short = "HTTP/1.1 200 OK\r\nid: {id}\r\ncontent-length: 40\r\n\r\nfine";
    let peer = ScriptedTarget::start(vec![Step::RespondAndClose(short)]).await;
    let hanging = hanging_targets();
    let instance = cut_off_instance(&hanging).await;
    instance.set_peers(&[peer.address]);
    let response = instance.send(&post("/once/x", "a1", "body")).await;
    assert_eq!(status(&response), 502);
}

#[tokio::test]
async fn instance_that_can_not_be_reached_is_replaced_by_the_next() {
    let working = ScriptedTarget::start(vec![Step::Respond(OK)]).await;
    let peer = Instance::start(&[&working]).await;
    let hanging = hanging_targets();
    let instance = cut_off_instance(&hanging).await;
    let gone = [RefusingAddress::new(), RefusingAddress::new()];
    instance.set_peers(&[gone[0].address, gone[1].address, peer.address]);
    for index in 0..6 {
        let response = instance
            .send(&post("/once/x", &format!("a{index}"), "b"))
            .await;
        assert_eq!(status(&response), 200);
    }
}

#[tokio::test]
async fn caller_that_leaves_ends_the_request_at_the_other_instance() {
    let peer = ScriptedTarget::start(vec![Step::Silent]).await;
    let hanging = hanging_targets();
    let instance = cut_off_instance(&hanging).await;
    instance.set_peers(&[peer.address]);
    let mut stream = instance.connect().await;
    let request = post("/once/x", "a1", "body");
    stream.write_all(request.as_bytes()).await.expect("a write");
    while peer.count() == 0 {
        sleep(Duration::from_millis(10)).await;
    }
    drop(stream);
    let started = Instant::now();
    while peer.aborted.load(Ordering::SeqCst) == 0 {
        assert!(started.elapsed() < Duration::from_millis(500));
        sleep(Duration::from_millis(10)).await;
    }
}

#[tokio::test]
async fn silent_instance_times_out_at_the_deadline_without_a_promise() {
    let peer = ScriptedTarget::start(vec![Step::Silent]).await;
    let hanging = hanging_targets();
    let instance = cut_off_instance(&hanging).await;
    instance.set_peers(&[peer.address]);
    let response = instance.send(&post("/once/x", "a1", "body")).await;
    assert_eq!(status(&response), 504);
}

#[tokio::test]
async fn targets_are_used_again_once_one_responds() {
    let working = ScriptedTarget::start(vec![Step::Respond(OK)]).await;
    let instance = Instance::start(&[&working]).await;
    instance.cut_off();
    assert_eq!(status(&instance.send(&get("/safe/x", "a1")).await), 503);
    instance.core.record_reached();
    assert_eq!(status(&instance.send(&get("/safe/x", "a2")).await), 200);
}

#[tokio::test]
async fn connection_attempts_without_an_answer_raise_the_suspicion_of_a_cut() {
    let hanging = hanging_targets();
    let instance = Instance::start(&[]).await;
    for (index, hanging) in hanging.iter().enumerate() {
        let target = target(&format!("t{index}"), hanging.address);
        instance.core.upsert_target(target);
    }
    assert!(instance.core.reach_checks().is_empty());
    let response = instance.send(&post("/once/x", "a1", "body")).await;
    assert_eq!(status(&response), 503);
    assert_eq!(instance.core.reach_checks().len(), 1);
}

#[tokio::test]
async fn route_that_another_instance_has_not_read_yet_is_not_refused_as_unknown() {
    let working = ScriptedTarget::start(vec![Step::Respond(OK)]).await;
    let outdated = Instance::start(&[&working]).await;
    let peer = Instance::start(&[&working]).await;
    let hanging = hanging_targets();
    let instance = cut_off_instance(&hanging).await;
    for instance in [&instance, &peer] {
        assert!(instance.core.replace_catalog(catalog_with_added_route()));
    }
    instance.set_peers(&[outdated.address, peer.address]);
    for index in 0..10 {
        let request = get("/added/x", &format!("a{index}"));
        assert_eq!(status(&instance.send(&request).await), 200);
    }
    assert_eq!(working.count(), 10);
    instance.set_peers(&[outdated.address]);
    let response = instance.send(&get("/added/x", "b1")).await;
    assert_eq!(status(&response), 503);
    assert!(header(&response, "retry-after").is_some());
}

#[tokio::test]
async fn rejection_by_a_configuration_that_is_not_older_is_passed_back() {
    const REMOVED: &str =
        "HTTP/1.1 404 Not Found\r\nid: {id}\r\nrejected-by: 2\r\ncontent-length: 0\r\n\r\n";
    const UNKNOWN_REVISION: &str =
        "HTTP/1.1 404 Not Found\r\nid: {id}\r\ncontent-length: 0\r\n\r\n";
    for rejection in [REMOVED, UNKNOWN_REVISION] {
        let peer = ScriptedTarget::start(vec![Step::RespondAndClose(rejection)]).await;
        let other = ScriptedTarget::start(vec![Step::RespondAndClose(rejection)]).await;
        let hanging = hanging_targets();
        let instance = cut_off_instance(&hanging).await;
        assert!(instance.core.replace_catalog(catalog_with_added_route()));
        instance.set_peers(&[peer.address, other.address]);
        let response = instance.send(&get("/added/x", "a1")).await;
        assert_eq!(status(&response), 404);
        assert_eq!(header(&response, "rejected-by"), None);
        assert_eq!(peer.count() + other.count(), 1);
    }
}

#[tokio::test]
async fn only_instances_that_pass_requests_on_are_told_the_revision_of_a_rejection() {
    let instance = Instance::start(&[]).await;
    let request = get("/added/x", "a1");
    assert_eq!(header(&instance.send(&request).await, "rejected-by"), None);
    let relayed = request.replace("host: h", "host: h\r\nrelayed: 1");
    let response = instance.send(&relayed).await;
    assert_eq!(header(&response, "rejected-by").as_deref(), Some("1"));
    let unavailable = get("/safe/x", "a2").replace("host: h", "host: h\r\nrelayed: 1");
    let response = instance.send(&unavailable).await;
    assert_eq!(status(&response), 503);
    assert_eq!(header(&response, "rejected-by"), None);
}
