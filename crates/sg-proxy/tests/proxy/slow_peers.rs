//! Callers and targets that read slowly.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use sg_proxy::connections;
use sg_types::prelude::{Bytes, Revision, Span};
use socket2::{Domain, SockRef, Socket, Type};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpSocket,
    task::JoinHandle,
    time::sleep,
};

use crate::{
    harness::{Instance, OK, ScriptedTarget, Step, catalog, get, post, route, status, target},
    lingering::connect_slowly,
    pipelines::{Reader, kept_get, large_response},
};

/// The window of a caller that pauses is closed, which does not mean that the caller is gone.
#[tokio::test]
async fn caller_that_pauses_gets_its_whole_response() {
    let target = ScriptedTarget::start(vec![Step::Respond(large_response(540_000))]).await;
    let instance = Instance::start_with_small_buffers(&[&target]).await;
    let mut caller = Reader::new(connect_slowly(&instance).await);
    let request = kept_get("/safe/x", "a").replace("deadline: 1000", "deadline: 9000");
    caller.send(&request).await;
    let mut first = vec![0; 8 << 10];
    let read = caller.stream.read_exact(&mut first).await;
    read.expect("the start of a response");
    sleep(Duration::from_secs(3)).await;
    let mut count = first.len();
    while count < 540_000 {
        match caller.stream.read(&mut first).await {
            Ok(0) | Err(_) => panic!("ends after {count} bytes"),
            Ok(length) => count += length,
        }
    }
}

/// A response that a caller does not read at all is kept for the request's time, and some seconds.
#[tokio::test]
async fn caller_that_stops_reading_is_disconnected_after_its_time() {
    let target = ScriptedTarget::start(vec![Step::Respond(large_response(900_000))]).await;
    let instance = Instance::start_with_small_buffers(&[&target]).await;
    let mut caller = connect_slowly(&instance).await;
    let started = Instant::now();
    let request = kept_get("/safe/x", "a");
    caller.write_all(request.as_bytes()).await.expect("a write");
    let stalled = || {
        let early_ends = &instance.core.metrics.early_ends;
        early_ends.with_label_values(&["stalled"]).get()
    };
    while stalled() == 0 {
        let elapsed = started.elapsed();
        assert!(elapsed < Duration::from_secs(8), "still connected");
        sleep(Duration::from_millis(20)).await;
    }
    assert!(started.elapsed() > Duration::from_secs(4));
    // The rest of the response is dropped with the connection.
    let mut rest = Vec::new();
    assert!(caller.read_to_end(&mut rest).await.is_err());
}

/// A dead link is noticed by keepalive probes, and a closed window of a caller has no limit in the kernel.
#[test]
fn sockets_of_callers_and_targets_have_their_own_limits() {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    let socket = SockRef::from(&socket);
    connections::configure_caller_socket(&socket).expect("options");
    assert_eq!(socket.tcp_user_timeout().expect("an option"), None);
    assert!(socket.keepalive().expect("an option"));
    let probe_time = connections::KEEPALIVE_INTERVAL * (connections::KEEPALIVE_PROBES + 1);
    assert!(probe_time <= Duration::from_secs(3));
    connections::configure_socket(&socket).expect("options");
    let timeout = socket.tcp_user_timeout().expect("an option");
    assert_eq!(timeout, Some(Duration::from_millis(1_500)));
}

/// Guards against a request that is given up while its target can't take it, or its path does not carry it.
#[tokio::test]
async fn target_that_pauses_gets_a_request_that_may_not_be_repeated() {
    for (length, receive_buffer, is_relayed) in [
        (2 << 20, 8 << 10, false),
        (4_000, 1 << 10, false),
        (4_000, 1 << 10, true),
    ] {
        let (address, reading) = start_pausing_target(length, receive_buffer);
        let instance = Instance::start(&[]).await;
        let mut wider = catalog();
        wider.revision = Revision::new(2);
        wider.limits.max_body = Bytes::new(8 << 20);
        let mut slow = route("slow", "/slow/", false);
        slow.timeout = Some(Span::from_secs(8));
        wider.add_route("h", slow).expect("a known service");
        assert!(instance.core.replace_catalog(wider));
        if is_relayed {
            instance.cut_off();
            instance.set_peers(&[address]);
        } else {
            instance.core.upsert_target(target("t0", address));
        }
        let request = post("/slow/x", "a", &"y".repeat(length));
        let request = request.replace("deadline: 1000", "deadline: 8000");
        let response = instance.send(&request).await;
        assert_eq!(
            status(&response),
            200,
            "{length} bytes, relayed {is_relayed}: {response}"
        );
        assert!(reading.await.expect("a target") >= length);
    }
}

/// Guards against a request that was given up and runs later, when its target reads again or the path carries it.
#[tokio::test]
async fn rest_of_a_request_that_was_given_up_is_not_delivered() {
    for is_relayed in [false, true] {
        let length = 60_000;
        let (address, reading) = start_pausing_target(length, 1 << 10);
        let instance = Instance::start(&[]).await;
        let mut wider = catalog();
        wider.revision = Revision::new(2);
        wider.limits.max_body = Bytes::new(1 << 20);
        assert!(instance.core.replace_catalog(wider));
        if is_relayed {
            instance.cut_off();
            instance.set_peers(&[address]);
        } else {
            instance.core.upsert_target(target("t0", address));
        }
        let request = post("/once/x", "a", &"y".repeat(length));
        let response = instance.send(&request).await;
        assert_eq!(status(&response), 504, "relayed {is_relayed}: {response}");
        let received = reading.await.expect("a target");
        assert!(received < length, "relayed {is_relayed}: {received} bytes");
    }
}

/// Starts a target that reads a request of `length` bytes after a pause. Returns how many bytes it read.
fn start_pausing_target(length: usize, receive_buffer: u32) -> (SocketAddr, JoinHandle<usize>) {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket
        .set_recv_buffer_size(receive_buffer)
        .expect("a buffer size");
    socket
        .bind("127.0.0.1:0".parse().expect("an address"))
        .expect("a port");
    let listener = socket.listen(8).expect("a listener");
    let address = listener.local_addr().expect("an address");
    let reading = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut received = vec![0; 64 << 10];
        let mut count = stream.read(&mut received).await.expect("a head");
        sleep(Duration::from_millis(2_500)).await;
        while count < length {
            match stream.read(&mut received).await {
                Ok(0) | Err(_) => return count,
                Ok(more) => count += more,
            }
        }
        let response = OK.replace("{id}", "a");
        stream
            .write_all(response.as_bytes())
            .await
            .expect("a write");
        // The connection stays open until the response is read.
        sleep(Duration::from_millis(200)).await;
        count
    });
    (address, reading)
}

/// A caller that reads slowly does not make the target wait.
#[tokio::test]
async fn response_is_read_at_the_speed_of_the_target() {
    let response = large_response(900_000);
    let target = ScriptedTarget::start(vec![Step::RespondAndClose(response)]).await;
    let instance = Instance::start(&[&target]).await;
    let mut caller = connect_slowly(&instance).await;
    let request = get("/safe/x", "a");
    caller.write_all(request.as_bytes()).await.expect("a write");
    sleep(Duration::from_millis(500)).await;
    // The record of the request ends once the whole response has arrived.
    assert_eq!(instance.core.metrics.in_progress.get(), 0);
    let mut response = Vec::new();
    caller.read_to_end(&mut response).await.expect("a response");
    assert!(response.len() > 900_000);
}
