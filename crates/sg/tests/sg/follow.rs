//! Shows that "accepted" means in force everywhere, or that nobody without it serves keyed routes.

use sg::Output;
use sg_tree::{Fault, Path};
use sg_types::prelude::*;

use crate::{
    admin::{Admin, node},
    world::World,
};

/// Three slots that are fenced after a second, as revision 2.
async fn world(network: u8) -> World {
    let world = World::start(network).await;
    let tree = crate::world::TREE.replacen('{', r#"{ "slots": "3", "validity": "1s","#, 1);
    let file = world.file("slots.json", &tree);
    let line = format!("tree apply {file}");
    world.run(&line).await.expect("written");
    world
}

/// Instances that hold a slot each and have these revisions in force.
async fn fleet(world: &World, revisions: &[u64]) -> Vec<Admin> {
    let mut admins = Vec::new();
    for (index, revision) in revisions.iter().enumerate() {
        let name = format!("e{index}");
        let admin = world.instance(&name).await;
        admin.tells(&node(&name, *revision, slots(index)));
        admins.push(admin);
    }
    admins
}

fn slots(index: usize) -> Vec<Slot> {
    vec![Slot::new(u32::try_from(index).expect("small"))]
}

/// Makes revision 3.
async fn change(world: &World, wait: &str) -> Output {
    let line = format!("tree set /deadline 3s --wait {wait}");
    let output = world.with_fleet(&line).await.expect("written");
    assert_eq!(output.json["written"], true);
    assert_eq!(output.json["revision"], 3);
    let accepted = output.json["accepted"].as_bool().expect("told");
    assert_eq!(accepted, output.json["acceptance"]["accepted"]);
    let code = if accepted { sg::DONE } else { sg::PENDING };
    assert_eq!(output.code, code);
    let text = &output.text;
    assert!(text.contains("written to the store as revision 3"));
    assert_eq!(text.contains("is not yet accepted"), !accepted, "{text}");
    assert_eq!(text.contains("'sg tree status 3'"), !accepted, "{text}");
    output
}

fn state(output: &Output) -> &str {
    output.json["acceptance"]["state"].as_str().expect("told")
}

#[tokio::test]
async fn a_change_in_force_everywhere_is_accepted() {
    let world = world(111).await;
    let _fleet = fleet(&world, &[3, 3, 3]).await;
    let output = change(&world, "1h").await;
    assert_eq!(state(&output), "everywhere");
    assert!(output.text.contains("in force on 3 of 3"));
}

#[tokio::test]
async fn a_silent_instance_is_waited_for_until_it_is_fenced() {
    let world = world(112).await;
    let _fleet = fleet(&world, &[3, 3]).await;
    let _silent = world.instance("e2").await;
    let output = change(&world, "1ms").await;
    assert_eq!(state(&output), "fencing");
    assert!(output.json["acceptance"]["fenced_in"].is_string());
    let missing = &output.json["acceptance"]["missing"][0];
    assert_eq!(
        (&missing["instance"], &missing["why"]),
        (&"e2".into(), &"silent".into())
    );
    assert!(output.text.contains("missing: e2 doesn't answer"));
    // Looking again without the patience for it tells the same; with it, that it is accepted.
    let output = world.with_fleet("tree status 3 --wait 1ms").await;
    assert_eq!(output.expect("told").code, sg::PENDING);
    let output = world.with_fleet("tree status --wait 1h").await;
    let output = output.expect("told");
    assert_eq!(
        (output.code, &output.json["state"]),
        (sg::DONE, &"fenced".into())
    );
    assert!(output.text.contains("must have fenced themselves"));
}

#[tokio::test]
async fn a_missing_majority_is_never_accepted() {
    let world = world(113).await;
    let _fleet = fleet(&world, &[3, 2]).await;
    let _silent = world.instance("e2").await;
    // Longer than the validity.
    let output = change(&world, "1500ms").await;
    assert_eq!(state(&output), "waiting");
    let text = &output.text;
    assert!(text.contains("no majority"), "{text}");
    assert!(
        text.contains("missing: e1 has revision 2 in force"),
        "{text}"
    );
}

#[tokio::test]
async fn a_refused_tree_is_not_accepted_and_its_faults_are_shown() {
    let world = world(114).await;
    let fleet = fleet(&world, &[3, 3, 2]).await;
    let mut refusing = node("e2", 2, slots(2));
    refusing.newest = Revision::new(3);
    refusing.faults = vec![Fault::error(Path::root(), "not understood", "update it")];
    fleet[2].tells(&refusing);
    // Longer than the validity: it knows of the change, so that it doesn't fence itself.
    let output = change(&world, "1500ms").await;
    assert_eq!(state(&output), "refused");
    let missing = &output.json["acceptance"]["missing"][0];
    assert_eq!(missing["why"], "refused");
    assert_eq!(missing["faults"][0]["problem"], "not understood");
    let text = &output.text;
    assert!(text.contains("missing: e2 refused revision 3"), "{text}");
    assert!(text.contains("update it"), "{text}");
}

#[tokio::test]
async fn an_instance_that_the_list_lags_behind_is_waited_for() {
    let world = world(115).await;
    let fleet = fleet(&world, &[3]).await;
    let mut other = node("e0", 3, slots(0));
    let json = serde_json::json!({
        "instance": "e9", "incarnation": null, "place": serde_json::to_value(&other.place).expect("writes"),
        "status": "alive", "listed": false, "revision": 2, "in_force": 2, "slots": [],
        "headroom": "100%", "heard": null
    });
    other.members = vec![serde_json::from_value(json).expect("a member")];
    fleet[0].tells(&other);
    let output = change(&world, "1ms").await;
    assert_eq!(output.json["acceptance"]["missing"][0]["instance"], "e9");
}

#[tokio::test]
async fn an_empty_list_accepts_nothing() {
    let world = world(116).await;
    let output = change(&world, "1ms").await;
    assert!(output.text.contains("is empty or can't be read"));
}

#[tokio::test]
async fn a_withdrawal_tells_the_same() {
    let world = World::start(117).await;
    world.run("key add x k").await.expect("written");
    let fleet = fleet(&world, &[2]).await;
    let line = "key withdraw x k --wait 1ms";
    let output = world.with_fleet(line).await.expect("written");
    assert_eq!(
        (output.code, &output.json["accepted"]),
        (sg::PENDING, &false.into())
    );
    fleet[0].tells(&node("e0", 3, slots(0)));
    let output = world.with_fleet("tree status").await.expect("told");
    assert_eq!(output.code, sg::DONE, "{}", output.text);
}

#[tokio::test]
async fn without_the_list_nothing_is_said_to_be_accepted() {
    let world = World::start(118).await;
    let output = world.run("tree set /deadline 3s").await.expect("written");
    assert_eq!(
        (&output.json["written"], &output.json["accepted"]),
        (&true.into(), &false.into())
    );
    assert!(output.text.contains("not known to be accepted"));
    let error = world.run("tree status 2").await.expect_err("no list");
    assert_eq!(error.code(), sg::USAGE);
    let error = world
        .with_fleet("tree status 9")
        .await
        .expect_err("no revision");
    assert_eq!(error.code(), sg::REFUSED);
}
