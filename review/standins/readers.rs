//! A case with clients that read slowly.

use std::{
    io::{self, Read as _, Write as _},
    net::TcpStream,
    thread,
    time::Duration,
};

use crate::{
    Verdict,
    client::{read_response, request_head},
    deployment::{Deployment, Needs, Record, SAFE_PATH},
};

const NEEDS: Needs = Needs {
    machines: 3,
    servers: 28,
    slots: 9,
    queue: 27,
    work: Duration::from_millis(300),
    timeout_seconds: 10,
};
const CLIENTS: u32 = 8;
const DEADLINE: Duration = Duration::from_secs(10);
const RESPONSE_BYTES: usize = 540_000;
/// How much of the response a client has read when it pauses, and for how long it pauses.
const READ_BEFORE_PAUSE: usize = 100_000;
const PAUSE: Duration = Duration::from_secs(3);
/// How many connections may be closed without an answer, by the rule `LOST`.
const ALLOWED: usize = 3;

/// Clients pause while they read a large response on a connection that they have used before.
pub fn paused(record: &Record, pauses: bool) -> io::Result<Verdict> {
    let deployment = Deployment::start(NEEDS, record.clone())?;
    let mut clients = Vec::new();
    for (machine, node) in deployment.nodes.iter().enumerate() {
        for number in 0..CLIENTS {
            let (record, address) = (record.clone(), node.front());
            thread::sleep(Duration::from_millis(30));
            clients.push(thread::spawn(move || -> io::Result<(String, bool)> {
                let name = |part| format!("r{}-{number:02}-{part}", machine + 1);
                let (first, second) = (name("small"), name("large"));
                let mut stream = TcpStream::connect(address)?;
                stream.set_read_timeout(Some(Duration::from_secs(12)))?;
                let head = request_head("GET", SAFE_PATH, &first, DEADLINE, "", None);
                stream.write_all(head.as_bytes())?;
                record.line(format!("{first} sent to {address}: GET"));
                let (head, _) = read_response(&stream)?;
                record.line(format!("{first} answered {}", head.status()));
                let more = format!("Reply-Bytes: {RESPONSE_BYTES}\r\n");
                let head = request_head("GET", SAFE_PATH, &second, DEADLINE, &more, None);
                stream.write_all(head.as_bytes())?;
                record.line(format!("{second} sent to {address}: GET"));
                let end = read_with_pause(&mut stream, pauses);
                let is_complete = end.is_ok();
                match end {
                    Ok(()) => record.line(format!("{second} answered in full")),
                    Err((read, error)) => {
                        record.line(format!("{second} ends after {read} bytes: {error}"));
                    }
                }
                Ok((second, is_complete))
            }));
        }
    }
    let mut lost = 0;
    for client in clients {
        let (id, is_complete) = client.join().expect("client")?;
        for run in deployment.arrivals.of(&id) {
            record.line_at(run.at, format!("{id} reached server {}", run.server));
            if let Some(at) = run.ended_at.filter(|_| !run.is_dropped) {
                record.line_at(at, format!("{id} done at {}", run.server));
                lost += usize::from(!is_complete);
            }
        }
    }
    record.line(format!(
        "{lost} responses were cut off by the daemon that had passed the request on"
    ));
    Ok(match lost > ALLOWED {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}

/// Reads a response of more than [`RESPONSE_BYTES`], with a pause. Returns how many bytes arrived if the
/// connection ends before.
fn read_with_pause(stream: &mut TcpStream, pauses: bool) -> Result<(), (usize, io::Error)> {
    let mut buffer = vec![0; 16 << 10];
    let (mut read, mut has_paused) = (0, !pauses);
    while read < RESPONSE_BYTES {
        match stream.read(&mut buffer) {
            Ok(0) => return Err((read, io::ErrorKind::UnexpectedEof.into())),
            Ok(count) => read += count,
            Err(error) => return Err((read, error)),
        }
        if !has_paused && read >= READ_BEFORE_PAUSE {
            thread::sleep(PAUSE);
            has_paused = true;
        }
    }
    Ok(())
}
