//! Requests that ask a scripted dispatcher for a slot: whatever the dispatcher does, a request is sent at most
//! once because of it, and is answered in time.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use sg_catalog::Route;
use sg_dispatch::{
    Decision, Ticket,
    exchange::{Message, ServiceKey},
    message::{End, Outcome},
};
use sg_proxy::slots::{Link, Post};
use sg_types::prelude::*;
use tokio::{io::AsyncWriteExt, net::TcpStream, task::JoinHandle, time::sleep};

use crate::harness::{
    Instance, OK, SERVICE, ScriptedTarget, Step, catalog_with_added_route, header, post, route,
    status,
};

const REPORTED: &str =
    "HTTP/1.1 200 OK\r\nid: {id}\r\nload: 1/0/4\r\ncontent-length: 4\r\n\r\nfine";

/// An instance with the targets `t0` and `t1`, whose messages the test answers.
struct Scene {
    instance: Arc<Instance>,
    targets: [ScriptedTarget; 2],
    posts: Vec<Post>,
}

fn link(port: u16) -> Link {
    Link::Remote(SocketAddr::from(([127, 0, 0, 1], port)))
}

fn grant(ticket: Ticket, target: &str) -> Decision {
    let target = target.parse().expect("a name");
    Decision::Grant {
        ticket,
        target,
        is_warm: false,
    }
}

impl Scene {
    async fn start() -> Self {
        Self::start_with(Step::Respond(REPORTED)).await
    }

    async fn start_with(step: Step) -> Self {
        let targets = [
            ScriptedTarget::start(vec![step.clone()]).await,
            ScriptedTarget::start(vec![step]).await,
        ];
        let instance = Instance::start(&[&targets[0], &targets[1]]).await;
        let large = Route {
            large_responses: true,
            ..route("media", "/media/", true)
        };
        let mut catalog = catalog_with_added_route();
        catalog.add_route("h", large).expect("a known service");
        assert!(instance.core.replace_catalog(catalog));
        let scene = Self {
            instance: Arc::new(instance),
            targets,
            posts: Vec::new(),
        };
        scene.set_dispatcher(1);
        scene
    }

    fn set_dispatcher(&self, port: u16) {
        let dispatchers = [(SERVICE.parse().expect("a name"), link(port))];
        let core = &self.instance.core;
        core.slots
            .set_dispatchers(dispatchers.into(), core.timer.now());
    }

    /// Sends a request that may run at most once.
    fn request(&self, id: &'static str) -> JoinHandle<String> {
        let instance = self.instance.clone();
        tokio::spawn(async move { instance.send(&post("/once/x", id, "body")).await })
    }

    /// Returns the next message of the instance, which goes to the dispatcher at `port`.
    async fn next(&mut self, port: u16) -> Message {
        let slots = &self.instance.core.slots;
        while self.posts.is_empty() {
            let posted = tokio::time::timeout(Duration::from_secs(2), slots.wait_for_posts());
            posted.await.expect("a message");
            slots.take_posts(&mut self.posts);
        }
        let post = self.posts.remove(0);
        assert_eq!(post.to, link(port));
        post.message
    }

    async fn next_ask(&mut self) -> Ticket {
        match self.next(1).await {
            Message::Ask(ask) => ask.ticket,
            other => panic!("{other:?}"),
        }
    }

    async fn next_end(&mut self, port: u16) -> End {
        match self.next(port).await {
            Message::End { end, .. } => end,
            other => panic!("{other:?}"),
        }
    }

    fn answer(&self, decision: Decision) {
        let service = ServiceKey::of(&SERVICE.parse().expect("a name"));
        let core = &self.instance.core;
        core.slots
            .handle(service, decision, link(1), core.timer.now());
    }

    fn wait(&self, ticket: Ticket) {
        let expected = Span::from_millis(100);
        self.answer(Decision::Wait { ticket, expected });
    }

    fn sends(&self) -> usize {
        self.targets.iter().map(ScriptedTarget::count).sum()
    }

    fn fallbacks(&self, reason: &str) -> u64 {
        self.instance.core.metrics.slots.fallbacks(reason)
    }
}

#[tokio::test]
async fn granted_target_gets_the_request_and_the_dispatcher_its_report() {
    let mut scene = Scene::start().await;
    for (index, (id, target)) in [("a1", "t1"), ("a2", "t0"), ("a3", "t1")]
        .into_iter()
        .enumerate()
    {
        let request = scene.request(id);
        let ticket = scene.next_ask().await;
        scene.answer(grant(ticket, target));
        assert_eq!(status(&request.await.expect("a response")), 200);
        let end = scene.next_end(1).await;
        assert_eq!(end.outcome, Outcome::Answered);
        assert_eq!(end.report.map(|report| report.slots), Some(4));
        assert_eq!(scene.sends(), index + 1);
    }
    assert_eq!(scene.targets[1].count(), 2);
}

