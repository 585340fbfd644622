//! The command line.

use std::{net::SocketAddr, path::PathBuf};

use gumdrop::Options as _;
use sg_tree::Path;
use sg_types::prelude::*;

/// Options that take a value and may stand anywhere on the command line.
const VALUED: [&str; 6] = [
    "--store",
    "--instances",
    "--author",
    "--note",
    "--wait",
    "--change",
];
/// Options without a value that may stand anywhere.
const FLAGS: [&str; 2] = ["--json", "--dry-run"];

/// The operators' command line.
#[derive(Debug, gumdrop::Options)]
pub struct Options {
    /// Print this help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Print the version.
    #[options(short = "V", help = "print the version")]
    pub version: bool,
    /// Addresses of the store.
    #[options(
        no_short,
        help = "an address of the platform's store; may stand several times",
        meta = "ADDRESS"
    )]
    pub store: Vec<SocketAddr>,
    /// Address of the instance list.
    #[options(
        no_short,
        help = "the address of the platform's list of instances",
        meta = "ADDRESS"
    )]
    pub instances: Option<SocketAddr>,
    /// Who makes the change.
    #[options(no_short, help = "who makes the change", meta = "NAME")]
    pub author: Option<String>,
    /// What the change is for.
    #[options(no_short, help = "what the change is for", meta = "TEXT")]
    pub note: Option<String>,
    /// How long to wait until a change is accepted.
    #[options(
        no_short,
        help = "how long to wait until a change is accepted, or a drain is done",
        meta = "SPAN"
    )]
    pub wait: Option<Span>,
    /// The id of a change in doubt that is made sure of.
    #[options(
        no_short,
        help = "the id of a change in doubt, to make sure of it",
        meta = "ID"
    )]
    pub change: Option<sg_store::change::Id>,
    /// Print one JSON object.
    #[options(no_short, help = "print one JSON object")]
    pub json: bool,
    /// Show what a change would do and make none.
    #[options(no_short, help = "show what the change would do, and make none")]
    pub dry_run: bool,
    /// What to do.
    #[options(command)]
    pub command: Option<Command>,
}

/// What to do.
#[derive(Debug, gumdrop::Options)]
pub enum Command {
    /// Read and change the tree of settings.
    #[options(help = "read and change the tree of settings")]
    Tree(Tree),
    /// Give and withdraw keys of client accounts.
    #[options(help = "give and withdraw keys of client accounts")]
    Key(Key),
    /// Take a target, failure domain, region or entry out of service.
    #[options(help = "take a target, failure domain, region or entry out of service")]
    Drain(Drain),
    /// Show the fleet at a glance.
    #[options(help = "show the fleet at a glance")]
    Status(Status),
    /// Show what a revision changed and what it did.
    #[options(help = "show what a revision changed and what it did")]
    Explain(Explain),
    /// Show the decisions taken for one request.
    #[options(help = "show the decisions taken for one request")]
    Why(Why),
}

impl Command {
    /// Whether the command changes the tree.
    pub(crate) fn changes(&self) -> bool {
        match self {
            Self::Tree(tree) => matches!(
                tree.command,
                Some(
                    TreeCommand::Set(_)
                        | TreeCommand::Unset(_)
                        | TreeCommand::Apply(_)
                        | TreeCommand::Revert(_)
                )
            ),
            Self::Key(key) => matches!(
                key.command,
                Some(KeyCommand::Add(_) | KeyCommand::Withdraw(_))
            ),
            Self::Drain(drain) => !drain.status,
            Self::Status(_) | Self::Explain(_) | Self::Why(_) => false,
        }
    }
}

/// `sg tree`.
#[derive(Debug, gumdrop::Options)]
pub struct Tree {
    /// Print this help.
    #[options(help = "print this help")]
    pub help: bool,
    /// What to do with the tree.
    #[options(command)]
    pub command: Option<TreeCommand>,
}

