//! Stand-ins of the platform, its servers and its clients, and the scripts of the cases of this review.
//!
//! `standins CASE FOLDER` plays a case from the repository's root and writes `record.txt` into FOLDER. With
//! `TROUBLE=0` it plays the same without the disruption. The exit code is 0 if the rule held, 1 if it was broken,
//! and 2 if the case could not run.

mod crowd;
mod http;
mod json;
mod left;
mod memory;
mod node;
mod record;
mod restore;
mod server;
mod store;

use std::{process::ExitCode, thread, time::Duration};

/// The time after which a case could not run.
const TIME_LIMIT: Duration = Duration::from_secs(110);

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder] = arguments.as_slice() else {
        eprintln!("usage: standins CASE FOLDER");
        return ExitCode::from(2);
    };
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        eprintln!("the case could not run: the time is over");
        std::process::exit(2);
    });
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let result = match case.as_str() {
        "memory" => memory::play(folder, has_trouble),
        "left" => left::play(folder, has_trouble),
        "restore" => restore::play(folder, has_trouble),
        other => Err(std::io::Error::other(format!("no case is called '{other}'"))),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