/// A request that was sent without the dispatcher must not be sent again when its grant comes after all.
#[tokio::test]
async fn late_grant_sends_nothing_and_is_returned() {
    let mut scene = Scene::start().await;
    let request = scene.request("a1");
    let ticket = scene.next_ask().await;
    assert_eq!(status(&request.await.expect("a response")), 200);
    assert_eq!(scene.next(1).await, Message::Cancel { ticket });
    scene.answer(grant(ticket, "t1"));
    assert_eq!(scene.next(1).await, Message::Cancel { ticket });
    sleep(Duration::from_millis(50)).await;
    assert_eq!((scene.sends(), scene.fallbacks("silent")), (1, 1));
}

#[tokio::test]
async fn doubled_grant_changes_nothing() {
    let mut scene = Scene::start_with(Step::RespondAfter(50, OK)).await;
    let request = scene.request("a1");
    let ticket = scene.next_ask().await;
    scene.answer(grant(ticket, "t1"));
    scene.answer(grant(ticket, "t0"));
    assert_eq!(status(&request.await.expect("a response")), 200);
    assert_eq!(scene.next_end(1).await.outcome, Outcome::Answered);
    assert_eq!((scene.targets[0].count(), scene.targets[1].count()), (0, 1));
}

#[tokio::test]
async fn rejected_request_is_refused_at_once_with_the_retry_time_and_never_sent() {
    let mut scene = Scene::start().await;
    let request = scene.request("a1");
    let ticket = scene.next_ask().await;
    let retry_after = Span::from_millis(250);
    scene.answer(Decision::Reject {
        ticket,
        retry_after,
    });
    let response = request.await.expect("a response");
    assert_eq!(status(&response), 503, "{response}");
    assert_eq!(header(&response, "retry-after").as_deref(), Some("250"));
    scene.answer(grant(ticket, "t1"));
    assert_eq!(scene.next(1).await, Message::Cancel { ticket });
    assert_eq!(scene.sends(), 0);
}

#[tokio::test]
async fn waiting_request_is_sent_when_its_grant_comes() {
    let mut scene = Scene::start().await;
    let request = scene.request("a1");
    let ticket = scene.next_ask().await;
    scene.wait(ticket);
    sleep(Duration::from_millis(150)).await;
    assert_eq!(scene.sends(), 0);
    scene.answer(grant(ticket, "t1"));
    assert_eq!(status(&request.await.expect("a response")), 200);
    assert_eq!(scene.next_end(1).await.outcome, Outcome::Answered);
}

/// Without a slot in time, a send would miss the deadline and take a slot from others.
#[tokio::test]
async fn request_that_waits_in_vain_is_refused_and_never_sent() {
    let mut scene = Scene::start().await;
    let request = scene.request("a1");
    let ticket = scene.next_ask().await;
    scene.wait(ticket);
    let response = request.await.expect("a response");
    assert_eq!(status(&response), 503, "{response}");
    assert!(header(&response, "retry-after").is_some());
    assert_eq!(scene.next(1).await, Message::Cancel { ticket });
    assert_eq!(scene.sends(), 0);
}

/// A dispatcher that dies while requests wait there must not cost them their whole time.
#[tokio::test]
async fn waiting_requests_are_decided_alone_when_the_dispatcher_falls_silent_or_moves() {
    let mut scene = Scene::start().await;
    let moved = scene.request("a1");
    let ticket = scene.next_ask().await;
    scene.wait(ticket);
    scene.set_dispatcher(2);
    assert_eq!(scene.next(1).await, Message::Cancel { ticket });
    let Message::Ask(ask) = scene.next(2).await else {
        panic!("the new dispatcher is not asked");
    };
    assert_ne!(ask.ticket, ticket);
    assert_eq!(status(&moved.await.expect("a response")), 200);
    assert_eq!((scene.sends(), scene.fallbacks("silent")), (1, 1));
}

/// Each ask that nobody answers costs its request 25 ms, so that a silent dispatcher is left alone for a while.
#[tokio::test]
async fn silent_dispatcher_is_not_asked_for_a_second() {
    let mut scene = Scene::start().await;
    for id in ["a1", "a2", "a3"] {
        assert!(scene.instance.core.slots.silent_at(link(1)).is_none());
        assert_eq!(status(&scene.request(id).await.expect("a response")), 200);
        sleep(Duration::from_millis(100)).await;
    }
    assert!(scene.instance.core.slots.silent_at(link(1)).is_some());
    assert_eq!(scene.fallbacks("backing-off"), 0);
    assert_eq!(status(&scene.request("a4").await.expect("a response")), 200);
    assert_eq!((scene.fallbacks("backing-off"), scene.sends()), (1, 4));
    sleep(Duration::from_millis(1_050)).await;
    scene.instance.core.slots.take_posts(&mut scene.posts);
    scene.posts.clear();
    let request = scene.request("a5");
    let ticket = scene.next_ask().await;
    scene.answer(grant(ticket, "t1"));
    assert_eq!(status(&request.await.expect("a response")), 200);
    assert!(scene.instance.core.slots.silent_at(link(1)).is_none());
}