/// What to do with the tree.
#[derive(Debug, gumdrop::Options)]
pub enum TreeCommand {
    /// Print the tree or a part of it.
    #[options(help = "print the tree or a part of it")]
    Get(Get),
    /// Set one setting.
    #[options(help = "set one setting: sg tree set PATH VALUE")]
    Set(Set),
    /// Remove a setting or a node.
    #[options(help = "remove a setting or a node: sg tree unset PATH")]
    Unset(Unset),
    /// Replace the whole tree.
    #[options(help = "replace the whole tree by the one in a file")]
    Apply(Apply),
    /// Show the difference between two revisions or files.
    #[options(help = "show the difference between two revisions or files")]
    Diff(Diff),
    /// Check a tree in a file.
    #[options(help = "check a tree in a file")]
    Check(Check),
    /// List the revisions.
    #[options(help = "list the revisions that are kept")]
    History(History),
    /// Make an earlier tree the next revision.
    #[options(help = "make the tree of an earlier revision the next one")]
    Revert(Revert),
    /// Tell whether a revision is accepted.
    #[options(help = "tell whether a revision is accepted, and where it is missing")]
    Status(Acceptance),
    /// Print the settings reference.
    #[options(help = "print the settings reference in Markdown")]
    Reference(Reference),
}

/// `sg tree reference`.
#[derive(Debug, gumdrop::Options)]
pub struct Reference {
    /// Print this help.
    #[options(help = "print this help")]
    pub help: bool,
}

/// `sg tree status`.
#[derive(Debug, gumdrop::Options)]
pub struct Acceptance {
    /// Print this help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The revision.
    #[options(free, help = "the revision; the newest one if none is given")]
    pub revision: Option<Revision>,
}

/// `sg tree get`.
#[derive(Debug, gumdrop::Options)]
pub struct Get {
    /// Print this help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Print the values in force.
    #[options(help = "print the values in force and where each comes from")]
    pub effective: bool,
    /// Print an earlier revision.
    #[options(help = "print an earlier revision", meta = "REVISION")]
    pub revision: Option<Revision>,
    /// The part to print.
    #[options(
        free,
        help = "the path of a node or setting; the whole tree if none is given"
    )]
    pub path: Option<Path>,
}

/// `sg tree set`.
#[derive(Debug, gumdrop::Options)]
pub struct Set {
    /// Print this help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The setting.
    #[options(free, required, help = "the path of the setting")]
    pub path: Option<Path>,
    /// Its value.
    #[options(free, required, help = "its value in text form")]
    pub value: Option<String>,
}

/// `sg tree unset`.
#[derive(Debug, gumdrop::Options)]
pub struct Unset {
    /// Print this help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The setting or node.
    #[options(free, required, help = "the path of the setting or node")]
    pub path: Option<Path>,
}

/// `sg tree apply`.
#[derive(Debug, gumdrop::Options)]
pub struct Apply {
    /// Print this help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The file.
    #[options(free, required, help = "the file with the tree")]
    pub file: Option<PathBuf>,
}

/// `sg tree diff`.
#[derive(Debug, gumdrop::Options)]
pub struct Diff {
    /// Print this help.
    #[options(help = "print this help")]
    pub help: bool,
    /// One side.
    #[options(free, required, help = "a revision or a file")]
    pub before: Option<String>,
    /// The other side.
    #[options(
        free,
        help = "a revision or a file; the accepted revision if none is given"
    )]
    pub after: Option<String>,
}

/// `sg tree check`.
#[derive(Debug, gumdrop::Options)]
pub struct Check {
    /// Print this help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The file.
    #[options(free, required, help = "the file with the tree")]
    pub file: Option<PathBuf>,
}

/// `sg tree history`.
#[derive(Debug, gumdrop::Options)]
pub struct History {
    /// Print this help.
    #[options(help = "print this help")]
    pub help: bool,
}

/// `sg tree revert`.
#[derive(Debug, gumdrop::Options)]
pub struct Revert {
    /// Print this help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The revision.
    #[options(free, required, help = "the revision whose tree comes back")]
    pub revision: Option<Revision>,
}

/// `sg key`.
#[derive(Debug, gumdrop::Options)]
pub struct Key {
    /// Print this help.
    #[options(help = "print this help")]
    pub help: bool,
    /// What to do with keys.
    #[options(command)]
    pub command: Option<KeyCommand>,
}

