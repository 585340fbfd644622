//! Takes over the splits that other instances have in force, before the first request.
//!
//! A replaced instance that began with the tree's split in the middle of a shift would move its part
//! of the traffic at once, past the cap.

use std::net::SocketAddr;

use futures_util::future::join_all;
use reqwest::redirect;
use sg_peer::member::Status;
use sg_steer::split::Position;
use sg_types::prelude::*;

use crate::daemon::Parts;

/// The path on the admin address.
pub const PATH: &str = "/positions";
/// How long other instances are waited for.
const PATIENCE: Span = Span::from_secs(2);
/// How often to look whether other instances are known yet.
const LOOK: Span = Span::from_millis(50);
/// How long one instance may take to answer.
const TIMEOUT: Span = Span::from_millis(500);
/// How many instances are asked.
const ASKED: usize = 7;

/// Asks other instances for their splits and adopts them. Without others, the tree's split stays.
pub async fn adopt(parts: &Parts) {
    let addresses = others(parts).await;
    let Ok(http) = client() else {
        log::warn!("no HTTP client could be made; shifts in progress are not taken over");
        return;
    };
    let asked = addresses.into_iter().map(|address| ask(&http, address));
    let answers = join_all(asked).await;
    let positions: Vec<Position> = answers.into_iter().flatten().flatten().collect();
    parts.steer.adopt(&positions, parts.timer.now());
}

/// The admin addresses of other instances, once some are alive or none can be waited for longer.
async fn others(parts: &Parts) -> Vec<SocketAddr> {
    let deadline = parts.timer.now() + PATIENCE;
    loop {
        let now = parts.timer.now();
        let everybody = parts.node.members.everybody(now);
        let alive: Vec<SocketAddr> = everybody
            .iter()
            .filter(|member| member.status == Status::Alive)
            .filter_map(|member| member.place.admin)
            .take(ASKED)
            .collect();
        if !alive.is_empty() || now >= deadline {
            return alive;
        }
        parts.timer.sleep(LOOK).await;
    }
}

fn client() -> reqwest::Result<reqwest::Client> {
    reqwest::Client::builder()
        .redirect(redirect::Policy::none())
        .no_proxy()
        .timeout(TIMEOUT.into())
        .build()
}

async fn ask(http: &reqwest::Client, address: SocketAddr) -> Option<Vec<Position>> {
    let url = format!("http://{address}{PATH}");
    let answer = http.get(url).send().await.ok()?;
    answer.error_for_status().ok()?.json().await.ok()
}
