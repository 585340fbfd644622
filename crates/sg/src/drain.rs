//! `sg drain`: takes a target, failure domain, region or entry out of service.

use std::str::FromStr;

use sg_tree::{Node, Path, setting};

use crate::{Context, Error, options::Drain};

/// What may be drained.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A target of a service.
    Target,
    /// A failure domain.
    Domain,
    /// A region.
    Region,
    /// An instance of the system.
    Entry,
}

impl FromStr for Kind {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "target" => Ok(Self::Target),
            "domain" => Ok(Self::Domain),
            "region" => Ok(Self::Region),
            "entry" => Ok(Self::Entry),
            _ => Err("drain a target, domain, region or entry".to_owned()),
        }
    }
}

/// Runs `sg drain`.
///
/// # Errors
/// See [`Error`]; refused if a region would be left with no headroom.
pub async fn run(context: &Context, options: &Drain) -> Result<(), Error> {
    let (Some(kind), Some(name)) = (options.kind, &options.name) else {
        return Err(Error::Usage("name a kind and a name".to_owned()));
    };
    let loaded = context.load().await?;
    let place = place(&loaded.tree, kind, name)?;
    let mut after = loaded.tree.clone();
    let setting = place.join(setting::DRAIN.name);
    if options.undo {
        after.remove(&setting);
    } else {
        after.set(&setting, "yes");
    }
    context
        .change(loaded.head.revision, &loaded.tree, &after)
        .await
}

/// The node that the drain stands at.
fn place(tree: &Node, kind: Kind, name: &str) -> Result<Path, Error> {
    let root = Path::root();
    let path = match kind {
        Kind::Region => Some(root.join("regions").join(name)),
        // An entry need not stand in the tree before it is drained.
        Kind::Entry => return Ok(root.join("entries").join(name)),
        Kind::Domain => domain(tree, name),
        Kind::Target => name.split_once('/').map(|(service, target)| {
            root.join("services")
                .join(service)
                .join("targets")
                .join(target)
        }),
    };
    path.filter(|path| tree.at(path).is_some()).ok_or_else(|| {
        Error::Refused(format!(
            "'{name}' is not in the tree; 'sg tree get' prints the names, and a target is named \
             SERVICE/TARGET"
        ))
    })
}

fn domain(tree: &Node, name: &str) -> Option<Path> {
    let regions = Path::root().join("regions");
    tree.at(&regions)?
        .children
        .keys()
        .map(|region| regions.join(region).join("domains").join(name))
        .find(|path| tree.at(path).is_some())
}
