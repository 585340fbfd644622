//! The operators' command line: the tree of settings, keys, drains, and what the fleet reports.
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]

mod change;
mod context;
pub mod drain;
mod error;
pub mod explain;
pub mod fleet;
pub mod follow;
mod interrupt;
pub mod key;
pub mod options;
mod output;
pub mod status;
pub mod story;
pub mod tree;
pub mod why;

pub use change::Plan;
pub use context::Context;
pub use error::{DONE, Error, FAILED, OUTAGE, PENDING, REFUSED, UNKNOWN, USAGE};
pub use interrupt::Interrupt;
pub use options::Options;
pub use output::Output;

use std::pin::pin;

use options::Command;

/// Runs the command that `options` name, until it is done or the operator interrupts it.
///
/// # Errors
/// See [`Error`]; its code is the exit code.
pub async fn run(options: &Options, interrupt: Interrupt) -> Result<Output, Error> {
    let context = Context::new(options, interrupt.clone())?;
    let mut work = pin!(command(&context, options));
    tokio::select! {
        outcome = &mut work => return outcome,
        () = interrupt.raised() => {}
    }
    if interrupt.writing() {
        // The command says itself whether the change took effect.
        return work.await;
    }
    Err(Error::Interrupted(
        "interrupted; nothing was changed".to_owned(),
    ))
}

async fn command(context: &Context, options: &Options) -> Result<Output, Error> {
    let Some(command) = &options.command else {
        return Err(incomplete("a command"));
    };
    if command.changes()
        && let Some(output) = context.repeated().await?
    {
        return Ok(output);
    }
    match command {
        Command::Tree(tree) => match &tree.command {
            Some(command) => tree::run(context, command).await,
            None => Err(incomplete("what to do with the tree")),
        },
        Command::Key(key) => match &key.command {
            Some(command) => key::run(context, command).await,
            None => Err(incomplete("what to do with keys")),
        },
        Command::Drain(options) => drain::run(context, options).await,
        Command::Status(_) => status::run(context).await,
        Command::Explain(options) => explain::run(context, options).await,
        Command::Why(options) => why::run(context, options).await,
    }
}

fn incomplete(what: &str) -> Error {
    Error::Usage(format!(
        "name {what}; see 'sg --help' and 'sg COMMAND --help'"
    ))
}
