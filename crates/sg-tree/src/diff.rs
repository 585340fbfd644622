//! The readable difference between two trees.

use std::{fmt, sync::Arc};

use indexmap::IndexSet;
use serde::{Deserialize, Serialize};

use crate::{Kind, Node, Path, setting};

/// The most heirs of a change that are listed by name.
const MAX_HEIRS: usize = 8;

/// One setting that differs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The setting's path.
    pub path: Path,
    /// The value in force at this place before, its own or inherited; `None` if there is none.
    pub before: Option<Arc<str>>,
    /// The value in force at this place after.
    pub after: Option<Arc<str>>,
    /// Whether the value after stands here, rather than being inherited again.
    pub own: bool,
    /// The nodes below that use the setting and inherit it from here.
    pub heirs: Vec<Path>,
}

/// Every setting that differs between two trees, in the order of the trees.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Difference {
    /// The changes.
    pub changes: Vec<Change>,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sign = match (&self.before, &self.after) {
            (before, after) if before == after => '=',
            (None, _) => '+',
            (_, None) => '-',
            _ => '~',
        };
        let before = self.before.as_deref().unwrap_or("not set");
        let after = self.after.as_deref().unwrap_or("not set");
        if self.before == self.after {
            write!(f, "{sign} {}: {after}", self.path)?;
        } else {
            write!(f, "{sign} {}: {before} -> {after}", self.path)?;
        }
        if self.own && self.before == self.after {
            f.write_str(" (now set here)")?;
        }
        if !self.own && self.after.is_some() {
            f.write_str(" (inherited again)")?;
        }
        if self.heirs.is_empty() {
            return Ok(());
        }
        f.write_str("; inherited by ")?;
        for (index, heir) in self.heirs.iter().take(MAX_HEIRS).enumerate() {
            let separator = if index == 0 { "" } else { ", " };
            write!(f, "{separator}{heir}")?;
        }
        match self.heirs.len().saturating_sub(MAX_HEIRS) {
            0 => Ok(()),
            more => write!(f, " and {more} more"),
        }
    }
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.changes.is_empty() {
            return f.write_str("no difference");
        }
        for (index, change) in self.changes.iter().enumerate() {
            let separator = if index == 0 { "" } else { "\n" };
            write!(f, "{separator}{change}")?;
        }
        Ok(())
    }
}

/// The difference from `before` to `after`.
#[must_use]
pub fn diff(before: &Node, after: &Node) -> Difference {
    let mut walk = Walk {
        before,
        after,
        changes: Vec::new(),
    };
    walk.node(&Path::root(), Kind::Root);
    Difference {
        changes: walk.changes,
    }
}

struct Walk<'a> {
    before: &'a Node,
    after: &'a Node,
    changes: Vec<Change>,
}

impl Walk<'_> {
    fn node(&mut self, path: &Path, kind: Kind) {
        let old = self.before.at(path);
        let new = self.after.at(path);
        for name in names(old, new, |node| &node.settings) {
            self.setting(path, kind, &name);
        }
        for name in names(old, new, |node| &node.children) {
            if let Some(child) = kind.child(&name) {
                self.node(&path.join(&name), child);
            }
        }
    }

    fn setting(&mut self, path: &Path, kind: Kind, name: &Arc<str>) {
        let setting = path.join(name);
        if self.before.setting(&setting) == self.after.setting(&setting) {
            return;
        }
        let own = self.after.setting(&setting).is_some();
        let change = Change {
            before: in_force(self.before, &setting),
            after: in_force(self.after, &setting),
            own,
            heirs: self.heirs(path, kind, name),
            path: setting,
        };
        self.changes.push(change);
    }

    fn heirs(&self, path: &Path, kind: Kind, name: &str) -> Vec<Path> {
        let mut heirs = Vec::new();
        if let (Some(node), Some(spec)) = (self.after.at(path), setting::find(name)) {
            gather(node, path, kind, spec, &mut heirs);
        }
        heirs
    }
}

fn gather(node: &Node, path: &Path, kind: Kind, spec: &setting::Spec, heirs: &mut Vec<Path>) {
    for (name, child) in &node.children {
        let Some(child_kind) = kind.child(name) else {
            continue;
        };
        if child.settings.contains_key(spec.name) {
            continue;
        }
        let path = path.join(name);
        if spec.used_by.contains(&child_kind) {
            heirs.push(path.clone());
        }
        gather(child, &path, child_kind, spec, heirs);
    }
}

fn names<T>(
    old: Option<&Node>,
    new: Option<&Node>,
    of: impl Fn(&Node) -> &indexmap::IndexMap<Arc<str>, T>,
) -> IndexSet<Arc<str>> {
    let old = old.into_iter().flat_map(|node| of(node).keys());
    let new = new.into_iter().flat_map(|node| of(node).keys());
    old.chain(new).cloned().collect()
}

fn in_force(root: &Node, setting: &Path) -> Option<Arc<str>> {
    crate::effective::trace(root, setting).map(|trace| trace.value)
}
