//! Shows races, lost answers, outages and interrupted writes: what is said is true, and a change
//! is made once at most.

use sg::Interrupt;
use sg_fake::store::{Control, Outage};

use crate::{gate::Mode, world::World};

const SET: &str = "tree set /accounts/x/rate 7/s";
const ID: &str = "000000000000000000000000000000ab";

#[tokio::test]
async fn the_loser_of_a_race_sees_the_winners_difference() {
    let world = World::start(21).await;
    world.gate.set(Mode::Wait);
    let winner = async {
        world.gate.reached().await;
        world.gate.set(Mode::Pass);
        let won = world.run("tree set /accounts/rate 40/s --author bob").await;
        world.gate.release();
        won
    };
    let (lost, won) = tokio::join!(world.run(SET), winner);
    won.expect("accepted");
    let error = lost.expect_err("overtaken");
    assert_eq!((error.code(), error.kind()), (sg::REFUSED, "race"));
    let text = error.to_string();
    assert!(
        text.contains("bob changed the tree to revision 2 first"),
        "{text}"
    );
    assert!(text.contains("~ /accounts/rate: 50/s -> 40/s"), "{text}");
    assert_eq!(
        error.to_json()["error"]["theirs"]["changes"][0]["after"],
        "40/s"
    );
    assert_eq!(world.value("/accounts/x/rate").await, None);
}

#[tokio::test]
async fn a_lost_answer_is_recognised_and_not_made_twice() {
    let world = World::start(22).await;
    world.gate.set(Mode::LoseAnswerOnce);
    let output = world.run(SET).await.expect("accepted");
    assert_eq!(output.json["revision"], 2);
    assert_eq!(output.json["repeated"], false);
    assert_eq!(world.revisions().await, 2);
}

/// The seed is that of the store of [`World`].
#[tokio::test]
async fn with_answers_lost_at_random_what_is_said_is_true() {
    let world = World::start(31).await;
    let lose = |share| {
        world.store.control(Control {
            lose_answers: Some(share),
            ..Control::default()
        });
    };
    let mut codes = Vec::new();
    for round in 0..24 {
        let id = format!("{:032x}", 0xb00 + round);
        let line = format!("tree set /accounts/x/rate {}/s --change {id}", round + 1);
        lose(0.7);
        let outcome = world.run(&line).await;
        lose(0.0);
        let history = world.run("tree history").await.expect("a history");
        let made = history.text.matches(&id).count();
        match &outcome {
            Ok(_) => assert_eq!(made, 1, "round {round}: accepted"),
            Err(error) if error.code() == sg::OUTAGE => assert_eq!(made, 0, "round {round}"),
            Err(error) => assert_eq!(error.code(), sg::UNKNOWN, "round {round}: {error}"),
        }
        codes.push(outcome.map_or_else(|error| error.code(), |_| sg::DONE));
        world.run(&line).await.expect("accepted now");
        let history = world.run("tree history").await.expect("a history");
        assert_eq!(history.text.matches(&id).count(), 1, "round {round}: once");
    }
    for code in [sg::DONE, sg::OUTAGE] {
        assert!(codes.contains(&code), "{code} came about: {codes:?}");
    }
}

#[tokio::test]
async fn a_change_in_doubt_is_repeated_and_takes_effect_once() {
    for (network, mode, revisions) in [(23, Mode::LoseAnswer, 2), (24, Mode::LoseWrite, 1)] {
        let world = World::start(network).await;
        world.gate.set(mode);
        let line = format!("{SET} --change {ID}");
        let error = world.run(&line).await.expect_err("in doubt");
        assert_eq!(error.code(), sg::UNKNOWN, "{error}");
        let text = error.to_string();
        assert!(text.contains(&format!("--change {ID}")), "{text}");
        assert!(text.contains("sg tree history"), "{text}");
        world.gate.set(Mode::Pass);
        assert_eq!(world.revisions().await, revisions);
        for round in 0..3 {
            let output = world.run(&line).await.expect("accepted");
            assert_eq!(output.json["revision"], 2, "{mode:?}, round {round}");
            let made_before = round > 0 || mode == Mode::LoseAnswer;
            assert_eq!(
                output.json["repeated"], made_before,
                "{mode:?}, round {round}"
            );
        }
        assert_eq!(world.revisions().await, 2);
        assert_eq!(
            world.value("/accounts/x/rate").await.as_deref(),
            Some("7/s")
        );
    }
}

#[tokio::test]
async fn a_key_in_doubt_says_that_it_is_gone() {
    let world = World::start(25).await;
    world.gate.set(Mode::LoseAnswer);
    let error = world.run("key add x k").await.expect_err("in doubt");
    assert_eq!(error.code(), sg::UNKNOWN);
    let text = error.to_string();
    assert!(text.contains("withdraw the key and add another"), "{text}");
    assert!(!text.contains("sgk_"), "{text}");
}

