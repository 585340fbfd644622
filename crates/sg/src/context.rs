//! What every command needs: the store, the author, how to print.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{SystemTime, UNIX_EPOCH},
};

use serde::Serialize;
use sg_clock::Timer;
use sg_store::{
    change,
    head::{Date, Head},
    http,
    key::Key,
    load, publish,
};
use sg_tree::{Node, compile, diff, fault::Severity, predict, promise};
use sg_types::prelude::*;

use crate::{Error, Options, fleet};

/// The variable that holds the store's addresses, with commas between them.
const STORE_VARIABLE: &str = "SG_STORE";
/// The variable that holds the address of the list of instances.
const INSTANCES_VARIABLE: &str = "SG_INSTANCES";
/// The variable that holds the author's name where none is given.
const USER_VARIABLE: &str = "USER";
/// How long to wait until a change is in force everywhere.
const WAIT: Span = Span::from_secs(10);

/// What every command needs.
#[derive(Debug)]
pub struct Context {
    /// The timer service.
    pub timer: Timer,
    /// Whether to print JSON.
    pub json: bool,
    store: Vec<SocketAddr>,
    instances: Option<SocketAddr>,
    author: Arc<str>,
    note: Arc<str>,
    wait: Span,
    dry_run: bool,
    change: Option<change::Id>,
}

/// What a change did, for printing.
#[derive(Debug, Serialize)]
struct Change {
    accepted: bool,
    revision: Revision,
    change: change::Id,
    difference: diff::Difference,
    prediction: predict::Prediction,
    warnings: Vec<sg_tree::Fault>,
    #[serde(skip_serializing_if = "Option::is_none")]
    in_force: Option<fleet::Force>,
    /// A new key, shown this once.
    #[serde(skip_serializing_if = "Option::is_none")]
    key: Option<String>,
}

impl Context {
    /// Gathers what the command line and the environment say.
    ///
    /// # Errors
    /// [`Error::Usage`] if a variable can't be read.
    pub fn new(options: &Options) -> Result<Self, Error> {
        let mut store = options.store.clone();
        if let (true, Ok(text)) = (store.is_empty(), std::env::var(STORE_VARIABLE)) {
            let parsed: Result<_, _> = text.split(',').map(|part| part.trim().parse()).collect();
            store = parsed.map_err(|_| variable(STORE_VARIABLE, &text))?;
        }
        let mut instances = options.instances;
        if let (None, Ok(text)) = (instances, std::env::var(INSTANCES_VARIABLE)) {
            let parsed = text.parse();
            instances = Some(parsed.map_err(|_| variable(INSTANCES_VARIABLE, &text))?);
        }
        let author = options.author.clone();
        let author = author.or_else(|| std::env::var(USER_VARIABLE).ok());
        Ok(Self {
            timer: Timer::new(),
            json: options.json,
            store,
            instances,
            author: author.unwrap_or_else(|| "unknown".to_owned()).into(),
            note: options.note.clone().unwrap_or_default().into(),
            wait: options.wait.unwrap_or(WAIT),
            dry_run: options.dry_run,
            change: options.change,
        })
    }

    /// A client of the store.
    ///
    /// # Errors
    /// [`Error::Usage`] if no address is known.
    pub fn store(&self) -> Result<http::Client, Error> {
        if self.store.is_empty() {
            return Err(Error::Usage(format!(
                "the store's address is not known; give --store ADDRESS or set {STORE_VARIABLE}"
            )));
        }
        http::Client::new(http::Options::new(self.store.clone()), self.timer.clone())
            .map_err(|error| Error::Outage(error.to_string()))
    }

    /// The fleet, as the list of instances names it.
    ///
    /// # Errors
    /// [`Error::Usage`] if no address is known.
    pub fn fleet(&self) -> Result<fleet::Client, Error> {
        let Some(address) = self.instances else {
            return Err(Error::Usage(format!(
                "the instance list's address is not known; give --instances ADDRESS or set \
                 {INSTANCES_VARIABLE}"
            )));
        };
        fleet::Client::new(address, self.timer.clone())
    }

    /// The accepted tree.
    ///
    /// # Errors
    /// Those of the store.
    pub async fn load(&self) -> Result<load::Outcome, Error> {
        Ok(load::load(&self.store()?).await?)
    }

