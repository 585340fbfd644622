//! A request crashes each server that begins to run it, and comes again: while the machines are restarted in turn, while
//! the servers start again under the ids that they had, or where a service has few servers.

use std::collections::HashMap;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::case::{Fleet, Record, Verdict, has_trouble, wait_until_ready};
use crate::client::{self, Clients, Plan, Sent};
use crate::server::{Options, Server};

const STABILITY_WINDOW: Duration = Duration::from_secs(4);
const GRACE: Duration = Duration::from_secs(6);
/// The retries that may still reach servers.
const ALLOWED: usize = 3;
/// The time from one restart of a machine to the next one.
const ROLL_GAP: Duration = Duration::from_secs(2);
/// The time after which a crashed server is back.
const SERVER_RESTART: Duration = Duration::from_secs(3);
const LENGTH: Duration = Duration::from_secs(58);

const CONFIG: &str = r#"{"version":7,"services":[{"name":"trial-desk","healthPath":"/health","maxConnections":390,"protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":13.0}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15},"hosts":[{"hostname":"ficu95.example","paths":[{"name":"r-fitting","pathPrefix":"/pufi791/","type":"unsafe","timeoutS":1,"targetLatencyS":0.4,"priority":1,"service":"trial-desk","attempts":2,"public":false,"sessionAffinity":true,"homeRegions":[]}]}]}"#;

/// What happens while the request comes again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// The machines are restarted in turn. Servers start again under new ids.
    Roll,
    /// Servers start again under the ids that they had.
    SameIds,
    /// The service has three servers, which start again under new ids.
    FewServers,
}

impl Kind {
    /// Returns the interval at which the request comes again.
    fn return_interval(self) -> Duration {
        Duration::from_secs(match self {
            Kind::Roll | Kind::FewServers => 1,
            Kind::SameIds => 5,
        })
    }
}

/// The time in which a machine is disturbed: from the signal until it has run for the stability window.
type Disturbed = Vec<(usize, Instant, Instant)>;

