//! Injects the scheduled faults.
//!
//! Fakes take faults over HTTP. Process actions and tree changes are requested from the program that
//! started this one by a line in one file, and acknowledged by a line in another.

use std::{
    io::Write,
    net::SocketAddr,
    path::{Path, PathBuf},
};

use futures_util::future::join_all;
use parking_lot::Mutex;
use reqwest::Client;
use serde::Serialize;
use sg_clock::Timer;
use sg_tree::{Node, View};
use sg_types::prelude::*;

use crate::{
    history::Event,
    plan::{Fault, Plan, Which},
};

/// Interval between reads of the acknowledgement file.
const ACK_INTERVAL: Span = Span::from_millis(20);

/// Timeout for an acknowledgement.
const ACK_TIMEOUT: Span = Span::from_secs(20);

/// Timeout of a control request to a fake.
const CONTROL_TIMEOUT: Span = Span::from_secs(2);

/// The word of an acknowledgement for a request that was carried out.
const DONE: &str = "done";

/// Why faults can't be carried out.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The plan needs actions of the program that started this one.
    #[error(
        "the plan changes processes or the tree; give --commands and --acks, or use scripts/scenario"
    )]
    NoCommands,
    /// A file for the program that started this one can't be written.
    #[error("{file} can't be written: {source}; check that its reader runs")]
    Commands {
        /// The file.
        file: PathBuf,
        /// The system error.
        source: std::io::Error,
    },
}

/// The files for requests to the program that started this one.
#[derive(Debug, Clone)]
pub struct Commands {
    /// The file of requests, one a line: a number, a verb and its arguments.
    pub requests: PathBuf,
    /// The file of acknowledgements, one a line: the number, and `done` or `failed`.
    pub acks: PathBuf,
}

/// Injects the faults of a plan.
#[derive(Debug)]
pub struct Driver {
    timer: Timer,
    client: Client,
    store: SocketAddr,
    list: SocketAddr,
    view: View,
    /// The tree with all changes requested so far.
    tree: Mutex<Node>,
    commands: Option<Commands>,
}

impl Driver {
    /// Creates a driver for `plan`.
    ///
    /// # Errors
    /// [`Error::NoCommands`] if the plan needs `commands` and there are none.
    pub fn new(
        timer: Timer,
        client: Client,
        plan: &Plan,
        tree: Node,
        view: &View,
        commands: Option<Commands>,
    ) -> Result<Self, Error> {
        let needs_commands =
            |fault: &Fault| matches!(fault, Fault::Entry { .. } | Fault::Tree { .. });
        if commands.is_none() && plan.faults.iter().any(|timed| needs_commands(&timed.fault)) {
            return Err(Error::NoCommands);
        }
        Ok(Self {
            timer,
            client,
            store: plan.store,
            list: plan.list,
            view: view.clone(),
            tree: Mutex::new(tree),
            commands,
        })
    }

    /// Carries out the `number`th fault of the plan.
    ///
    /// # Errors
    /// [`Error::Commands`] if the request can't be written.
    pub async fn carry_out(&self, number: usize, fault: &Fault) -> Result<Event, Error> {
        let requested = self.timer.now();
        let done = match fault {
            Fault::Store(control) => self.post_control(self.store, control).await,
            Fault::List(control) => self.post_control(self.list, control).await,
            Fault::Target { which, control } => {
                let any_accepted = self.control_targets(which, control).await;
                // A target that crashes at once does not respond.
                any_accepted || control.crash.is_some()
            }
            Fault::Entry { instance, action } => {
                let line = format!("{number} {} {instance}", action.as_str());
                self.request_action(number, &line).await?
            }
            Fault::Tree { set } => self.publish_tree(number, set).await?,
            Fault::Rate { .. } | Fault::Poison { .. } => true,
        };
        Ok(Event {
            requested,
            done: done.then(|| self.timer.now()),
            fault: fault.clone(),
        })
    }

    async fn control_targets(&self, which: &Which, control: &impl Serialize) -> bool {
        let services = self.view.services.values();
        let targets = services.flat_map(|s| s.targets.iter().map(move |(name, t)| (s, name, t)));
        let posts = targets
            .filter(|(service, name, target)| which.matches(&service.name, name, target))
            .map(|(_, _, target)| self.post_control(target.address, control));
        join_all(posts).await.into_iter().any(|accepted| accepted)
    }

    async fn post_control(&self, address: SocketAddr, control: &impl Serialize) -> bool {
        let url = format!("http://{address}/_control");
        let request = self.client.post(url).timeout(CONTROL_TIMEOUT.into());
        request
            .json(control)
            .send()
            .await
            .is_ok_and(|r| r.status().is_success())
    }

    /// Writes the changed tree to the folder of the acknowledgement file and requests its publication.
    async fn publish_tree(
        &self,
        number: usize,
        set: &IndexMap<sg_tree::Path, Arc<str>>,
    ) -> Result<bool, Error> {
        let Some(commands) = &self.commands else {
            return Err(Error::NoCommands);
        };
        let file = commands.acks.with_file_name(format!("tree-{number}.json"));
        let text = {
            let mut tree = self.tree.lock();
            for (path, value) in set {
                tree.set(path, value);
            }
            tree.to_json()
        };
        std::fs::write(&file, text).map_err(|source| Error::Commands {
            file: file.clone(),
            source,
        })?;
        let line = format!("{number} tree {}", file.display());
        self.request_action(number, &line).await
    }

    async fn request_action(&self, number: usize, line: &str) -> Result<bool, Error> {
        let Some(commands) = &self.commands else {
            return Err(Error::NoCommands);
        };
        append_line(&commands.requests, line).map_err(|source| Error::Commands {
            file: commands.requests.clone(),
            source,
        })?;
        let deadline = self.timer.now() + ACK_TIMEOUT;
        let wanted = number.to_string();
        while self.timer.now() < deadline {
            if let Some(done) = acknowledgement(&commands.acks, &wanted) {
                return Ok(done);
            }
            self.timer.sleep(ACK_INTERVAL).await;
        }
        Ok(false)
    }
}

fn append_line(file: &Path, line: &str) -> std::io::Result<()> {
    let mut file = std::fs::OpenOptions::new().append(true).open(file)?;
    file.write_all(format!("{line}\n").as_bytes())
}

fn acknowledgement(file: &Path, number: &str) -> Option<bool> {
    let text = std::fs::read_to_string(file).ok()?;
    let mut lines = text.lines().filter_map(|line| line.split_once(' '));
    let (_, word) = lines.find(|(found, _)| *found == number)?;
    Some(word == DONE)
}
