//! What a load file says.

use std::{
    net::{IpAddr, SocketAddr},
    path::{Path, PathBuf},
};

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use sg_fake::{list, store, target};
use sg_tree::{Node, View, compile, view::Target};
use sg_types::prelude::*;

/// The member that names the file that a file starts from.
const BASE: &str = "base";

/// The member that names the tree.
const TREE: &str = "tree";

/// How many files may start from one another.
const MAX_BASES: usize = 4;

/// A whole experiment.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// The seed of all that is random.
    pub seed: u64,
    /// How long calls are made.
    pub duration: Span,
    /// The tree that is in force at the start.
    pub tree: PathBuf,
    /// The stand-in of the store.
    pub store: SocketAddr,
    /// The stand-in of the list of instances.
    pub list: SocketAddr,
    /// The entries that callers know before their first look-up.
    pub entries: Vec<Entry>,
    /// The addresses that callers call from; each is a caller of its own.
    #[serde(default)]
    pub sources: Vec<IpAddr>,
    /// The routes that are called.
    pub mix: Vec<Part>,
    /// Who calls.
    pub accounts: Vec<Caller>,
    /// What goes wrong.
    #[serde(default)]
    pub faults: Vec<Timed>,
}

/// An entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// The instance.
    pub instance: id::Instance,
    /// Where callers reach it.
    pub address: SocketAddr,
}

/// A route's part of the calls.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Part {
    /// The route.
    pub route: id::Route,
    /// Its weight among the others.
    pub weight: u32,
    /// The size of its answers in bytes.
    pub size: usize,
}

/// A client account's callers that use one key.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Caller {
    /// The client account.
    pub account: id::Account,
    /// The key's public name.
    pub key: id::Key,
    /// The key.
    pub secret: Arc<str>,
    /// How many calls a second it makes.
    pub rate: Rate,
}

/// A fault and when it comes.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Timed {
    /// When, counted from the first call.
    pub at: Span,
    /// What.
    #[serde(rename = "do")]
    pub fault: Fault,
}

/// Something that goes wrong, or is put right.
#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Fault {
    /// The store changes its behaviour.
    Store(store::Control),
    /// The list of instances changes.
    List(list::Control),
    /// Targets change their behaviour.
    Target {
        /// Which ones.
        which: Which,
        /// To what.
        control: target::Control,
    },
    /// Something happens to an entry's process; the caller of this program does it.
    Entry {
        /// The entry.
        instance: id::Instance,
        /// What happens.
        action: Action,
    },
    /// Settings of the tree change together; the caller of this program does it.
    Tree {
        /// The settings' values, by path.
        set: IndexMap<sg_tree::Path, Arc<str>>,
    },
    /// An account's callers call at their rate times a factor from now on.
    Rate {
        /// The client account.
        account: id::Account,
        /// The factor.
        factor: f64,
    },
    /// A request that crashes each target that runs it is called several times.
    Poison {
        /// The client account.
        account: id::Account,
        /// The route.
        route: id::Route,
        /// How many calls.
        count: u32,
        /// The span between them.
        every: Span,
    },
}

impl Fault {
    /// The value that this gives to the setting of the tree at `path`, if it changes it.
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

/// What happens to an entry's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// It is killed.
    Kill,
    /// It is paused.
    Pause,
    /// It goes on after a pause.
    Resume,
    /// It is asked to stop.
    Stop,
    /// It is started again.
    Start,
}

impl Action {
    /// The text form.
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

/// Which targets. A field that is left out leaves none out.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Which {
    /// Of this service.
    pub service: Option<id::Service>,
    /// Of this region.
    pub region: Option<id::Region>,
    /// Of this failure domain.
    pub domain: Option<id::Domain>,
    /// Of these names.
    pub targets: Option<Vec<id::Target>>,
}

