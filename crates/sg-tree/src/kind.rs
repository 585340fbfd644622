//! The kinds of nodes, and the kinds of children that each may have.

use serde::{Deserialize, Serialize};

/// The kind of a node, determined by the node's path.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// `/`
    Root,
    /// `/fleet`: settings shared by all instances of the system.
    Fleet,
    /// `/entries`
    Entries,
    /// `/entries/NAME`: one instance of the system.
    Entry,
    /// `/regions`
    Regions,
    /// `/regions/NAME`
    Region,
    /// `/regions/NAME/domains`
    Domains,
    /// `/regions/NAME/domains/NAME`: a failure domain.
    Domain,
    /// `/links`
    Links,
    /// `/links/REGION--REGION`: the link between two regions, in both directions.
    Link,
    /// `/services`
    Services,
    /// `/services/NAME`
    Service,
    /// `/services/NAME/split`
    Split,
    /// `/services/NAME/split/REGION`: a region's fraction of the service's traffic.
    Part,
    /// `/services/NAME/routes`
    Routes,
    /// `/services/NAME/routes/NAME`
    Route,
    /// `/services/NAME/targets`
    Targets,
    /// `/services/NAME/targets/NAME`
    Target,
    /// `/accounts`
    Accounts,
    /// `/accounts/NAME`: a client account.
    Account,
    /// `/accounts/NAME/keys`
    Keys,
    /// `/accounts/NAME/keys/NAME`
    Key,
}

impl Kind {
    /// Returns the kind of the child `name` of a node of this kind, or `None` if the tree allows no
    /// such child.
    #[must_use]
    pub fn child(self, name: &str) -> Option<Self> {
        let kind = match (self, name) {
            (Self::Root, "fleet") => Self::Fleet,
            (Self::Root, "entries") => Self::Entries,
            (Self::Root, "regions") => Self::Regions,
            (Self::Root, "links") => Self::Links,
            (Self::Root, "services") => Self::Services,
            (Self::Root, "accounts") => Self::Accounts,
            (Self::Entries, _) => Self::Entry,
            (Self::Regions, _) => Self::Region,
            (Self::Region, "domains") => Self::Domains,
            (Self::Domains, _) => Self::Domain,
            (Self::Links, _) => Self::Link,
            (Self::Services, _) => Self::Service,
            (Self::Service, "split") => Self::Split,
            (Self::Split, _) => Self::Part,
            (Self::Service, "routes") => Self::Routes,
            (Self::Routes, _) => Self::Route,
            (Self::Service, "targets") => Self::Targets,
            (Self::Targets, _) => Self::Target,
            (Self::Accounts, _) => Self::Account,
            (Self::Account, "keys") => Self::Keys,
            (Self::Keys, _) => Self::Key,
            _ => return None,
        };
        Some(kind)
    }

    /// Returns the kind of the parent node, or `None` for the root.
    #[must_use]
    pub const fn parent(self) -> Option<Self> {
        let parent = match self {
            Self::Root => return None,
            Self::Fleet
            | Self::Entries
            | Self::Regions
            | Self::Links
            | Self::Services
            | Self::Accounts => Self::Root,
            Self::Entry => Self::Entries,
            Self::Region => Self::Regions,
            Self::Domains => Self::Region,
            Self::Domain => Self::Domains,
            Self::Link => Self::Links,
            Self::Service => Self::Services,
            Self::Split | Self::Routes | Self::Targets => Self::Service,
            Self::Part => Self::Split,
            Self::Route => Self::Routes,
            Self::Target => Self::Targets,
            Self::Account => Self::Accounts,
            Self::Keys => Self::Account,
            Self::Key => Self::Keys,
        };
        Some(parent)
    }

    /// Returns whether `other` is this kind or occurs below it.
    #[must_use]
    pub fn contains(self, other: Self) -> bool {
        let mut kind = Some(other);
        while let Some(current) = kind {
            if current == self {
                return true;
            }
            kind = current.parent();
        }
        false
    }
}