#[tokio::test]
async fn a_store_that_refuses_is_an_outage() {
    let world = World::start(26).await;
    world.store.control(Control {
        outage: Some(Outage::Refuse),
        ..Control::default()
    });
    for line in [
        SET,
        "tree get",
        "tree history",
        "key add x k",
        "drain region a",
    ] {
        let error = world.run(line).await.expect_err(line);
        assert_eq!(
            (error.code(), error.kind()),
            (sg::OUTAGE, "outage"),
            "{line}"
        );
    }
    world.store.control(Control {
        outage: Some(Outage::None),
        ..Control::default()
    });
    assert_eq!(world.revisions().await, 1);
}

#[tokio::test]
async fn a_store_that_hangs_is_an_outage() {
    let world = World::start(27).await;
    world.store.control(Control {
        outage: Some(Outage::Hang),
        ..Control::default()
    });
    // No answer will come, so that time may run ahead of the calls.
    tokio::time::pause();
    let error = world.run(SET).await.expect_err("no answer");
    assert_eq!(error.code(), sg::OUTAGE, "{error}");
}

#[tokio::test]
async fn an_interrupted_read_changes_nothing() {
    let world = World::start(28).await;
    world.store.control(Control {
        outage: Some(Outage::Hang),
        ..Control::default()
    });
    let interrupt = Interrupt::new(std::future::ready(()));
    let error = world.run_until(SET, interrupt).await.expect_err("ended");
    assert_eq!((error.code(), error.kind()), (sg::FAILED, "interrupted"));
    assert!(error.to_string().contains("nothing was changed"), "{error}");
}

/// Runs `line` and interrupts it when its write of the head is held.
async fn interrupted(world: &World, line: &str, then: impl AsyncFnOnce()) -> sg::Error {
    let (raise, raised) = tokio::sync::oneshot::channel::<()>();
    let interrupt = Interrupt::new(async {
        let _ = raised.await;
    });
    let operator = async {
        world.gate.reached().await;
        world.gate.set(Mode::Pass);
        then().await;
        raise.send(()).expect("the command runs");
    };
    let (outcome, ()) = tokio::join!(world.run_until(line, interrupt), operator);
    outcome.expect_err("interrupted")
}

#[tokio::test]
async fn an_interrupted_write_says_whether_it_took_effect() {
    let world = World::start(29).await;
    let line = format!("{SET} --change {ID}");

    world.gate.set(Mode::HangBefore);
    let error = interrupted(&world, &line, async || {}).await;
    assert_eq!(error.code(), sg::UNKNOWN, "{error}");
    assert!(
        error.to_string().contains(&format!("--change {ID}")),
        "{error}"
    );

    world.gate.set(Mode::HangAfter);
    let error = interrupted(&world, &line, async || {}).await;
    assert_eq!(error.kind(), "interrupted");
    let text = error.to_string();
    assert!(text.contains("written as revision 2"), "{text}");
    assert_eq!(
        world.value("/accounts/x/rate").await.as_deref(),
        Some("7/s")
    );

    world.gate.set(Mode::HangBefore);
    let other = "tree set /accounts/rate 40/s --author bob";
    let error = interrupted(&world, "tree set /accounts/y/rate 9/s", async || {
        world.run(other).await.expect("accepted");
    });
    let error = error.await;
    assert_eq!(error.code(), sg::REFUSED);
    assert!(
        error.to_string().contains("was not made, since bob"),
        "{error}"
    );
    assert_eq!(world.value("/accounts/y/rate").await, None);
}

#[tokio::test]
async fn an_interrupt_while_following_keeps_the_change() {
    let world = World::start(30).await;
    let admin = world.instance("e1").await;
    admin.serves(&crate::admin::status("e1", 1));
    let line = format!("{SET} --wait 1h --instances {}", world.list.address());
    let (raise, raised) = tokio::sync::oneshot::channel::<()>();
    let interrupt = Interrupt::new(async {
        let _ = raised.await;
    });
    world.gate.set(Mode::Wait);
    let operator = async {
        world.gate.reached().await;
        world.gate.release();
        while world.revisions().await < 2 {
            tokio::task::yield_now().await;
        }
        raise.send(()).expect("the command runs");
    };
    let (outcome, ()) = tokio::join!(world.run_until(&line, interrupt), operator);
    match outcome {
        Ok(output) => {
            let acceptance = &output.json["acceptance"];
            assert_eq!(acceptance["missing"][0]["instance"], "e1");
            assert_eq!(output.code, sg::PENDING);
        }
        // The interrupt may come before the store's answer; the store then tells.
        Err(error) => assert!(
            error.to_string().contains("written as revision 2"),
            "{error}"
        ),
    }
    assert_eq!(
        world.value("/accounts/x/rate").await.as_deref(),
        Some("7/s")
    );
}
