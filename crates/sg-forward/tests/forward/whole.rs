//! A caller gets the whole answer to its own request, or none that looks good.

use sg_steer::End;
use sg_types::prelude::*;

use crate::{
    double::{Entry, KEY_A, World, view},
    wire::{Act, Target, bearer, ok, raw, request},
};

fn read(path: &str) -> String {
    request("GET", path, &[bearer(KEY_A)], "")
}

async fn set_up(
    act: impl Fn(&str, usize) -> Act + Send + Sync + 'static,
) -> (Target, World, Entry) {
    let target = Target::start(act).await;
    let world = World::new(&[target.address]);
    world.set(view(1, &[("/services/desk/answer-limit", "1MiB")]));
    let entry = Entry::start("e1", 1, &world).await;
    (target, world, entry)
}

#[tokio::test]
async fn a_broken_answer_never_looks_good() {
    let cases = [
        "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        "HTTP/1.1 200 OK\r\n\r\nno end is stated",
        "HTTP/1.1 200 OK\r\ncontent-length: 9999999\r\n\r\nlarger than allowed",
        "HTTP/1.1 200 OK\r\nsg-request-id: of-another\r\ncontent-length: 5\r\n\r\nhello",
    ];
    for text in cases {
        let (_target, _world, entry) = set_up(move |_, _| Act::Last(text.into())).await;
        let answer = raw(entry.address, read("/read")).await;
        answer.expect(Outcome::Unknown, Reason::AnswerBroken);
        assert!(!answer.body.contains("half"), "{answer:?}");
    }
    let (_target, _world, entry) = set_up(|_, _| ok("hello")).await;
    let answer = raw(entry.address, read("/read")).await;
    assert!(answer.is_whole());
    assert_eq!(answer.body, "hello");
}

#[tokio::test]
async fn a_large_answer_that_breaks_breaks_the_callers_connection() {
    const PART: usize = 400 * 1024;
    let part = "x".repeat(PART);
    let cases = [
        format!(
            "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{part}",
            PART + 1
        ),
        format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{PART:x}\r\n{part}\r\n"),
    ];
    for text in cases {
        let (_target, world, entry) = set_up(move |_, _| Act::Last(text.clone())).await;
        let answer = raw(entry.address, read("/read")).await;
        assert!(!answer.is_whole(), "{} {}", answer.head, answer.body.len());
        assert!(world.ends().contains(&End::Lost), "{:?}", world.ends());
    }
    let whole = format!("HTTP/1.1 200 OK\r\ncontent-length: {PART}\r\n\r\n{part}");
    let (_target, _world, entry) = set_up(move |_, _| Act::Last(whole.clone())).await;
    let answer = raw(entry.address, read("/read")).await;
    assert!(answer.is_whole(), "{}", answer.head);
    assert_eq!(answer.body.len(), PART);
}

#[tokio::test]
async fn without_the_listener_an_answer_of_unstated_length_is_held_until_whole() {
    const PART: usize = 400 * 1024;
    let part = "x".repeat(PART);
    let cut =
        format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{PART:x}\r\n{part}\r\n");
    let whole = format!("{cut}0\r\n\r\n");
    for (text, outcome) in [(cut, "unknown"), (whole, "ran")] {
        let target = Target::start(move |_, _| Act::Last(text.clone())).await;
        let world = World::new(&[target.address]);
        let entry = Entry::start_bare("e1", 1, &world).await;
        let answer = raw(entry.address, read("/read")).await;
        assert_eq!(answer.said().0, outcome);
        assert!(answer.is_whole());
    }
}

#[tokio::test]
async fn an_answer_on_a_reused_connection_belongs_to_its_request() {
    // The first answer is followed at once by the start of another one.
    let extra = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nfirstHTTP/1.1 200 OK\r\ncontent-length: 7\r\n\r\ncrossed";
    let (target, _world, entry) =
        set_up(move |text, _| match text.starts_with("GET /read/first") {
            true => Act::Answer(extra.into()),
            false => ok("second"),
        })
        .await;
    for round in 0..20 {
        let first = raw(entry.address, read("/read/first")).await;
        assert_eq!(first.body, "first", "round {round}");
        let second = raw(entry.address, read("/read/second")).await;
        assert_eq!(second.body, "second", "round {round}");
    }
    assert!(
        target.connections() >= 20,
        "a connection with leftovers was used again"
    );
}

#[tokio::test]
async fn a_cancelled_exchanges_connection_is_not_used_again() {
    let (target, world, entry) = set_up(|text, _| match text.starts_with("GET /read/slow") {
        true => Act::Silence,
        false => ok("quick"),
    })
    .await;
    let slow = read("/read/slow").replace("connection: close\r\n", "");
    let gone = tokio::spawn(raw(entry.address, slow));
    while target.seen().is_empty() {
        tokio::task::yield_now().await;
    }
    gone.abort();
    while world.ends().is_empty() {
        tokio::task::yield_now().await;
    }
    assert_eq!(world.ends(), [End::Cancelled]);
    for _ in 0..4 {
        let answer = raw(entry.address, read("/read/quick")).await;
        assert_eq!(answer.body, "quick");
    }
    assert_eq!(
        target.connections(),
        2,
        "one given up, one shared by the others"
    );
}

#[tokio::test]
async fn a_head_without_a_body_is_whole() {
    let (_target, _world, entry) =
        set_up(|_, _| Act::Answer("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n".into())).await;
    let text = request("HEAD", "/read", &[bearer(KEY_A)], "");
    let answer = raw(entry.address, text).await;
    answer.expect(Outcome::Ran, Reason::Answered);
    assert_eq!(answer.header("content-length").as_deref(), Some("5"));
    let (_target, _world, entry) =
        set_up(|_, _| Act::Answer("HTTP/1.1 204 No Content\r\n\r\n".into())).await;
    raw(entry.address, read("/read"))
        .await
        .expect(Outcome::Ran, Reason::Answered);
}
