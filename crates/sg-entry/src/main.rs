//! `sg-entry`: the daemon of one entry instance.

use std::process::ExitCode;

use gumdrop::Options as _;
use sg_entry::{Options, Settings, daemon, logs, options};

/// Exit code for an invalid command line or invalid settings.
const EXIT_USAGE: u8 = 2;
/// Exit code for a daemon that could not start or continue.
const EXIT_FAILURE: u8 = 1;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let options = match Options::parse_args_default(&arguments) {
        Ok(options) => options,
        Err(error) => return fail_with_usage(&format!("{error}; see 'sg-entry --help'")),
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
        return fail_with_usage("no settings file is given; pass --settings FILE");
    };
    let settings = match Settings::load(file) {
        Ok(settings) => settings,
        Err(error) => return fail_with_usage(&error.to_string()),
    };
    if options.check {
        println!("{}: the settings are valid", file.display());
        return ExitCode::SUCCESS;
    }
    if let Err(error) = logs::init(settings.logs.as_deref(), settings.instance.as_str()) {
        return fail_with_usage(&error.to_string());
    }
    match daemon::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("sg-entry: {error}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

fn fail_with_usage(message: &str) -> ExitCode {
    eprintln!("sg-entry: {message}");
    ExitCode::from(EXIT_USAGE)
}
