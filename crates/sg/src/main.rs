//! `sg`: the operators' command line.

use std::process::ExitCode;

use gumdrop::Options as _;
use sg::{Options, options};

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let options = match options::parse(std::env::args().skip(1)) {
        Ok(options) => options,
        Err(message) => {
            eprintln!("sg: {message}");
            return sg::USAGE.into();
        }
    };
    if options.version {
        println!("sg {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    if options.help_requested() {
        println!("{}", options::usage(&options));
        return ExitCode::SUCCESS;
    }
    match sg::run(&options).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&options, &error),
    }
}

fn fail(options: &Options, error: &sg::Error) -> ExitCode {
    if options.json {
        println!("{}", serde_json::json!({ "error": error.to_string() }));
    }
    eprintln!("sg: {error}");
    error.code()
}
