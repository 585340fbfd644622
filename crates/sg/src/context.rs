//! What every command needs: the store, the fleet, the author.

use std::{net::SocketAddr, sync::Arc};

use sg_clock::Timer;
use sg_store::{change, http, load};
use sg_tree::Node;
use sg_types::prelude::*;

use crate::{Error, Interrupt, Options, fleet};

/// The variable that holds the store's addresses, with commas between them.
const STORE_VARIABLE: &str = "SG_STORE";
/// The variable that holds the address of the list of instances.
const INSTANCES_VARIABLE: &str = "SG_INSTANCES";
/// The variable that holds the author's name where none is given.
const USER_VARIABLE: &str = "USER";
/// How long to wait until a change is accepted.
const WAIT: Span = Span::from_secs(10);

/// What every command needs.
#[derive(Debug)]
pub struct Context {
    /// The timer service.
    pub timer: Timer,
    pub(crate) interrupt: Interrupt,
    pub(crate) author: Arc<str>,
    pub(crate) note: Arc<str>,
    pub(crate) dry_run: bool,
    pub(crate) change: Option<change::Id>,
    store: Vec<SocketAddr>,
    instances: Option<SocketAddr>,
    wait: Option<Span>,
}

impl Context {
    /// Gathers what the command line and the environment say.
    ///
    /// # Errors
    /// [`Error::Usage`] if a variable can't be read.
    pub fn new(options: &Options, interrupt: Interrupt) -> Result<Self, Error> {
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
            interrupt,
            store,
            instances,
            author: author.unwrap_or_else(|| "unknown".to_owned()).into(),
            note: options.note.clone().unwrap_or_default().into(),
            wait: options.wait,
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

    /// Whether the address of the list of instances is known.
    #[must_use]
    pub fn knows_fleet(&self) -> bool {
        self.instances.is_some()
    }

    /// How long the operator waits.
    #[must_use]
    pub fn wait(&self) -> Span {
        self.wait.unwrap_or(WAIT)
    }

    /// How long the operator said to wait; `None` if nothing was said.
    #[must_use]
    pub fn patience(&self) -> Option<Span> {
        self.wait
    }

    /// The id of the change that is made.
    pub(crate) fn change_id(&self) -> change::Id {
        self.change.unwrap_or_else(change::Id::random)
    }
}

fn variable(name: &str, text: &str) -> Error {
    Error::Usage(format!(
        "{name} is '{text}', which is no address; write it like 127.0.0.1:2379"
    ))
}