pub fn run(folder: &Path, kind: Kind) -> Verdict {
    let mut record = Record::new();
    let zones = [
        "ub-east", "ub-west", "dk-north", "dk-south", "er-west", "er-east", "ub-east",
    ];
    let config = match kind {
        Kind::Roll | Kind::FewServers => CONFIG.to_owned(),
        Kind::SameIds => CONFIG.replace("\"homeRegions\":[]", "\"homeRegions\":[\"darkhan\"]"),
    };
    let mut fleet = Fleet::start(&zones, &config);
    let (store, network) = (fleet.store.clone(), fleet.network);
    let has_trouble = has_trouble();
    let start_server = move |host: u8, run: u16| {
        let id_run = match kind == Kind::SameIds && has_trouble {
            true => 1,
            false => run,
        };
        let options = Options {
            id: format!("i-{host:02x}{id_run:02x}91c2"),
            service: "trial-desk".to_owned(),
            address: network.address(host, 8700 + run),
            zone: zones[usize::from(host) % 6].to_owned(),
            slots: 6,
            work: Duration::from_millis(100),
            cold: Duration::ZERO,
            poison: Some("/pufi791/poison".to_owned()),
        };
        Server::start(options, &store)
    };
    let hosts = match kind {
        Kind::FewServers => 60..63,
        Kind::Roll | Kind::SameIds => 60..72,
    };
    let mut running: Vec<(Server, u16, Option<Instant>)> =
        hosts.map(|host| (start_server(host, 1), 1, None)).collect();
    let mut all: Vec<Server> = running.iter().map(|(server, ..)| server.clone()).collect();
    if !fleet.wait_until_ready() {
        record.write(
            folder,
            &["not run: the machines did not become ready".to_owned()],
        );
        return Verdict::NotRun;
    }
    record.note("all machines ready");
    thread::sleep(Duration::from_secs(5));
    let plan = |path: &str| Plan {
        host: "ficu95.example".to_owned(),
        method: "POST",
        path: path.to_owned(),
        key: None,
        deadline_ms: 2_500,
        objects: 35,
    };
    let others = Clients::start(
        &fleet.fronts(&[0, 1, 2, 3, 4, 5, 6]),
        &plan("/pufi791/book"),
        10.0,
        5,
    );
    let (begin, mut round) = (Instant::now(), 0);
    let mut next_return = begin;
    let mut next_roll = begin + ROLL_GAP;
    let mut rolled = 0;
    let mut stopping: Option<(usize, Instant)> = None;
    let mut disturbed = Disturbed::new();
    let mut returns: Vec<(usize, Sent)> = Vec::new();
    while begin.elapsed() < LENGTH {
        thread::sleep(Duration::from_millis(20));
        let now = Instant::now();
        for (index, (server, run, down_since)) in running.iter_mut().enumerate() {
            match down_since {
                None if server.has_ended() => {
                    record.note(format!("server {} crashed", server.id()));
                    *down_since = Some(now);
                }
                Some(since) if now - *since >= SERVER_RESTART => {
                    *run += 1;
                    *server = start_server(60 + index as u8, *run);
                    all.push(server.clone());
                    *down_since = None;
                }
                _ => {}
            }
        }
        // Without the disruption, the service of few servers gets no such request.
        let has_poison = kind != Kind::FewServers || has_trouble;
        if has_poison && now >= next_return {
            next_return += kind.return_interval();
            let plan = Plan {
                objects: 1,
                ..plan("/pufi791/poison")
            };
            // A client whose machine takes no connection asks the next one.
            for _ in 0..zones.len() {
                let index = round % zones.len();
                round += 1;
                if stopping.is_some_and(|(stopping, _)| stopping == index) {
                    continue;
                }
                let sent = client::send(&mut None, fleet.nodes[index].front, &plan);
                let was_taken = sent.status != 0 || sent.at.elapsed() > Duration::from_millis(5);
                returns.push((index, sent));
                if was_taken {
                    break;
                }
            }
        }
        if kind == Kind::Roll
            && has_trouble
            && stopping.is_none()
            && rolled < zones.len()
            && now >= next_roll
        {
            record.note(format!("SIGTERM for {}", fleet.nodes[rolled].name));
            fleet.nodes[rolled].signal("TERM");
            stopping = Some((rolled, now));
        }
        if let Some((index, since)) = stopping {
            let node = &mut fleet.nodes[index];
            if node.has_ended() || now - since >= GRACE {
                node.kill();
                node.start();
                if !wait_until_ready(node, Instant::now() + Duration::from_secs(5)) {
                    record.note(format!("{} is not ready after its restart", node.name));
                }
                record.note(format!("{} runs again", node.name));
                disturbed.push((index, since, Instant::now() + STABILITY_WINDOW));
                stopping = None;
                rolled += 1;
                next_roll += ROLL_GAP;
            }
        }
    }
    let other_requests = others.finish();
    record.add_sent(&other_requests);
    let poisoned: Vec<Sent> = returns.iter().map(|(_, sent)| sent.clone()).collect();
    record.add_sent(&poisoned);
    let mut arrivals: HashMap<String, Instant> = HashMap::new();
    let mut crashes = Vec::new();
    let mut lost = 0;
    for server in &all {
        let list = server.arrivals();
        record.add_arrivals(server.id(), &list);
        for one in list
            .iter()
            .filter(|one| poisoned.iter().any(|sent| sent.id == one.id))
        {
            arrivals.insert(one.id.clone(), one.at);
            if one.status == 200 {
                crashes.push(one.at);
            }
        }
    }
    for one in &other_requests {
        lost += usize::from(one.status == 0 || one.status == 502);
    }
    crashes.sort();
    let mut summary = vec![format!(
        "{} servers crashed by the request, sent {} times",
        crashes.len(),
        returns.len()
    )];
    summary.push(format!(
        "{} other requests, {lost} of them lost",
        other_requests.len()
    ));
    let mut counted = 0;
    if let Some(third) = crashes.get(2) {
        for (index, sent) in &returns {
            let Some(arrived) = arrivals.get(&sent.id) else {
                continue;
            };
            let is_late = sent.at > *third + STABILITY_WINDOW;
            let in_touch = !disturbed.iter().any(|(machine, from, until)| {
                machine == index && arrived >= from && sent.at <= *until
            });
            record.add(*arrived, format!("return {} reached a server from machine {index}, later than the window: {is_late}, in touch: {in_touch}", sent.id));
            counted += usize::from(is_late && in_touch);
        }
    }
    summary.push(format!("{counted} retries reached servers from machines in touch later than 4 s after the third crash; allowed {ALLOWED}"));
    let verdict = match counted > ALLOWED {
        true => Verdict::Broken,
        false => Verdict::Held,
    };
    summary.push(format!("BUDGET: {verdict:?}"));
    let is_valid = (!crashes.is_empty() || (kind == Kind::FewServers && !has_trouble))
        && other_requests.iter().any(|one| one.status == 200);
    record.write(folder, &summary);
    if is_valid { verdict } else { Verdict::NotRun }
}