    /// The accepted tree, or an empty one as revision zero.
    ///
    /// # Errors
    /// Those of the store.
    pub async fn load_or_empty(&self) -> Result<(Revision, Node), Error> {
        match load::load(&self.store()?).await {
            Ok(outcome) => Ok((outcome.head.revision, outcome.tree)),
            Err(load::Error::Absent) => Ok((Revision::default(), Node::default())),
            Err(error) => Err(error.into()),
        }
    }

    /// Checks, publishes and follows a change from `before` to `after`; prints what it did.
    ///
    /// # Errors
    /// Faults, races, and those of the store.
    pub async fn change(&self, base: Revision, before: &Node, after: &Node) -> Result<(), Error> {
        self.change_with_key(base, before, after, None).await
    }

    /// Like [`Context::change`], for a change that gives a new key; shows the key once accepted.
    ///
    /// # Errors
    /// Those of [`Context::change`].
    pub async fn change_with_key(
        &self,
        base: Revision,
        before: &Node,
        after: &Node,
        key: Option<&Key>,
    ) -> Result<(), Error> {
        let revision = base.next();
        let compiled = compile::compile(after, revision)?;
        let mut warnings = compiled.warnings;
        warnings.extend(promise::check(&compiled.view));
        if warnings
            .iter()
            .any(|fault| fault.severity == Severity::Error)
        {
            return Err(Error::Faults(warnings));
        }
        let old = compile::compile(before, base).map(|outcome| outcome.view);
        let id = self.change.unwrap_or_else(change::Id::random);
        let mut change = Change {
            accepted: false,
            revision,
            change: id,
            difference: diff::diff(before, after),
            prediction: predict::predict(&old.unwrap_or_default(), &compiled.view),
            warnings,
            in_force: None,
            key: None,
        };
        if !self.dry_run {
            let head = self.publish(id, base, before, after).await?;
            change.accepted = true;
            change.revision = head.revision;
            change.key = key.map(ToString::to_string);
            change.in_force = self.follow(&head).await;
        }
        self.print(&change, || text(&change));
        Ok(())
    }

    async fn publish(
        &self,
        id: change::Id,
        base: Revision,
        before: &Node,
        after: &Node,
    ) -> Result<Head, Error> {
        let options = publish::Options {
            base,
            author: self.author.clone(),
            note: self.note.clone(),
            change: id,
            time: now(),
        };
        let store = self.store()?;
        let work = publish::publish(&store, after, options);
        tokio::select! {
            outcome = work => outcome
                .map(|outcome| outcome.head)
                .map_err(|error| Error::publication(error, before)),
            _ = tokio::signal::ctrl_c() => Err(Error::Unknown(format!(
                "interrupted: whether change {id} was accepted is not known; look for it with \
                 'sg tree history', or repeat the command with --change {id}, which takes effect \
                 once at most"
            ))),
        }
    }

    /// Waits until the change is in force everywhere, if the list of instances is known.
    async fn follow(&self, head: &Head) -> Option<fleet::Force> {
        self.instances?;
        let fleet = self.fleet().ok()?;
        Some(fleet.follow(head.revision, self.wait).await)
    }

    /// Prints `value` as JSON, or the text that `text` makes.
    pub fn print<T: Serialize>(&self, value: &T, text: impl FnOnce() -> String) {
        if self.json {
            println!("{}", serde_json::to_string(value).unwrap_or_default());
        } else {
            println!("{}", text().trim_end());
        }
    }
}

fn text(change: &Change) -> String {
    let mut lines = vec![change.difference.to_string()];
    lines.push(change.prediction.to_string().trim_end().to_owned());
    lines.extend(change.warnings.iter().map(ToString::to_string));
    lines.push(match change.accepted {
        true => format!(
            "accepted as revision {} (change {})",
            change.revision, change.change
        ),
        false => "not made (--dry-run)".to_owned(),
    });
    lines.extend(change.in_force.as_ref().map(ToString::to_string));
    let key = change.key.as_ref();
    lines.extend(key.map(|key| format!("the key, shown this once: {key}")));
    lines.join("\n")
}

fn variable(name: &str, text: &str) -> Error {
    Error::Usage(format!(
        "{name} is '{text}', which is no address; write it like 127.0.0.1:2379"
    ))
}

/// The time by this machine's calendar clock.
fn now() -> Date {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    Date::from_unix_millis(since.map_or(0, |since| Span::from(since).as_millis()))
}