impl Which {
    /// Whether it is one of them.
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
        /// What the system said.
        source: std::io::Error,
    },
    /// A file is not JSON of the wanted form.
    #[error("{file} is not a load file: {source}; see docs/LOAD.md for the form")]
    Form {
        /// The file.
        file: PathBuf,
        /// What is wrong and where.
        source: serde_json::Error,
    },
    /// Files start from one another without end.
    #[error("{0} starts from too many other files; give it a base that has none")]
    Bases(PathBuf),
    /// The tree can't be read.
    #[error(transparent)]
    Node(#[from] sg_tree::node::Error),
    /// The tree is refused.
    #[error(transparent)]
    Tree(#[from] compile::Error),
    /// The plan names what the tree does not have.
    #[error("the tree has no {kind} called '{name}'; name one that it has")]
    Unknown {
        /// The kind of thing.
        kind: &'static str,
        /// Its name.
        name: String,
    },
    /// The plan would call nobody or nothing.
    #[error("the plan has no {0}; give at least one")]
    Empty(&'static str),
}

impl Plan {
    /// Reads the plan in `file`, from its base up.
    ///
    /// # Errors
    /// [`Error`] with the file and the remedy.
    pub fn read(file: impl AsRef<Path>) -> Result<Self, Error> {
        let file = file.as_ref();
        let members = members(file, MAX_BASES)?;
        let plan: Self =
            serde_json::from_value(Value::Object(members)).map_err(|source| Error::Form {
                file: file.to_owned(),
                source,
            })?;
        for (empty, what) in [
            (plan.entries.is_empty(), "entries"),
            (plan.mix.is_empty(), "mix"),
            (plan.accounts.is_empty(), "accounts"),
        ] {
            if empty {
                return Err(Error::Empty(what));
            }
        }
        Ok(plan)
    }

    /// Reads the tree that is in force at the start.
    ///
    /// # Errors
    /// [`Error`] with the file and the remedy.
    pub fn root(&self) -> Result<Node, Error> {
        Ok(Node::from_json(bytes(&self.tree)?)?)
    }

    /// Reads and resolves the tree, and checks the plan's names against it.
    ///
    /// # Errors
    /// [`Error`] with the file and the remedy.
    pub fn view(&self) -> Result<View, Error> {
        let view = compile::compile(&self.root()?, Revision::new(1))?.view;
        for part in &self.mix {
            known_route(&view, &part.route)?;
        }
        for caller in &self.accounts {
            known_account(&view, &caller.account)?;
        }
        for timed in &self.faults {
            match &timed.fault {
                Fault::Rate { account, .. } => known_account(&view, account)?,
                Fault::Poison { account, route, .. } => {
                    known_account(&view, account)?;
                    known_route(&view, route)?;
                }
                _ => {}
            }
        }
        Ok(view)
    }
}

fn known_route(view: &View, route: &id::Route) -> Result<(), Error> {
    let mut routes = view.services.values().flat_map(|service| &service.routes);
    if routes.any(|known| known.name == *route) {
        return Ok(());
    }
    Err(Error::Unknown {
        kind: "route",
        name: route.to_string(),
    })
}

fn known_account(view: &View, account: &id::Account) -> Result<(), Error> {
    if view.accounts.contains_key(account) {
        return Ok(());
    }
    Err(Error::Unknown {
        kind: "client account",
        name: account.to_string(),
    })
}

fn bytes(file: &Path) -> Result<Vec<u8>, Error> {
    std::fs::read(file).map_err(|source| Error::File {
        file: file.to_owned(),
        source,
    })
}

/// The members of a file, laid over those of its base. Paths in a file start at the file.
fn members(file: &Path, bases: usize) -> Result<Map<String, Value>, Error> {
    if bases == 0 {
        return Err(Error::Bases(file.to_owned()));
    }
    let mut members: Map<String, Value> =
        serde_json::from_slice(&bytes(file)?).map_err(|source| Error::Form {
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
    let mut whole = self::members(&folder.join(base), bases - 1)?;
    whole.extend(members);
    Ok(whole)
}
