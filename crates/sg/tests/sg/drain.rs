//! Shows drains: refused where they would break a cap or overload, and followed to the last
//! request.

use crate::{
    admin::{held, split, status},
    world::World,
};

#[tokio::test]
async fn a_target_is_drained_and_put_back() {
    let world = World::start(61).await;
    let output = world.run("drain target desk/ta1").await.expect("accepted");
    assert!(
        output
            .text
            .contains("/services/desk/targets/ta1/drain: no -> yes"),
        "{}",
        output.text
    );
    assert!(
        output.text.contains("desk in a:"),
        "headroom: {}",
        output.text
    );
    world
        .run("drain target desk/ta1 --undo")
        .await
        .expect("accepted");
    let path = "/services/desk/targets/ta1/drain";
    assert_eq!(world.value(path).await, None);
}

#[tokio::test]
async fn a_failure_domain_and_an_entry_are_drained() {
    let world = World::start(62).await;
    world
        .run("tree set /services/desk/split/a/weight 0% --dry-run")
        .await
        .expect_err("the weights don't add up");
    world.run("drain entry e9").await.expect("accepted");
    let drained = world.value("/entries/e9/drain").await;
    assert_eq!(drained.as_deref(), Some("yes"));
    let output = world.run("drain domain a1").await.expect("accepted");
    assert!(output.text.contains("regions/a/domains/a1/drain"));
}

#[tokio::test]
async fn an_overload_is_refused() {
    let world = World::start(63).await;
    world
        .run("tree set /accounts/rate 190/s")
        .await
        .expect("accepted");
    let error = world.run("drain target desk/ta1").await;
    let error = error.expect_err("190/s on one target that carries 200/s");
    assert_eq!((error.code(), error.kind()), (sg::REFUSED, "faults"));
    assert!(
        error
            .to_string()
            .contains("with its drains the region carries 200/s"),
        "{error}"
    );
}

#[tokio::test]
async fn a_region_is_drained_only_when_its_part_is_gone() {
    let world = World::start(64).await;
    let error = world.run("drain region a").await.expect_err("has weight");
    assert_eq!(error.code(), sg::REFUSED);
    let text = error.to_string();
    assert!(
        text.contains("50% of the traffic of service 'desk' (in the tree)"),
        "{text}"
    );
    assert!(
        text.contains("/services/desk/split/a/weight to 0%"),
        "{text}"
    );

    let moved = crate::world::TREE
        .replace(
            "\"a\": { \"weight\": \"50%\" }",
            "\"a\": { \"weight\": \"0%\" }",
        )
        .replace(
            "\"b\": { \"weight\": \"50%\" }",
            "\"b\": { \"weight\": \"100%\" }",
        );
    let file = world.file("moved.json", &moved);
    let line = format!("tree apply {file}");
    world.run(&line).await.expect("accepted");

    let admin = world.instance("e1").await;
    let mut state = status("e1", 3);
    state.splits.push(split("30%", 4));
    admin.serves(&state);
    let error = world.with_fleet("drain region a").await;
    let error = error.expect_err("the shift goes on");
    assert!(error.to_string().contains("30% of the traffic"), "{error}");

    state.splits[0] = split("0%", 1);
    admin.serves(&state);
    let error = world.with_fleet("drain region a").await;
    error.expect_err("a request runs there");

    state.splits[0] = split("0%", 0);
    admin.serves(&state);
    world
        .with_fleet("drain region a")
        .await
        .expect("nothing runs there");
}

#[tokio::test]
async fn progress_goes_to_the_last_request() {
    let world = World::start(65).await;
    let error = world.run("drain --status target desk/ta1").await;
    let error = error.expect_err("not drained");
    assert!(error.to_string().contains("is not drained"), "{error}");

    let admin = world.instance("e1").await;
    let mut state = status("e1", 2);
    state.held.push(held("ta1", 3));
    state.splits.push(split("50%", 3));
    admin.serves(&state);
    let output = world.with_fleet("drain target desk/ta1").await;
    let output = output.expect("accepted");
    assert_eq!(output.json["drain"]["in_flight"], 3);
    assert!(output.text.contains("3 requests in flight there"));
    assert!(output.text.contains("headroom 50.00%"), "{}", output.text);

    let line = "drain --status target desk/ta1";
    let output = world.with_fleet(line).await.expect("progress");
    assert_eq!(output.json["done"], false);

    let waiting = format!("{line} --wait 1h");
    let ends = async {
        state.held[0].in_flight = 0;
        admin.serves(&state);
    };
    let (output, ()) = tokio::join!(world.with_fleet(&waiting), ends);
    assert_eq!(output.expect("progress").json["done"], true);
}

#[tokio::test]
async fn the_last_entry_is_not_drained() {
    let world = World::start(66).await;
    let admin = world.instance("e1").await;
    admin.serves(&status("e1", 1));
    let error = world.with_fleet("drain entry e1").await;
    let error = error.expect_err("the last one");
    assert!(error.to_string().contains("put another one"), "{error}");
    let other = world.instance("e2").await;
    other.serves(&status("e2", 1));
    let line = "drain entry e1 --wait 1ms";
    world.with_fleet(line).await.expect("e2 is left");
}

#[tokio::test]
async fn unknown_names_are_refused() {
    let world = World::start(67).await;
    for line in [
        "drain target ta1",
        "drain target desk/none",
        "drain domain none",
        "drain region none",
    ] {
        let error = world.run(line).await.expect_err(line);
        assert_eq!(error.code(), sg::REFUSED);
        assert!(error.to_string().contains("SERVICE/TARGET"), "{error}");
    }
}
