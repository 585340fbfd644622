//! `sg-fake`: runs the fake platform services and targets as processes.

use std::{net::SocketAddr, path::PathBuf, process::ExitCode};

use gumdrop::Options as _;
use sg_fake::{list, server, store, target};
use sg_tree::{Node, compile};
use sg_types::prelude::*;
use tokio::signal::unix::{SignalKind, signal};

#[derive(Debug, gumdrop::Options)]
struct Cli {
    #[options(help = "show this help and exit")]
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, gumdrop::Options)]
enum Command {
    #[options(help = "run a fake of the platform's store")]
    Store(StoreFlags),
    #[options(help = "run a fake of the platform's list of instances")]
    List(ListFlags),
    #[options(help = "run one or more fake targets")]
    Target(TargetFlags),
}

#[derive(Debug, gumdrop::Options)]
struct StoreFlags {
    #[options(help = "show this help and exit")]
    help: bool,
    #[options(help = "the address to listen on", meta = "ADDR", required)]
    listen: Option<SocketAddr>,
    #[options(help = "the seed of random faults", default = "1")]
    seed: u64,
}

#[derive(Debug, gumdrop::Options)]
struct ListFlags {
    #[options(help = "show this help and exit")]
    help: bool,
    #[options(help = "the address to listen on", meta = "ADDR", required)]
    listen: Option<SocketAddr>,
    #[options(help = "the instances, as a JSON array", meta = "FILE", required)]
    file: Option<PathBuf>,
    #[options(
        help = "the delay before a change becomes visible",
        meta = "SPAN",
        default = "1s"
    )]
    lag: Span,
}

#[derive(Debug, gumdrop::Options)]
struct TargetFlags {
    #[options(help = "show this help and exit")]
    help: bool,
    #[options(help = "comma-separated addresses to listen on", meta = "ADDR,...")]
    listen: Option<String>,
    #[options(help = "the file of the tree whose targets are started", meta = "FILE")]
    tree: Option<PathBuf>,
    #[options(help = "concurrent requests per target, with --listen", default = "7")]
    slots: u32,
    #[options(help = "the mean time of a request", meta = "SPAN")]
    service_time: Option<Span>,
    #[options(
        help = "the duration of the slowdown after a start",
        meta = "SPAN",
        default = "0s"
    )]
    cold: Span,
    #[options(help = "the initial slowdown factor after a start", default = "4")]
    cold_factor: f64,
    #[options(
        help = "the age up to which load and health reports are reused",
        meta = "SPAN",
        default = "0s"
    )]
    lag: Span,
    #[options(help = "the seed of the service time's jitter", default = "1")]
    seed: u64,
}

/// The service time if neither a flag nor a tree gives one.
const DEFAULT_SERVICE_TIME: Span = Span::from_millis(20);

#[derive(Debug, thiserror::Error)]
enum Error {
    #[error("no command given; use one of: store, list, target")]
    NoCommand,
    #[error("{0} is missing; pass {0}")]
    Missing(&'static str),
    #[error("cannot read {file}: {source}; check the path")]
    File {
        file: String,
        source: std::io::Error,
    },
    #[error(
        "the file is not a valid JSON array of instances: {0}; correct the file at that position"
    )]
    List(#[from] serde_json::Error),
    #[error(transparent)]
    Tree(#[from] sg_tree::node::Error),
    #[error(transparent)]
    Compile(#[from] sg_tree::compile::Error),
    #[error("'{0}' is not a valid address; use the form 127.0.0.1:9000")]
    Address(String),
    #[error(transparent)]
    Name(#[from] sg_types::parse::Error),
    #[error(transparent)]
    Server(#[from] server::Error),
    #[error("cannot install signal handlers: {0}; check the limits of the process")]
    Signal(#[from] std::io::Error),
}

#[tokio::main]
async fn main() -> ExitCode {
    let cli = Cli::parse_args_default_or_exit();
    match run(cli).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("sg-fake: {error}");
            ExitCode::from(2)
        }
    }
}

async fn run(cli: Cli) -> Result<(), Error> {
    match cli.command.ok_or(Error::NoCommand)? {
        Command::Store(flags) => {
            let listen = flags.listen.ok_or(Error::Missing("--listen"))?;
            let seed = flags.seed;
            let _server = store::Server::start(store::Options { listen, seed }).await?;
            wait_for_signal().await
        }
        Command::List(flags) => {
            let options = list_options(&flags)?;
            let _server = list::Server::start(options).await?;
            wait_for_signal().await
        }
        Command::Target(flags) => {
            let mut servers = Vec::new();
            for options in target_options(&flags)? {
                servers.push(target::Server::start(options).await?);
            }
            wait_for_signal().await
        }
    }
}

async fn wait_for_signal() -> Result<(), Error> {
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut terminate = signal(SignalKind::terminate())?;
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
    }
    Ok(())
}

fn read_file(file: &PathBuf) -> Result<Vec<u8>, Error> {
    std::fs::read(file).map_err(|source| Error::File {
        file: file.display().to_string(),
        source,
    })
}

fn list_options(flags: &ListFlags) -> Result<list::Options, Error> {
    let file = flags.file.as_ref().ok_or(Error::Missing("--file"))?;
    Ok(list::Options {
        listen: flags.listen.ok_or(Error::Missing("--listen"))?,
        members: serde_json::from_slice(&read_file(file)?)?,
        lag: flags.lag,
    })
}

fn target_options(flags: &TargetFlags) -> Result<Vec<target::Options>, Error> {
    if let Some(file) = &flags.tree {
        let tree = Node::from_json(read_file(file)?)?;
        let view = compile::compile(&tree, Revision::new(1))?.view;
        return Ok(tree_targets(flags, &view));
    }
    let listen = flags
        .listen
        .as_ref()
        .ok_or(Error::Missing("--listen or --tree"))?;
    listen
        .split(',')
        .map(|text| parse_target(flags, text))
        .collect()
}

fn tree_targets(flags: &TargetFlags, view: &sg_tree::View) -> Vec<target::Options> {
    let services = view.services.values();
    let targets = services.flat_map(|s| s.targets.iter().map(move |(name, t)| (s, name, t)));
    targets
        .map(|(service, name, target)| target::Options {
            slots: target.slots,
            service_time: flags.service_time.unwrap_or(service.service_time),
            ..default_options(flags, name.clone(), target.address)
        })
        .collect()
}

fn parse_target(flags: &TargetFlags, text: &str) -> Result<target::Options, Error> {
    let address: SocketAddr = text.parse().map_err(|_| Error::Address(text.to_owned()))?;
    let name = id::Target::new(format!("target-{}", address.port()))?;
    Ok(default_options(flags, name, address))
}

fn default_options(flags: &TargetFlags, name: id::Target, listen: SocketAddr) -> target::Options {
    target::Options {
        name,
        listen,
        slots: flags.slots,
        service_time: flags.service_time.unwrap_or(DEFAULT_SERVICE_TIME),
        cold: target::Cold {
            span: flags.cold,
            factor: flags.cold_factor,
        },
        lag: flags.lag,
        seed: flags.seed,
    }
}
