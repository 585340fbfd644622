//! A zone loses power. Its machines and servers come back together, and the servers are cold.

use std::collections::HashMap;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::case::{Fleet, Record, Verdict, has_trouble};
use crate::client::{Clients, Plan};
use crate::server::{Options, Server};

/// What the pages allow a cold server in one second: coldPerS x coldOvershoot + coldSlack.
const ALLOWED: f64 = 13.0 * 1.5 + 5.0;
const COLD_START: Duration = Duration::from_secs(3);
const OUTAGE: Duration = Duration::from_millis(1_500);

const CONFIG: &str = r#"{"version":7,"services":[{"name":"trial-desk","healthPath":"/health","maxConnections":390,"protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":13.0}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15},"hosts":[{"hostname":"ficu95.example","paths":[{"name":"r-diary","pathPrefix":"/lohu930/","type":"safe","timeoutS":0.8,"targetLatencyS":0.3,"priority":2,"service":"trial-desk","attempts":2,"public":false,"sessionAffinity":true,"homeRegions":["darkhan"]}]}]}"#;

pub fn run(folder: &Path) -> Verdict {
    let mut record = Record::new();
    let zones = [
        "dk-north", "dk-north", "ub-east", "ub-west", "dk-south", "er-west", "er-east",
    ];
    let lost = [0, 1];
    let mut fleet = Fleet::start(&zones, CONFIG);
    let store = fleet.store.clone();
    let network = fleet.network;
    let start_server = |host: u8, run: u32, zone: &str, cold| {
        let options = Options {
            id: format!("i-{host:02x}{run:02x}91c2"),
            service: "trial-desk".to_owned(),
            address: network.address(host, 8700 + run as u16),
            zone: zone.to_owned(),
            slots: 6,
            work: Duration::from_millis(40),
            cold,
            poison: None,
        };
        Server::start(options, &store)
    };
    let mut servers: Vec<Server> = (0..2)
        .map(|index| start_server(60 + index, 1, "dk-north", Duration::ZERO))
        .collect();
    let mut all = servers.clone();
    all.push(start_server(70, 1, "dk-south", Duration::ZERO));
    let settled = fleet.wait_until_ready();
    if !settled {
        record.write(
            folder,
            &["not run: the machines did not become ready".to_owned()],
        );
        return Verdict::NotRun;
    }
    record.note("all machines ready");
    thread::sleep(Duration::from_secs(3));
    let plan = Plan {
        host: "ficu95.example".to_owned(),
        method: "GET",
        path: "/lohu930/".to_owned(),
        key: None,
        deadline_ms: 2_000,
        objects: 96,
    };
    let near = Clients::start(&fleet.fronts(&lost), &plan, 115.0, 60);
    let far = Clients::start(&fleet.fronts(&[2, 3, 4, 5, 6]), &plan, 20.0, 10);
    thread::sleep(Duration::from_secs(5));
    if has_trouble() {
        record.note("zone dk-north loses power");
        servers.drain(..).for_each(|server| server.lose_power());
        lost.iter().for_each(|index| fleet.nodes[*index].kill());
        thread::sleep(OUTAGE);
        record.note("zone dk-north has power again");
        for index in 0..2 {
            servers.push(start_server(60 + index, 2, "dk-north", COLD_START));
        }
        all.extend(servers.iter().cloned());
        lost.iter().for_each(|index| fleet.nodes[*index].start());
    }
    thread::sleep(Duration::from_secs(6));
    let mut sent = near.finish();
    sent.extend(far.finish());
    record.add_sent(&sent);
    let sent_at: HashMap<&str, Instant> =
        sent.iter().map(|one| (one.id.as_str(), one.at)).collect();
    let mut summary = Vec::new();
    let mut most = 0;
    let mut cold = 0;
    for server in &all {
        let arrivals = server.arrivals();
        record.add_arrivals(server.id(), &arrivals);
        let counted = arrivals
            .iter()
            .filter(|one| one.is_cold && one.status != 421);
        let spans = counted.filter_map(|one| Some((*sent_at.get(one.id.as_str())?, one.at)));
        let spans: Vec<(Instant, Instant)> = spans.collect();
        cold += spans.len();
        // A request counts if it was sent and arrived inside the same second.
        let counts = spans.iter().map(|(start, _)| {
            let end = *start + Duration::from_secs(1);
            spans
                .iter()
                .filter(|(sent, arrived)| sent >= start && *arrived <= end)
                .count()
        });
        let Some(count) = counts.max() else {
            continue;
        };
        most = most.max(count);
        summary.push(format!("cold server {}: at most {count} requests sent and arrived in one second; allowed {ALLOWED}", server.id()));
    }
    let served = sent.iter().filter(|one| one.status == 200).count();
    summary.push(format!(
        "{} requests sent, {served} served, {cold} at cold servers",
        sent.len()
    ));
    let verdict = match most as f64 > ALLOWED {
        true => Verdict::Broken,
        false => Verdict::Held,
    };
    summary.push(format!("FAILBACK: {verdict:?}"));
    if served == 0 {
        summary.push("not run: nothing was served".to_owned());
        record.write(folder, &summary);
        return Verdict::NotRun;
    }
    record.write(folder, &summary);
    verdict
}
