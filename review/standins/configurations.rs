//! A case with a change of the configuration.

use std::{
    io, thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    client::{exchange, head_with_key, sleep_until},
    deployment::{
        Deployment, FIRST_VERSION, KEY, Needs, OTHER_KEY, Record, SAFE_PATH, config, route,
    },
};

const NEEDS: Needs = Needs {
    machines: 3,
    servers: 12,
    slots: 9,
    queue: 27,
    work: Duration::from_millis(50),
    timeout_seconds: 4,
};
const DEADLINE: Duration = Duration::from_secs(4);
/// The bound `configApplyS`, and a margin for the time from here to the daemon.
const APPLY_TIME: Duration = Duration::from_millis(2_500);
const MARGIN: Duration = Duration::from_millis(500);
/// How long, and how often, clients send after that.
const TIME: Duration = Duration::from_secs(6);
const INTERVAL: Duration = Duration::from_millis(100);
const NEW_PATH: &str = "/fiti832/ti23/2f";
const NEW_PREFIX: &str = "/fiti832/ti23/";

/// A version withdraws a key and adds a route for large responses. With trouble the type of the new route is
/// `download`, without it `safe`.
pub fn new_type(record: &Record, has_new_type: bool) -> io::Result<Verdict> {
    let deployment = Deployment::start(NEEDS, record.clone())?;
    let addresses: Vec<_> = deployment.nodes.iter().map(|node| node.front()).collect();
    let send = |name: &str, path: &str, key: &str| -> io::Result<Vec<u16>> {
        let statuses = addresses.iter().enumerate().map(|(machine, address)| {
            let id = format!("{name}-{}", machine + 1);
            let head = head_with_key(path, &id, DEADLINE, key);
            record.line(format!("{id} sent to {address}: GET {path} with key {key}"));
            let status = exchange(*address, &head, b"")?.0.status();
            record.line(format!("{id} answered {status}"));
            if let Some(run_at) = deployment
                .arrivals
                .of(&id)
                .first()
                .and_then(|run| run.run_at)
            {
                record.line_at(run_at, format!("{id} ran"));
            }
            Ok(status)
        });
        statuses.collect()
    };
    let before = [
        send("before-a", SAFE_PATH, KEY)?,
        send("before-b", SAFE_PATH, OTHER_KEY)?,
    ];
    if before.iter().flatten().any(|status| *status != 200) {
        return Err(io::Error::other(
            "a request before the change was not served",
        ));
    }
    let kind = if has_new_type { "download" } else { "safe" };
    let version = FIRST_VERSION + 4;
    let new_route = route("r-kiybhxy", NEW_PREFIX, kind, NEEDS.timeout_seconds);
    let text = config(version, NEEDS.timeout_seconds, &[KEY], &[new_route]);
    deployment.store.put("op/config", &text);
    let changed_at = Instant::now();
    record.line(format!(
        "version {version} acknowledged: key {OTHER_KEY} withdrawn, route {NEW_PREFIX} of type {kind} added"
    ));
    sleep_until(changed_at + APPLY_TIME + MARGIN);
    let (mut ran, mut missed) = (0, 0);
    for round in 0.. {
        if changed_at.elapsed() > APPLY_TIME + MARGIN + TIME {
            break;
        }
        let withdrawn = send(&format!("withdrawn-{round:02}"), SAFE_PATH, OTHER_KEY)?;
        ran += withdrawn.iter().filter(|status| **status == 200).count();
        let added = send(&format!("added-{round:02}"), NEW_PATH, KEY)?;
        missed += added.iter().filter(|status| **status == 404).count();
        thread::sleep(INTERVAL);
    }
    record.line(format!("{ran} requests ran with the withdrawn key"));
    record.line(format!(
        "{missed} requests on the new route were refused with 404"
    ));
    Ok(match ran + missed > 0 {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}
