//! Cases with clients that send further safe requests before the first one is answered.

use std::{
    io::{self, Write as _},
    net::{Shutdown, TcpStream},
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    client::{read_response, request_head, sleep_until},
    deployment::{Deployment, Needs, Record, SAFE_PATH},
    node::TERM,
};

const NEEDS: Needs = Needs {
    machines: 3,
    servers: 28,
    slots: 9,
    queue: 27,
    work: Duration::from_millis(880),
    timeout_seconds: 4,
};
const DEADLINE: Duration = Duration::from_secs(4);

/// The connections, one client each, to each machine.
const CLIENTS: u32 = 60;
/// The share of the clients that leave, the largest of the entries `give_up` of the site files, in tenths.
const LEAVING_TENTHS: u32 = 3;
const PIPELINE: u32 = 4;
/// When a client leaves: half the objective, as `fleetbench kinds` says of `give_up`.
const LEAVES_AFTER: Duration = Duration::from_millis(300);
/// The time after a client has left from which an arrival, or work, counts as late.
const LATE: Duration = Duration::from_millis(500);
/// What the rule calls a few.
const FEW: usize = 5;

/// Clients close their connections while a request is at work and others wait behind it.
pub fn left(record: &Record, leaves: bool) -> io::Result<Verdict> {
    let deployment = Deployment::start(NEEDS, record.clone())?;
    let mut clients = Vec::new();
    for (machine, node) in deployment.nodes.iter().enumerate() {
        for number in 0..CLIENTS {
            let leaves = leaves && number % 10 < LEAVING_TENTHS;
            let (record, address) = (record.clone(), node.front());
            thread::sleep(Duration::from_millis(5));
            clients.push(thread::spawn(
                move || -> io::Result<(Vec<String>, Option<Instant>)> {
                    let ids =
                        (0..PIPELINE).map(|index| format!("p{}-{number:02}-{index}", machine + 1));
                    let ids: Vec<String> = ids.collect();
                    let mut stream = TcpStream::connect(address)?;
                    stream.set_read_timeout(Some(Duration::from_secs(10)))?;
                    for id in &ids {
                        let head = request_head("GET", SAFE_PATH, id, DEADLINE, "", None);
                        stream.write_all(head.as_bytes())?;
                        record.line(format!("{id} sent to {address}: GET"));
                    }
                    if leaves {
                        thread::sleep(LEAVES_AFTER);
                        stream.shutdown(Shutdown::Both)?;
                        drop(stream);
                        record.line(format!(
                            "{} .. {} given up: connection closed",
                            ids[0],
                            ids[ids.len() - 1]
                        ));
                        return Ok((ids, Some(Instant::now())));
                    }
                    for id in &ids {
                        let (head, _) = read_response(&stream)?;
                        record.line(format!("{id} answered {}", head.status()));
                    }
                    Ok((ids, None))
                },
            ));
        }
    }
    let clients: Vec<_> = clients
        .into_iter()
        .map(|client| client.join().expect("client"))
        .collect();
    thread::sleep(Duration::from_secs(6));
    let (mut late_arrivals, mut would_last, mut still_at_work) = (0, 0, 0);
    for client in clients {
        let (ids, left_at) = client?;
        for id in ids {
            for run in deployment.arrivals.of(&id) {
                record.line_at(run.at, format!("{id} reached server {}", run.server));
                let (Some(run_at), Some(ended_at)) = (run.run_at, run.ended_at) else {
                    continue;
                };
                let end = if run.is_dropped { "dropped" } else { "done" };
                record.line_at(run_at, format!("{id} ran at {}", run.server));
                record.line_at(ended_at, format!("{id} {end} at {}", run.server));
                let Some(left_at) = left_at else {
                    continue;
                };
                if run.at > left_at + LATE {
                    late_arrivals += 1;
                } else if run_at < left_at && run_at + NEEDS.work > left_at + LATE {
                    would_last += 1;
                    still_at_work += usize::from(ended_at > left_at + LATE);
                }
            }
        }
    }
    record.line(format!(
        "{late_arrivals} requests reached a server over 0.5 s after their client had left"
    ));
    record.line(format!(
        "of {would_last} requests at work that would have lasted 0.5 s longer, {still_at_work} did"
    ));
    Ok(
        match late_arrivals > FEW || still_at_work * 4 > would_last {
            true => Verdict::Broken,
            false => Verdict::Held,
        },
    )
}

const READING_CLIENTS: u32 = 20;
const RESPONSE_BYTES: usize = 540_000;
/// The time between the requests that a client sends on its connection.
const REQUEST_GAP: Duration = Duration::from_millis(60);
/// The time from a client's first request to the signal.
const TERM_AFTER: Duration = Duration::from_millis(300);

/// A machine is stopped while clients have sent further requests behind the one at work.
pub fn stopped(record: &Record, stops: bool) -> io::Result<Verdict> {
    let deployment = Deployment::start(NEEDS, record.clone())?;
    let node = &deployment.nodes[0];
    let address = node.front();
    let started = Instant::now();
    let more = format!("Reply-Bytes: {RESPONSE_BYTES}\r\n");
    let clients = (0..READING_CLIENTS).map(|number| {
        let (record, more) = (record.clone(), more.clone());
        thread::spawn(move || {
            let ids: Vec<String> = (0..3)
                .map(|index| format!("s{number:02}-{index}"))
                .collect();
            let read = || -> io::Result<u16> {
                let mut stream = TcpStream::connect(address)?;
                stream.set_read_timeout(Some(Duration::from_secs(10)))?;
                for (index, id) in (0..).zip(&ids) {
                    let head = request_head("GET", SAFE_PATH, id, DEADLINE, &more, None);
                    sleep_until(started + REQUEST_GAP * index);
                    stream.write_all(head.as_bytes())?;
                    record.line(format!("{id} sent to {address}: GET"));
                }
                let (head, body) = read_response(&stream)?;
                if body.len() < RESPONSE_BYTES && head.status() == 200 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
                Ok(head.status())
            };
            (read(), ids)
        })
    });
    let clients: Vec<_> = clients.collect();
    sleep_until(started + TERM_AFTER);
    if stops {
        node.signal(TERM);
        record.line(format!("{} gets SIGTERM", node.name));
    }
    let mut lost = 0;
    for client in clients {
        let (result, ids) = client.join().expect("client");
        for id in &ids {
            for run in deployment.arrivals.of(id) {
                let Some(run_at) = run.run_at else {
                    continue;
                };
                record.line_at(run_at, format!("{id} ran at {}", run.server));
                if let Some(ended_at) = run.ended_at {
                    let end = if run.is_dropped { "dropped" } else { "done" };
                    record.line_at(ended_at, format!("{id} {end} at {}", run.server));
                }
            }
        }
        let first = &ids[0];
        match result {
            Ok(status) => record.line(format!("{first} answered {status}")),
            Err(error) => {
                record.line(format!("{first} got no complete answer: {error}"));
                lost += u32::from(!deployment.arrivals.of(first).is_empty());
            }
        }
    }
    record.line(format!(
        "{lost} requests were passed on and got no complete answer"
    ));
    Ok(match lost > 0 {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}
