//! Shows the commands that read and change the tree.

use sg_store::{Store as _, head};

use crate::world::{TREE, World, never, parse};

#[tokio::test]
async fn a_value_is_set_read_and_unset() {
    let world = World::start(1).await;
    let set = world.run("tree set /accounts/x/rate 7/s").await;
    let set = set.expect("accepted");
    assert!(
        set.text.contains("~ /accounts/x/rate: 50/s -> 7/s"),
        "{}",
        set.text
    );
    assert!(set.text.contains("x: rate 50/s -> 7/s"), "{}", set.text);
    assert_eq!(set.json["revision"], 2);
    assert_eq!(
        world.value("/accounts/x/rate").await.as_deref(),
        Some("7/s")
    );
    let unset = world.run("tree unset /accounts/x/rate").await;
    let unset = unset.expect("accepted");
    assert!(unset.text.contains("(inherited again)"), "{}", unset.text);
    assert_eq!(world.value("/accounts/x/rate").await, None);
}

#[tokio::test]
async fn values_in_force_tell_their_source() {
    let world = World::start(2).await;
    let output = world.run("tree get --effective /accounts/x").await;
    let output = output.expect("a list");
    let lines: Vec<&str> = output.text.lines().collect();
    let line = |name: &str| {
        let found = lines.iter().find(|line| line.contains(name));
        found.unwrap_or_else(|| panic!("{name}: {}", output.text))
    };
    assert!(line("/accounts/x/rate").ends_with("(inherited from /accounts)"));
    assert!(line("/accounts/x/burst").ends_with("(default)"));
    let columns: Vec<_> = lines.iter().map(|line| line.find('(')).collect();
    assert!(
        columns.iter().all(|at| *at == columns[0]),
        "{}",
        output.text
    );
    let value = world.run("tree get --effective /accounts/y/rate").await;
    assert_eq!(value.expect("a value").json["settings"][0]["value"], "50/s");
}

#[tokio::test]
async fn a_difference_names_heirs_between_revisions_and_files() {
    let world = World::start(3).await;
    world
        .run("tree set /accounts/rate 40/s")
        .await
        .expect("accepted");
    let wanted = "~ /accounts/rate: 50/s -> 40/s; inherited by /accounts/x, /accounts/y";
    let output = world.run("tree diff 1 2").await.expect("a difference");
    assert_eq!(output.text, wanted);
    assert_eq!(output.json["changes"][0]["heirs"][1], "/accounts/y");
    let file = world.file("old.json", TREE);
    let output = world.run(&format!("tree diff {file}")).await;
    assert_eq!(output.expect("a difference").text, wanted);
}

#[tokio::test]
async fn the_history_has_dates_and_a_revert_goes_forward() {
    let world = World::start(4).await;
    world
        .run("tree set /deadline 3s --note slower")
        .await
        .expect("accepted");
    world.run("tree revert 1").await.expect("accepted");
    assert_eq!(world.value("/deadline").await, None);
    let history = world.run("tree history").await.expect("a history");
    assert_eq!(history.text.lines().count(), 3);
    assert!(history.text.contains("ann  slower"), "{}", history.text);
    let date = history.json["revisions"][0]["date"].as_str();
    let date = date.expect("a date");
    assert!(date.starts_with("20") && date.ends_with('Z'), "{date}");
}

#[tokio::test]
async fn faults_are_refused_with_path_and_remedy() {
    let world = World::start(5).await;
    let cases = [
        ("tree set /accounts/x/rate 0/s", "write it like 50/s"),
        ("tree set /accounts/x/rate 9000/s", "add targets"),
        (
            "tree set /services/desk/shift-cap 101%",
            "write it like 12.5%",
        ),
        ("tree unset /accounts/z", "'sg tree get'"),
        ("tree get /accounts/z", "'sg tree get'"),
        ("tree diff 1 9", "'sg tree history'"),
        ("tree revert 9", "'sg tree history'"),
    ];
    for (line, remedy) in cases {
        let error = world.run(line).await.expect_err(line);
        assert_eq!(error.code(), sg::REFUSED, "{line}: {error}");
        assert!(error.to_string().contains(remedy), "{line}: {error}");
    }
    assert_eq!(world.revisions().await, 1);
}

