//! Tests that the fake servers produce the faults that they offer.

mod list;
mod store;
mod target;

use std::net::SocketAddr;

use serde_json::Value;

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

async fn post(address: SocketAddr, path: &str, body: Value) -> reqwest::Result<Value> {
    let url = format!("http://{address}{path}");
    let response = reqwest::Client::new().post(url).json(&body).send().await?;
    response.json().await
}
