//! `sg-entry`: one entry instance.

use std::process::ExitCode;

use gumdrop::Options as _;
use sg_entry::{Options, Settings, daemon, logs, options};

/// The command line or the settings are wrong.
const USAGE: u8 = 2;
/// The daemon could not start or go on.
const FAILED: u8 = 1;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let options = match Options::parse_args_default(&arguments) {
        Ok(options) => options,
        Err(error) => return refuse(&format!("{error}; see 'sg-entry --help'")),
    };
    if options.help {
        println!("{}", options::usage());
        return ExitCode::SUCCESS;
    }
    if options.version {
        println!("sg-entry {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(file) = &options.settings else {
        return refuse("no settings are named; give --settings FILE");
    };
    let settings = match Settings::load(file) {
        Ok(settings) => settings,
        Err(error) => return refuse(&error.to_string()),
    };
    if options.check {
        println!("{}: the settings can be used", file.display());
        return ExitCode::SUCCESS;
    }
    if let Err(error) = logs::init(settings.logs.as_deref(), settings.instance.as_str()) {
        return refuse(&error.to_string());
    }
    match daemon::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("sg-entry: {error}");
            ExitCode::from(FAILED)
        }
    }
}

fn refuse(message: &str) -> ExitCode {
    eprintln!("sg-entry: {message}");
    ExitCode::from(USAGE)
}
