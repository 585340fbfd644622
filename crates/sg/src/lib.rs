//! The operators' command line: the tree of settings, keys, drains, and what the fleet reports.
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]

mod context;
pub mod drain;
mod error;
pub mod explain;
pub mod fleet;
pub mod key;
pub mod options;
pub mod status;
pub mod tree;
pub mod why;

pub use context::Context;
pub use error::{DONE, Error, FAILED, OUTAGE, REFUSED, UNKNOWN, USAGE};
pub use options::Options;

use options::Command;

/// Runs the command that `options` name.
///
/// # Errors
/// See [`Error`]; its code is the exit code.
pub async fn run(options: &Options) -> Result<(), Error> {
    let context = Context::new(options)?;
    match &options.command {
        None => Err(incomplete("a command")),
        Some(Command::Tree(tree)) => match &tree.command {
            Some(command) => tree::run(&context, command).await,
            None => Err(incomplete("what to do with the tree")),
        },
        Some(Command::Key(key)) => match &key.command {
            Some(command) => key::run(&context, command).await,
            None => Err(incomplete("what to do with keys")),
        },
        Some(Command::Drain(options)) => drain::run(&context, options).await,
        Some(Command::Status(_)) => status::run(&context).await,
        Some(Command::Explain(options)) => explain::run(&context, options).await,
        Some(Command::Why(options)) => why::run(&context, options).await,
    }
}

fn incomplete(what: &str) -> Error {
    Error::Usage(format!(
        "name {what}; see 'sg --help' and 'sg COMMAND --help'"
    ))
}
