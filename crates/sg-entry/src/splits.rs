//! Adopts the splits that other instances have in force, before the first request.
//!
//! An instance that restarts during a shift and uses the tree's split would move its part of the
//! traffic at once and exceed the shift cap.

use std::net::SocketAddr;

use futures_util::future::join_all;
use reqwest::redirect;
use sg_peer::member::Status;
use sg_steer::split::ServiceSplit;
use sg_types::prelude::*;

use crate::daemon::Components;

/// Path of the splits on the admin address.
pub const PATH: &str = "/positions";
/// Time limit for finding another live instance.
const DISCOVERY_TIMEOUT: Span = Span::from_secs(2);
/// Interval between checks for another live instance.
const POLL_INTERVAL: Span = Span::from_millis(50);
/// Timeout of a request to one instance.
const REQUEST_TIMEOUT: Span = Span::from_millis(500);
/// Maximum number of instances whose splits are fetched.
const MAX_PEERS: usize = 7;

/// Fetches the splits of other instances and adopts them. Keeps the tree's split if there are no
/// other instances.
pub async fn adopt(components: &Components) {
    let addresses = peer_admin_addresses(components).await;
    let Ok(http) = build_client() else {
        log::warn!(
            // The target appears in log lines, so it stays as it is when the module is renamed.
            target: "sg_entry::positions",
            "no HTTP client could be made; shifts in progress are not taken over"
        );
        return;
    };
    let requests = addresses
        .into_iter()
        .map(|address| fetch_splits(&http, address));
    let responses = join_all(requests).await;
    let splits: Vec<ServiceSplit> = responses.into_iter().flatten().flatten().collect();
    components
        .steering
        .adopt_splits(&splits, components.timer.now());
}

/// Returns the admin addresses of live instances, waiting up to [`DISCOVERY_TIMEOUT`] for the first
/// one.
async fn peer_admin_addresses(components: &Components) -> Vec<SocketAddr> {
    let deadline = components.timer.now() + DISCOVERY_TIMEOUT;
    loop {
        let now = components.timer.now();
        let peers = components.node.members.everybody(now);
        let alive: Vec<SocketAddr> = peers
            .iter()
            .filter(|member| member.status == Status::Alive)
            .filter_map(|member| member.place.admin)
            .take(MAX_PEERS)
            .collect();
        if !alive.is_empty() || now >= deadline {
            return alive;
        }
        components.timer.sleep(POLL_INTERVAL).await;
    }
}

fn build_client() -> reqwest::Result<reqwest::Client> {
    reqwest::Client::builder()
        .redirect(redirect::Policy::none())
        .no_proxy()
        .timeout(REQUEST_TIMEOUT.into())
        .build()
}

async fn fetch_splits(http: &reqwest::Client, address: SocketAddr) -> Option<Vec<ServiceSplit>> {
    let url = format!("http://{address}{PATH}");
    let response = http.get(url).send().await.ok()?;
    response.error_for_status().ok()?.json().await.ok()
}
