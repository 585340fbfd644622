//! Tests of the store: compare-and-swap, leases, watches, outages and lost responses.

use base64::{Engine, engine::general_purpose::STANDARD};
use serde_json::{Value, json};
use sg_fake::store::{Control, Options, Outage, Server};

use crate::{any_port, post};

async fn start_store() -> Server {
    let options = Options {
        listen: any_port(),
        seed: 1,
    };
    Server::start(options).await.expect("a store")
}

fn b64(text: &str) -> String {
    STANDARD.encode(text)
}

fn compare_and_swap(key: &str, expected_revision: u64, value: &str, lease: &str) -> Value {
    json!({
        "compare": [{ "key": b64(key), "target": "MOD", "result": "EQUAL",
                      "mod_revision": expected_revision.to_string() }],
        "success": [{ "request_put": { "key": b64(key), "value": b64(value), "lease": lease } }],
        "failure": [{ "request_range": { "key": b64(key) } }]
    })
}

async fn count_keys(store: &Server, key: &str) -> String {
    let found = post(store.address(), "/v3/kv/range", json!({ "key": b64(key) })).await;
    let found = found.expect("a response");
    found["count"].as_str().expect("a count").to_owned()
}

#[tokio::test]
async fn compare_and_swap_writes_only_at_the_expected_revision() {
    let store = start_store().await;
    let first = post(
        store.address(),
        "/v3/kv/txn",
        compare_and_swap("a", 0, "x", "0"),
    )
    .await;
    assert_eq!(first.expect("a response")["succeeded"], true);
    let second = post(
        store.address(),
        "/v3/kv/txn",
        compare_and_swap("a", 0, "y", "0"),
    )
    .await;
    let second = second.expect("a response");
    assert_eq!(second["succeeded"], false);
    let found = &second["responses"][0]["response_range"]["kvs"][0];
    assert_eq!(found["value"], b64("x"));
    let third = post(
        store.address(),
        "/v3/kv/txn",
        compare_and_swap("a", 1, "y", "0"),
    )
    .await;
    assert_eq!(third.expect("a response")["succeeded"], true);
}

#[tokio::test]
async fn write_with_a_lost_response_takes_effect() {
    let store = start_store().await;
    store.control(Control {
        lose_answers: Some(1.0),
        ..Control::default()
    });
    post(
        store.address(),
        "/v3/kv/txn",
        compare_and_swap("a", 0, "x", "0"),
    )
    .await
    .expect_err("the response is lost");
    assert_eq!(count_keys(&store, "a").await, "1");
}

#[tokio::test]
async fn outage_resets_connections_until_it_ends() {
    let store = start_store().await;
    let outage = |outage| Control {
        outage: Some(outage),
        ..Control::default()
    };
    store.control(outage(Outage::Refuse));
    post(store.address(), "/v3/kv/range", json!({}))
        .await
        .expect_err("the store is down");
    store.control(outage(Outage::None));
    assert_eq!(count_keys(&store, "a").await, "0");
}

#[tokio::test]
async fn revoked_lease_removes_its_keys_and_notifies_watches() {
    let store = start_store().await;
    let lease = post(store.address(), "/v3/lease/grant", json!({ "TTL": "60" })).await;
    let lease = lease.expect("a lease")["ID"].clone();
    let id = lease.as_str().expect("a number");
    post(
        store.address(),
        "/v3/kv/txn",
        compare_and_swap("a", 0, "x", id),
    )
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
    assert_eq!(count_keys(&store, "a").await, "0");
}

#[tokio::test]
async fn oversized_value_is_refused() {
    let store = start_store().await;
    let large = "x".repeat(sg_store::MAX_VALUE + 1);
    let response = post(
        store.address(),
        "/v3/kv/txn",
        compare_and_swap("a", 0, &large, "0"),
    )
    .await;
    assert_eq!(response.expect("a response")["code"], 3);
    assert_eq!(count_keys(&store, "a").await, "0");
}

#[tokio::test]
async fn calls_are_counted() {
    let store = start_store().await;
    for _ in 0..3 {
        count_keys(&store, "a").await;
    }
    assert_eq!(store.calls().calls["/v3/kv/range"], 3);
}
