//! The `sg-load` command: runs a load file and prints the report.

use std::{path::PathBuf, process::ExitCode};

use gumdrop::Options as _;
use sg_load::{
    fault::Commands,
    plan::Plan,
    report::Report,
    run::{self, Progress},
};
use sg_types::prelude::*;

/// Exit code of a run that failed or in which a fault was not carried out.
const INCOMPLETE_RUN_EXIT_CODE: u8 = 2;

#[derive(Debug, gumdrop::Options)]
struct Cli {
    #[options(help = "show this help and exit")]
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, gumdrop::Options)]
enum Command {
    #[options(help = "carry out a load file; exit code 1 when a promise was broken")]
    Run(RunFlags),
}

#[derive(Debug, gumdrop::Options)]
struct RunFlags {
    #[options(help = "show this help and exit")]
    help: bool,
    #[options(free, help = "the load file", required)]
    file: Option<PathBuf>,
    #[options(help = "print one JSON object instead of a table")]
    json: bool,
    #[options(help = "another seed than the file's")]
    seed: Option<u64>,
    #[options(help = "call for this long instead of the file's", meta = "SPAN")]
    duration: Option<Span>,
    #[options(help = "wait until all entries answer look-ups", meta = "SPAN")]
    wait: Option<Span>,
    #[options(help = "ask for faults of processes and the tree here", meta = "FILE")]
    commands: Option<PathBuf>,
    #[options(help = "find the answers to --commands here", meta = "FILE")]
    acks: Option<PathBuf>,
}

#[derive(Debug, thiserror::Error)]
enum Error {
    #[error("no command; name one of: run")]
    NoCommand,
    #[error("no load file; name one, for instance examples/ezelthuis/load.json")]
    NoFile,
    #[error(transparent)]
    Plan(#[from] sg_load::plan::Error),
    #[error(transparent)]
    Run(#[from] run::Error),
    #[error("the report can't be written: {0}; this is a fault of the program, please report it")]
    Json(#[from] serde_json::Error),
}

/// Reports progress on the standard error stream.
struct Stderr;

impl Progress for Stderr {
    fn calls_made(&mut self, made: usize, all: usize) {
        eprintln!("sg-load: {made} of {all} calls");
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let cli = Cli::parse_args_default_or_exit();
    match execute(cli).await {
        Ok(code) => code,
        Err(error) => {
            eprintln!("sg-load: {error}");
            ExitCode::from(INCOMPLETE_RUN_EXIT_CODE)
        }
    }
}

async fn execute(cli: Cli) -> Result<ExitCode, Error> {
    let Command::Run(flags) = cli.command.ok_or(Error::NoCommand)?;
    let mut plan = Plan::read(flags.file.ok_or(Error::NoFile)?)?;
    plan.seed = flags.seed.unwrap_or(plan.seed);
    plan.duration = flags.duration.unwrap_or(plan.duration);
    if let Some(timeout) = flags.wait {
        run::wait_until_ready(&plan, timeout).await?;
    }
    let commands = flags.commands.zip(flags.acks);
    let commands = commands.map(|(requests, acks)| Commands { requests, acks });
    let report = run::run(plan, commands, &mut Stderr).await?;
    if flags.json {
        println!("{}", serde_json::to_string(&report)?);
    } else {
        print!("{report}");
    }
    Ok(exit_code(&report))
}

/// Returns exit code 1 if a promise was broken, else 2 if a fault was not carried out, because such a
/// run tests less than planned.
fn exit_code(report: &Report) -> ExitCode {
    match (
        report.violations.is_empty(),
        report.failed_faults.is_empty(),
    ) {
        (false, _) => ExitCode::FAILURE,
        (true, false) => ExitCode::from(INCOMPLETE_RUN_EXIT_CODE),
        (true, true) => ExitCode::SUCCESS,
    }
}
