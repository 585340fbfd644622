//! Runs one case of the review: `standins CASE FOLDER`. Writes `record.txt` into the folder.
//!
//! Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run. With the
//! environment variable `TROUBLE=0` the case runs without its disruption.

mod client;
mod configurations;
mod deployment;
mod http;
mod json;
mod memory;
mod node;
mod pipelines;
mod readers;
mod server;
mod store;

use std::{path::PathBuf, process::ExitCode, time::Duration};

use deployment::Record;

/// The longest time that a case may take, less than the 120 s that a script may run.
const MOST_TIME: Duration = Duration::from_secs(112);

/// Whether the rule held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: standins CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = match Record::create(&PathBuf::from(folder).join("record.txt")) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("no record: {error}");
            return ExitCode::from(2);
        }
    };
    std::thread::spawn(|| {
        std::thread::sleep(MOST_TIME);
        eprintln!("the case took too long");
        // The daemons end with this process.
        std::process::exit(2);
    });
    let result = match case.as_str() {
        "uploads" => memory::uploads(&record, has_trouble),
        "readers-paused" => readers::paused(&record, has_trouble),
        "new-type" => configurations::new_type(&record, has_trouble),
        "pipelines-left" => pipelines::left(&record, has_trouble),
        "pipelines-stopped" => pipelines::stopped(&record, has_trouble),
        _ => {
            eprintln!("no case is called {case}");
            return ExitCode::from(2);
        }
    };
    match result {
        Ok(Verdict::Held) => {
            record.line("verdict: the rule held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken) => {
            record.line("verdict: the rule was broken");
            ExitCode::from(1)
        }
        Err(error) => {
            record.line(format!("the case could not run: {error}"));
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
