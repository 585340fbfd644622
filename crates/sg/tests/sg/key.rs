//! Shows that keys are shown once, never stored, and stay withdrawn.

use sg_store::Store as _;

use crate::world::World;

/// Every value of the store as text.
async fn values(world: &World) -> String {
    let page = world.client().list("sg/").await.expect("an answer");
    let values = page.entries.iter().map(|entry| {
        let value = String::from_utf8_lossy(&entry.value);
        format!("{} {value}\n", entry.key)
    });
    values.collect()
}

#[tokio::test]
async fn a_key_is_shown_once_and_never_stored() {
    let world = World::start(41).await;
    let added = world.run("key add x k").await.expect("accepted");
    let key = added.json["key"].as_str().expect("the key").to_owned();
    assert!(key.starts_with("sgk_"));
    assert!(added.text.contains(&format!("shown this once: {key}")));
    let stored = values(&world).await;
    let digest = sg_tree::Digest::of(&key).to_string();
    assert!(stored.contains(&digest), "the scan sees the key's digest");
    assert!(!stored.contains(&key), "the key is not stored");
    for line in ["key list x", "tree get", "tree history", "tree diff 1"] {
        let output = world.run(line).await.expect(line);
        assert!(!output.text.contains(&key), "{line}");
    }
}

#[tokio::test]
async fn keys_are_listed_and_withdrawn_and_a_revert_keeps_them_so() {
    let world = World::start(42).await;
    world.run("key add x k").await.expect("accepted");
    let list = async || world.run("key list x").await.expect("a list").json;
    assert_eq!(list().await["keys"][0]["withdrawn"], false);
    let output = world.run("key withdraw x k").await.expect("accepted");
    assert!(output.text.contains("1 withdrawn"), "{}", output.text);
    assert_eq!(list().await["keys"][0]["withdrawn"], true);
    // In revision 2 the key works.
    world.run("tree revert 2").await.expect("accepted");
    assert_eq!(list().await["keys"][0]["withdrawn"], true);
}

#[tokio::test]
async fn wrong_names_are_refused_with_a_remedy() {
    let world = World::start(43).await;
    world.run("key add x k").await.expect("accepted");
    let cases = [
        ("key add z k", "sg tree set /accounts/z/rate"),
        ("key add x k", "choose another name"),
        ("key withdraw x other", "sg key list"),
        ("key list z", "sg tree set /accounts/z/rate"),
    ];
    for (line, remedy) in cases {
        let error = world.run(line).await.expect_err(line);
        assert_eq!(error.code(), sg::REFUSED, "{line}");
        assert!(error.to_string().contains(remedy), "{line}: {error}");
    }
}
