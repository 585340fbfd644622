//! Stand-ins of the platform's store, of servers and of clients, with the cases of this review.

#![allow(dead_code)]

mod case;
mod client;
mod cold_start;
mod http;
mod json;
mod node;
mod poison;
mod server;
mod store;

use std::path::Path;
use std::thread;
use std::time::Duration;

/// The longest time that a case may run.
const TIME_LIMIT: Duration = Duration::from_secs(110);

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(name), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: standins CASE FOLDER");
        std::process::exit(2);
    };
    let folder = Path::new(&folder);
    // The instances end with this program.
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        eprintln!("the case took too long");
        std::process::exit(case::Verdict::NotRun.code());
    });
    let verdict = match name.as_str() {
        "cold-start" => cold_start::run(folder),
        "poison-roll" => poison::run(folder, poison::Kind::Roll),
        "poison-few" => poison::run(folder, poison::Kind::FewServers),
        "poison-ids" => poison::run(folder, poison::Kind::SameIds),
        other => {
            eprintln!("unknown case {other}");
            case::Verdict::NotRun
        }
    };
    std::process::exit(verdict.code());
}