/// What to do with keys.
#[derive(Debug, gumdrop::Options)]
pub enum KeyCommand {
    /// Make a key.
    #[options(help = "make a key and print it once")]
    Add(KeyName),
    /// Withdraw a key.
    #[options(help = "make a key stop working")]
    Withdraw(KeyName),
    /// List keys.
    #[options(help = "list the keys of a client account")]
    List(KeyList),
}

/// `sg key add` and `sg key withdraw`.
#[derive(Debug, gumdrop::Options)]
pub struct KeyName {
    /// Print this help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The client account.
    #[options(free, required, help = "the client account")]
    pub account: Option<id::Account>,
    /// The key's public name.
    #[options(free, required, help = "the key's public name")]
    pub key: Option<id::Key>,
}

/// `sg key list`.
#[derive(Debug, gumdrop::Options)]
pub struct KeyList {
    /// Print this help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The client account.
    #[options(free, required, help = "the client account")]
    pub account: Option<id::Account>,
}

/// `sg drain`.
#[derive(Debug, gumdrop::Options)]
pub struct Drain {
    /// Print this help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Put it back into service.
    #[options(help = "put it back into service")]
    pub undo: bool,
    /// Tell how far the drain is and change nothing.
    #[options(
        help = "tell how far the drain is and change nothing; with --wait SPAN, until it is done"
    )]
    pub status: bool,
    /// What kind of thing.
    #[options(free, required, help = "target, domain, region or entry")]
    pub kind: Option<crate::drain::Kind>,
    /// Its name.
    #[options(free, required, help = "its name; SERVICE/TARGET for a target")]
    pub name: Option<String>,
}

/// `sg status`.
#[derive(Debug, gumdrop::Options)]
pub struct Status {
    /// Print this help.
    #[options(help = "print this help")]
    pub help: bool,
}

/// `sg explain`.
#[derive(Debug, gumdrop::Options)]
pub struct Explain {
    /// Print this help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Print a report in Markdown.
    #[options(help = "print a report in Markdown")]
    pub report: bool,
    /// The revision.
    #[options(free, required, help = "the revision")]
    pub revision: Option<Revision>,
}

/// `sg why`.
#[derive(Debug, gumdrop::Options)]
pub struct Why {
    /// Print this help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The request.
    #[options(free, required, help = "the request's id")]
    pub request: Option<id::Request>,
    /// Logs to read instead of asking the instances.
    #[options(
        free,
        help = "logs of instances to read instead of asking them; - for standard input"
    )]
    pub logs: Vec<PathBuf>,
}

/// Parses `args`, the program's name left out.
///
/// # Errors
/// What is wrong with the command line, and the remedy.
pub fn parse(args: impl IntoIterator<Item = String>) -> Result<Options, String> {
    let args = hoist(args);
    Options::parse_args_default(&args)
        .map_err(|error| format!("{error}; see 'sg --help' and 'sg COMMAND --help'"))
}

/// The text of `--help` for the command that was named.
#[must_use]
pub fn usage(options: &Options) -> String {
    let mut text = String::from("Usage: sg [OPTIONS] COMMAND\n\n");
    let mut command: &dyn gumdrop::Options = options;
    while let Some(next) = command.command() {
        command = next;
    }
    text.push_str(command.self_usage());
    if let Some(list) = command.self_command_list() {
        text.push_str("\n\nCommands:\n");
        text.push_str(list);
    }
    if options.command.is_some() {
        text.push_str("\n\nOptions of every command:\n");
        text.push_str(Options::usage());
    }
    text
}

/// Moves the options of every command to the front, so that they may stand anywhere.
fn hoist(args: impl IntoIterator<Item = String>) -> Vec<String> {
    let mut front = Vec::new();
    let mut rest = Vec::new();
    let mut args = args.into_iter();
    while let Some(arg) = args.next() {
        let name = arg.split_once('=').map_or(arg.as_str(), |(name, _)| name);
        if FLAGS.contains(&name) {
            front.push(arg);
        } else if VALUED.contains(&name) {
            let joined = arg.contains('=');
            front.push(arg);
            if !joined {
                front.extend(args.next());
            }
        } else {
            rest.push(arg);
        }
    }
    front.extend(rest);
    front
}
