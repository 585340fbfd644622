//! `sg`: the operators' command line.

use std::process::ExitCode;

use gumdrop::Options as _;
use sg::{Error, Interrupt, options};

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let json = args.iter().any(|arg| arg == "--json");
    let options = match options::parse(args) {
        Ok(options) => options,
        Err(message) => return fail(json, &Error::Usage(message)),
    };
    if options.version {
        println!("sg {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    if options.help_requested() {
        println!("{}", options::usage(&options));
        return ExitCode::SUCCESS;
    }
    match sg::run(&options, Interrupt::new(control_c())).await {
        Ok(output) => {
            println!("{}", output.render(json));
            output.code.into()
        }
        Err(error) => fail(json, &error),
    }
}

/// Ends when the operator presses Ctrl-C; never, if the system can't tell.
async fn control_c() {
    if tokio::signal::ctrl_c().await.is_err() {
        std::future::pending::<()>().await;
    }
}

fn fail(json: bool, error: &Error) -> ExitCode {
    if json {
        println!("{}", error.to_json());
    }
    eprintln!("sg: {error}");
    error.code().into()
}
