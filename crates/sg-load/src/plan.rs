//! The load file: schema, parsing and validation.

use std::{
    net::{IpAddr, SocketAddr},
    path::{Path, PathBuf},
};

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use sg_fake::{list, store, target};
use sg_tree::{Node, View, compile, view::Target};
use sg_types::prelude::*;

/// Member with the path of the base file.
const BASE: &str = "base";

/// Member with the path of the tree.
const TREE: &str = "tree";

/// Longest chain of base files, which also ends a cycle.
const MAX_BASES: usize = 4;

/// An experiment: load, accounts and faults.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// The seed of all random choices.
    pub seed: u64,
    /// How long the load lasts.
    pub duration: Span,
    /// The file of the tree in force at the start.
    pub tree: PathBuf,
    /// The address of the fake store.
    pub store: SocketAddr,
    /// The address of the fake instance list.
    pub list: SocketAddr,
    /// The entries that callers know before their first lookup.
    pub entries: Vec<Entry>,
    /// The source addresses of the callers; each has a lookup cache of its own.
    #[serde(default)]
    pub sources: Vec<IpAddr>,
    /// The routes that are called, with their weights.
    pub mix: Vec<RouteWeight>,
    /// The client accounts that make calls.
    pub accounts: Vec<Caller>,
    /// The faults to inject.
    #[serde(default)]
    pub faults: Vec<TimedFault>,
}

/// The instance and address of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// The instance.
    pub instance: id::Instance,
    /// The address that callers connect to.
    pub address: SocketAddr,
}

/// The weight of a route in the load.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteWeight {
    /// The route.
    pub route: id::Route,
    /// The weight relative to the other routes.
    pub weight: u32,
    /// The requested size of responses, in bytes.
    pub size: usize,
}

/// The callers of a client account that use one key.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Caller {
    /// The client account.
    pub account: id::Account,
    /// The public name of the key.
    pub key: id::Key,
    /// The secret key.
    pub secret: Arc<str>,
    /// The mean rate of calls.
    pub rate: Rate,
}

/// A fault and the time of its injection.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TimedFault {
    /// The time since the start of the load.
    pub at: Span,
    /// The fault.
    #[serde(rename = "do")]
    pub fault: Fault,
}

/// A fault to inject, or the end of one.
#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Fault {
    /// The store changes its behaviour.
    Store(store::Control),
    /// The list of instances changes.
    List(list::Control),
    /// Targets change their behaviour.
    Target {
        /// The affected targets.
        which: Which,
        /// The new behaviour.
        control: target::Control,
    },
    /// A process action on an entry, carried out by the program that started `sg-load`.
    Entry {
        /// The entry.
        instance: id::Instance,
        /// The action.
        action: Action,
    },
    /// A change of several tree settings at once, published by the program that started `sg-load`.
    Tree {
        /// The new values by path.
        set: IndexMap<sg_tree::Path, Arc<str>>,
    },
    /// Multiplies the planned rate of an account's callers by a factor from now on.
    Rate {
        /// The client account.
        account: id::Account,
        /// The factor.
        factor: f64,
    },
    /// Sends a request several times that crashes each target that runs it.
    Poison {
        /// The client account.
        account: id::Account,
        /// The route.
        route: id::Route,
        /// The number of calls.
        count: u32,
        /// The interval between the calls.
        every: Span,
    },
}

impl Fault {
    /// Returns the value that the fault sets at `path` of the tree, if any.
    #[must_use]
    pub fn value_at(&self, path: &str) -> Option<&str> {
        let Self::Tree { set } = self else {
            return None;
        };
        let mut values = set.iter();
        let found = values.find(|(changed, _)| changed.to_string() == path);
        found.map(|(_, value)| value.as_ref())
    }
}

/// An action on the process of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Kills the process.
    Kill,
    /// Pauses the process.
    Pause,
    /// Resumes a paused process.
    Resume,
    /// Requests a graceful stop.
    Stop,
    /// Starts the process again.
    Start,
}

impl Action {
    /// Returns the text form.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Kill => "kill",
            Self::Pause => "pause",
            Self::Resume => "resume",
            Self::Stop => "stop",
            Self::Start => "start",
        }
    }
}

/// A filter of targets. A field that is left out matches every target.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Which {
    /// The service of the targets.
    pub service: Option<id::Service>,
    /// The region of the targets.
    pub region: Option<id::Region>,
    /// The failure domain of the targets.
    pub domain: Option<id::Domain>,
    /// The names of the targets.
    pub targets: Option<Vec<id::Target>>,
}

impl Which {
    /// Returns whether the filter matches the target.
    #[must_use]
    pub fn matches(&self, service: &id::Service, name: &id::Target, target: &Target) -> bool {
        self.service.as_ref().is_none_or(|wanted| wanted == service)
            && self.region.as_ref().is_none_or(|r| *r == target.region)
            && self.domain.as_ref().is_none_or(|d| *d == target.domain)
            && self.targets.as_ref().is_none_or(|t| t.contains(name))
    }
}