/// A slot of a caller that has left must not stay in use until its deadline.
#[tokio::test]
async fn ask_of_a_caller_that_leaves_is_withdrawn() {
    let mut scene = Scene::start_with(Step::Silent).await;
    for is_granted in [false, true] {
        let mut caller = TcpStream::connect(scene.instance.address)
            .await
            .expect("a connection");
        let request = post("/once/x", "a1", "body");
        caller
            .write_all(request.as_bytes())
            .await
            .expect("a request");
        let ticket = scene.next_ask().await;
        if is_granted {
            scene.answer(grant(ticket, "t1"));
        } else {
            scene.wait(ticket);
        }
        sleep(Duration::from_millis(50)).await;
        drop(caller);
        assert_eq!(scene.next(1).await, Message::Cancel { ticket });
    }
}

#[tokio::test]
async fn waiting_requests_are_decided_alone_when_the_instance_drains() {
    let mut scene = Scene::start().await;
    let request = scene.request("a1");
    let ticket = scene.next_ask().await;
    scene.wait(ticket);
    let core = &scene.instance.core;
    core.start_draining(core.timer.now() + Span::from_secs(3));
    let started = Instant::now();
    assert_eq!(status(&request.await.expect("a response")), 200);
    assert!(started.elapsed() < Duration::from_millis(500));
    assert_eq!(scene.next(1).await, Message::Cancel { ticket });
    assert_eq!((scene.sends(), scene.fallbacks("draining")), (1, 1));
}

#[tokio::test]
async fn grant_that_this_instance_may_not_use_is_returned() {
    let mut scene = Scene::start().await;
    for target in ["unknown", "t1"] {
        let request = scene.request("a1");
        let ticket = scene.next_ask().await;
        scene
            .instance
            .core
            .remove_target(&"t1".parse().expect("a name"));
        scene.answer(grant(ticket, target));
        assert_eq!(status(&request.await.expect("a response")), 200);
        // What keeps this instance from the target says nothing of the target to others.
        let withdrawn = scene.next(1).await;
        assert_eq!(withdrawn, Message::Cancel { ticket });
    }
    assert_eq!((scene.sends(), scene.targets[1].count()), (2, 0));
}

/// A dispatcher that takes over must know the slots in use, or it fills the targets beyond their slots, and where
/// objects are warm, or each runs cold once more.
#[tokio::test]
async fn next_dispatcher_learns_the_slots_in_use_their_ends_and_the_warm_objects() {
    let mut scene = Scene::start_with(Step::RespondAfter(100, OK)).await;
    let mut requests = Vec::new();
    let mut tickets = Vec::new();
    for target in ["t0", "t1"] {
        let request = post("/once/x", "a1", "body").replace("host: h", "host: h\r\nobject: o");
        let instance = scene.instance.clone();
        requests.push(tokio::spawn(async move { instance.send(&request).await }));
        let ticket = scene.next_ask().await;
        scene.answer(grant(ticket, target));
        tickets.push(ticket);
        if target == "t0" {
            assert_eq!(scene.next_end(1).await.outcome, Outcome::Answered);
        }
    }
    sleep(Duration::from_millis(30)).await;
    scene.set_dispatcher(2);
    for (index, target) in ["t0", "t1"].into_iter().enumerate() {
        let Message::Adopt(lease) = scene.next(2).await else {
            panic!("no slot is adopted");
        };
        assert_eq!(
            (lease.ticket, lease.target.as_str()),
            (tickets[index], target)
        );
        assert_eq!(lease.deadline_left > Span::ZERO, target == "t1");
        assert!(lease.object.is_some());
    }
    for request in requests {
        assert_eq!(status(&request.await.expect("a response")), 200);
    }
    // The former dispatcher may still be there, and would keep the slot until the response is due.
    for port in [1, 2] {
        assert_eq!(scene.next_end(port).await.outcome, Outcome::Answered);
    }
}

/// Deployments without large responses are served as before.
#[tokio::test]
async fn nothing_is_asked_without_a_route_with_large_responses() {
    let target = ScriptedTarget::start(vec![Step::Respond(OK)]).await;
    let instance = Instance::start(&[&target]).await;
    let core = &instance.core;
    let dispatchers = [(SERVICE.parse().expect("a name"), link(1))];
    core.slots
        .set_dispatchers(dispatchers.into(), core.timer.now());
    let response = instance.send(&post("/once/x", "a1", "body")).await;
    let mut posts = Vec::new();
    core.slots.take_posts(&mut posts);
    assert_eq!((status(&response), posts.len()), (200, 0));
}