#[tokio::test]
async fn a_standing_fault_holds_up_no_withdrawal() {
    let world = World::start(9).await;
    world.run("key add x k").await.expect("accepted");
    let mut tree = world.client_tree().await;
    tree.set(&"/accounts/x/rate".parse().expect("a path"), "9000/s");
    world.publish(&tree).await;
    let output = world.run("key withdraw x k").await.expect("accepted");
    assert!(
        output.text.contains("error: /accounts"),
        "it is told: {}",
        output.text
    );
    let error = world.run("tree set /accounts/x/rate 9500/s").await;
    error.expect_err("a worse one is refused");
    world
        .run("tree set /accounts/x/rate 50/s")
        .await
        .expect("the repair is accepted");
}

#[tokio::test]
async fn a_check_tells_warnings_and_errors_apart() {
    let world = World::empty(6).await;
    let warned = TREE.replace("\"x\": {}", "\"x\": { \"burst\": 1 }");
    let warned = warned.replace(
        "{\n  \"regions\"",
        "{ \"fleet\": { \"slots\": 2 }, \"regions\"",
    );
    let file = world.file("warned.json", &warned);
    let output = world.run(&format!("tree check {file}")).await;
    let output = output.expect("no error");
    assert!(
        output.text.ends_with("no errors, 1 warnings"),
        "{}",
        output.text
    );
    assert_eq!(output.json["warnings"][0]["path"], "/accounts/x/burst");
    let wrong = world.file("wrong.json", &TREE.replace("9002", "9001"));
    let error = world.run(&format!("tree check {wrong}")).await;
    let error = error.expect_err("an error");
    assert_eq!(error.code(), sg::REFUSED);
    assert_eq!(error.to_json()["error"]["kind"], "faults");
    assert_eq!(error.to_json()["error"]["faults"][0]["severity"], "error");
    let error = world.run("tree check /nowhere").await.expect_err("no file");
    assert_eq!((error.code(), error.kind()), (sg::USAGE, "file"));
}

#[tokio::test]
async fn a_dry_run_writes_nothing() {
    let world = World::start(7).await;
    let writes = || world.store.calls().calls["/v3/kv/txn"];
    let version = async || {
        let head = world.client().get(head::KEY).await.expect("an answer");
        head.expect("a head").version
    };
    let (before, at) = (writes(), version().await);
    for line in [
        "tree set /accounts/x/rate 7/s",
        "key add x k",
        "drain target desk/ta1",
        "tree revert 1",
    ] {
        let output = world.run(&format!("{line} --dry-run")).await;
        let output = output.expect(line);
        assert!(output.text.contains("not made (--dry-run)"), "{line}");
        assert!(!output.text.contains("sgk_"), "{line}");
    }
    assert_eq!((writes(), version().await), (before, at));
    world.run("key add x k").await.expect("accepted");
    assert!(writes() > before, "the count tells writes");
}

#[tokio::test]
async fn a_wrong_line_is_a_usage_error() {
    for line in ["tree", "key", "status", "tree get"] {
        let options = parse(line);
        let error = sg::run(&options, never()).await.expect_err(line);
        assert_eq!(error.code(), sg::USAGE, "{line}: {error}");
        assert_eq!(error.to_json()["error"]["kind"], "usage");
    }
}

#[tokio::test]
async fn the_examples_have_no_error() {
    let world = World::empty(8).await;
    for user in ["ezelthuis", "batbayar"] {
        let root = env!("CARGO_MANIFEST_DIR");
        let line = format!("tree check {root}/../../examples/{user}/tree.json");
        let output = world.run(&line).await.expect("no error");
        assert!(output.text.contains("no errors"), "{}", output.text);
    }
}