/// Why a load file can't be used.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A file can't be read.
    #[error("{file} can't be read: {source}; check the path")]
    File {
        /// The file.
        file: PathBuf,
        /// The system error.
        source: std::io::Error,
    },
    /// A file is not JSON or does not match the schema.
    #[error("{file} is not a load file: {source}; see docs/LOAD.md for the form")]
    Format {
        /// The file.
        file: PathBuf,
        /// The parse error with its position.
        source: serde_json::Error,
    },
    /// The chain of base files is too long or cyclic.
    #[error("the chain of base files is too long or cyclic at {0}; shorten the chain")]
    TooManyBases(PathBuf),
    /// The tree can't be read.
    #[error(transparent)]
    Node(#[from] sg_tree::node::Error),
    /// The tree is invalid.
    #[error(transparent)]
    Tree(#[from] compile::Error),
    /// The plan names an item that the tree does not have.
    #[error("the tree has no {kind} called '{name}'; name one that it has")]
    Unknown {
        /// The kind of the item.
        kind: &'static str,
        /// The name of the item.
        name: String,
    },
    /// A list of the plan that needs an element is empty.
    #[error("the plan has no {0}; give at least one")]
    EmptyList(&'static str),
}

impl Plan {
    /// Reads the plan in `file`, merged over its base files.
    ///
    /// # Errors
    /// [`Error`] with the file and the remedy.
    pub fn read(file: impl AsRef<Path>) -> Result<Self, Error> {
        let file = file.as_ref();
        let members = read_members(file, MAX_BASES)?;
        let plan: Self =
            serde_json::from_value(Value::Object(members)).map_err(|source| Error::Format {
                file: file.to_owned(),
                source,
            })?;
        for (empty, what) in [
            (plan.entries.is_empty(), "entries"),
            (plan.mix.is_empty(), "mix"),
            (plan.accounts.is_empty(), "accounts"),
        ] {
            if empty {
                return Err(Error::EmptyList(what));
            }
        }
        Ok(plan)
    }

    /// Reads the tree that is in force at the start.
    ///
    /// # Errors
    /// [`Error`] with the file and the remedy.
    pub fn read_tree(&self) -> Result<Node, Error> {
        Ok(Node::from_json(read_bytes(&self.tree)?)?)
    }

    /// Reads and compiles the tree, and checks that it has every route and client account that the plan
    /// names.
    ///
    /// # Errors
    /// [`Error`] with the file and the remedy.
    pub fn view(&self) -> Result<View, Error> {
        let view = compile::compile(&self.read_tree()?, Revision::new(1))?.view;
        for route_weight in &self.mix {
            check_route(&view, &route_weight.route)?;
        }
        for caller in &self.accounts {
            check_account(&view, &caller.account)?;
        }
        for timed in &self.faults {
            match &timed.fault {
                Fault::Rate { account, .. } => check_account(&view, account)?,
                Fault::Poison { account, route, .. } => {
                    check_account(&view, account)?;
                    check_route(&view, route)?;
                }
                _ => {}
            }
        }
        Ok(view)
    }
}

fn check_route(view: &View, route: &id::Route) -> Result<(), Error> {
    let mut routes = view.services.values().flat_map(|service| &service.routes);
    if routes.any(|known| known.name == *route) {
        return Ok(());
    }
    Err(Error::Unknown {
        kind: "route",
        name: route.to_string(),
    })
}

fn check_account(view: &View, account: &id::Account) -> Result<(), Error> {
    if view.accounts.contains_key(account) {
        return Ok(());
    }
    Err(Error::Unknown {
        kind: "client account",
        name: account.to_string(),
    })
}

fn read_bytes(file: &Path) -> Result<Vec<u8>, Error> {
    std::fs::read(file).map_err(|source| Error::File {
        file: file.to_owned(),
        source,
    })
}

/// Returns the members of a file, merged over those of its base. Paths are relative to the file.
fn read_members(file: &Path, bases: usize) -> Result<Map<String, Value>, Error> {
    if bases == 0 {
        return Err(Error::TooManyBases(file.to_owned()));
    }
    let mut members: Map<String, Value> =
        serde_json::from_slice(&read_bytes(file)?).map_err(|source| Error::Format {
            file: file.to_owned(),
            source,
        })?;
    let folder = file.parent().unwrap_or(Path::new("."));
    if let Some(Value::String(tree)) = members.get_mut(TREE) {
        *tree = folder.join(&*tree).to_string_lossy().into_owned();
    }
    let Some(Value::String(base)) = members.remove(BASE) else {
        return Ok(members);
    };
    let mut merged = read_members(&folder.join(base), bases - 1)?;
    merged.extend(members);
    Ok(merged)
}
