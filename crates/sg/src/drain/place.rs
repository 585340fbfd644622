//! Where a drain stands in the tree, and which targets it concerns.

use sg_report::drain::Scope;
use sg_tree::{Node, Path, View, compile, effective, setting};
use sg_types::prelude::*;

use super::Kind;
use crate::Error;

/// Something that may be drained.
#[derive(Debug)]
pub(super) struct Place {
    /// The node that the drain stands at.
    pub(super) path: Path,
    kind: Kind,
    name: Arc<str>,
}

impl Place {
    /// Finds what is called `name`.
    pub(super) fn find(tree: &Node, kind: Kind, name: &str) -> Result<Self, Error> {
        let root = Path::root();
        let path = match kind {
            Kind::Region => Some(root.join("regions").join(name)),
            Kind::Entry => return Self::entry(name),
            Kind::Domain => domain(tree, name),
            Kind::Target => name.split_once('/').map(|(service, target)| {
                let service = root.join("services").join(service);
                service.join("targets").join(target)
            }),
        };
        let path = path.filter(|path| tree.at(path).is_some());
        let path = path.ok_or_else(|| unknown(name))?;
        Ok(Self {
            path,
            kind,
            name: name.into(),
        })
    }

    /// An entry need not stand in the tree before it is drained.
    fn entry(name: &str) -> Result<Self, Error> {
        let name = id::Instance::new(name).map_err(|error| Error::Usage(error.to_string()))?;
        Ok(Self {
            path: Path::root().join("entries").join(&name),
            kind: Kind::Entry,
            name: name.as_str().into(),
        })
    }

    /// Whether `tree` drains it, by its own setting or an inherited one.
    pub(super) fn drained(&self, tree: &Node) -> bool {
        let trace = effective::resolve(tree, &self.path.join(setting::DRAIN.name));
        trace.is_some_and(|trace| trace.value.as_ref() == "yes")
    }

    /// The targets or the entry that the drain concerns.
    pub(super) fn scope(&self, tree: &Node) -> Result<Scope, Error> {
        if let Kind::Entry = self.kind {
            let entry = id::Instance::new(self.name.as_ref());
            let entry = entry.map_err(|error| Error::Usage(error.to_string()))?;
            return Ok(Scope::Instance(entry));
        }
        let view = compile::compile(tree, Revision::new(1))?.view;
        Ok(Scope::Targets(self.targets(&view)))
    }

    fn targets(&self, view: &View) -> IndexSet<(id::Service, id::Target)> {
        let mut targets = IndexSet::new();
        for service in view.services.values() {
            for (name, target) in &service.targets {
                let concerned = match self.kind {
                    Kind::Region => target.region.as_str() == self.name.as_ref(),
                    Kind::Domain => target.domain.as_str() == self.name.as_ref(),
                    Kind::Target => format!("{}/{name}", service.name) == self.name.as_ref(),
                    Kind::Entry => false,
                };
                if concerned {
                    targets.insert((service.name.clone(), name.clone()));
                }
            }
        }
        targets
    }

    /// The entry, if it is one.
    pub(super) fn as_entry(&self) -> Option<&str> {
        (self.kind == Kind::Entry).then_some(self.name.as_ref())
    }
}

fn unknown(name: &str) -> Error {
    Error::Refused(format!(
        "'{name}' is not in the tree; 'sg tree get' prints the names, and a target is named \
         SERVICE/TARGET"
    ))
}

fn domain(tree: &Node, name: &str) -> Option<Path> {
    let regions = Path::root().join("regions");
    tree.at(&regions)?
        .children
        .keys()
        .map(|region| regions.join(region).join("domains").join(name))
        .find(|path| tree.at(path).is_some())
}
