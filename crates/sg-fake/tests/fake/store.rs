//! The store: compare-and-swap, leases, watches, outages and lost answers.

use base64::{Engine, engine::general_purpose::STANDARD};
use serde_json::{Value, json};
use sg_fake::store::{Control, Options, Outage, Server};

use crate::{any_port, post};

async fn store() -> Server {
    let options = Options {
        listen: any_port(),
        seed: 1,
    };
    Server::start(options).await.expect("a store")
}

fn b64(text: &str) -> String {
    STANDARD.encode(text)
}

fn swap(key: &str, at: u64, value: &str, lease: &str) -> Value {
    json!({
        "compare": [{ "key": b64(key), "target": "MOD", "result": "EQUAL",
                      "mod_revision": at.to_string() }],
        "success": [{ "request_put": { "key": b64(key), "value": b64(value), "lease": lease } }],
        "failure": [{ "request_range": { "key": b64(key) } }]
    })
}

async fn count(store: &Server, key: &str) -> String {
    let found = post(store.address(), "/v3/kv/range", json!({ "key": b64(key) })).await;
    let found = found.expect("an answer");
    found["count"].as_str().expect("a count").to_owned()
}

#[tokio::test]
async fn a_swap_writes_only_what_it_expected() {
    let store = store().await;
    let first = post(store.address(), "/v3/kv/txn", swap("a", 0, "x", "0")).await;
    assert_eq!(first.expect("an answer")["succeeded"], true);
    let second = post(store.address(), "/v3/kv/txn", swap("a", 0, "y", "0")).await;
    let second = second.expect("an answer");
    assert_eq!(second["succeeded"], false);
    let found = &second["responses"][0]["response_range"]["kvs"][0];
    assert_eq!(found["value"], b64("x"));
    let third = post(store.address(), "/v3/kv/txn", swap("a", 1, "y", "0")).await;
    assert_eq!(third.expect("an answer")["succeeded"], true);
}

#[tokio::test]
async fn a_lost_answer_leaves_the_write_in_force() {
    let store = store().await;
    store.control(Control {
        lose_answers: Some(1.0),
        ..Control::default()
    });
    post(store.address(), "/v3/kv/txn", swap("a", 0, "x", "0"))
        .await
        .expect_err("the answer is lost");
    assert_eq!(count(&store, "a").await, "1");
}

#[tokio::test]
async fn an_outage_resets_calls_and_ends() {
    let store = store().await;
    let outage = |outage| Control {
        outage: Some(outage),
        ..Control::default()
    };
    store.control(outage(Outage::Refuse));
    post(store.address(), "/v3/kv/range", json!({}))
        .await
        .expect_err("the store is down");
    store.control(outage(Outage::None));
    assert_eq!(count(&store, "a").await, "0");
}

#[tokio::test]
async fn keys_vanish_with_their_lease_and_watchers_see_it() {
    let store = store().await;
    let lease = post(store.address(), "/v3/lease/grant", json!({ "TTL": "60" })).await;
    let lease = lease.expect("a lease")["ID"].clone();
    let id = lease.as_str().expect("a number");
    post(store.address(), "/v3/kv/txn", swap("a", 0, "x", id))
        .await
        .expect("written");
    let url = format!("http://{}/v3/watch", store.address());
    let create = json!({ "create_request": { "key": b64("a"), "start_revision": "2" } });
    let request = reqwest::Client::new().post(url).json(&create);
    let mut watch = request.send().await.expect("a watch");
    let created = watch
        .chunk()
        .await
        .expect("a message")
        .expect("not the end");
    assert!(String::from_utf8_lossy(&created).contains("\"created\":true"));
    assert_eq!(store.calls().watches, 1);
    post(store.address(), "/v3/lease/revoke", json!({ "ID": lease }))
        .await
        .expect("revoked");
    let event = watch
        .chunk()
        .await
        .expect("a message")
        .expect("not the end");
    assert!(String::from_utf8_lossy(&event).contains("\"type\":\"DELETE\""));
    assert_eq!(count(&store, "a").await, "0");
}

#[tokio::test]
async fn a_value_over_the_limit_is_refused() {
    let store = store().await;
    let large = "x".repeat(sg_store::MAX_VALUE + 1);
    let answer = post(store.address(), "/v3/kv/txn", swap("a", 0, &large, "0")).await;
    assert_eq!(answer.expect("an answer")["code"], 3);
    assert_eq!(count(&store, "a").await, "0");
}

#[tokio::test]
async fn calls_are_counted() {
    let store = store().await;
    for _ in 0..3 {
        count(&store, "a").await;
    }
    assert_eq!(store.calls().calls["/v3/kv/range"], 3);
}
