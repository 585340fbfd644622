//! Differences between two trees in a form that operators can read.

use std::{fmt, sync::Arc};

use indexmap::IndexSet;
use serde::{Deserialize, Serialize};

use crate::{Kind, Node, Path, setting};

/// Maximum number of inheriting nodes that a change lists by path.
const MAX_LISTED: usize = 8;

/// One setting that differs between two trees.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The setting's path.
    pub path: Path,
    /// The value in effect before the change, set at the node or inherited; `None` if there is none.
    pub before: Option<Arc<str>>,
    /// The value in effect after the change, set at the node or inherited; `None` if there is none.
    pub after: Option<Arc<str>>,
    /// Whether the value after the change is set at the node itself rather than inherited.
    pub own: bool,
    /// The paths of the nodes below this node that use the setting and inherit it.
    #[serde(rename = "heirs")]
    pub inherited_by: Vec<Path>,
}

/// All settings that differ between two trees, in the order of the trees.
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
        if self.inherited_by.is_empty() {
            return Ok(());
        }
        f.write_str("; inherited by ")?;
        for (index, node) in self.inherited_by.iter().take(MAX_LISTED).enumerate() {
            let separator = if index == 0 { "" } else { ", " };
            write!(f, "{separator}{node}")?;
        }
        match self.inherited_by.len().saturating_sub(MAX_LISTED) {
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

/// Returns the settings that differ between `before` and `after`.
#[must_use]
pub fn diff(before: &Node, after: &Node) -> Difference {
    let mut comparison = Comparison {
        before,
        after,
        changes: Vec::new(),
    };
    comparison.compare_nodes(&Path::root(), Kind::Root);
    Difference {
        changes: comparison.changes,
    }
}

/// A comparison of two trees, with the changes found so far.
struct Comparison<'a> {
    before: &'a Node,
    after: &'a Node,
    changes: Vec<Change>,
}

impl Comparison<'_> {
    fn compare_nodes(&mut self, path: &Path, kind: Kind) {
        let old = self.before.at(path);
        let new = self.after.at(path);
        for name in names_in_either(old, new, |node| &node.settings) {
            self.compare_setting(path, kind, &name);
        }
        for name in names_in_either(old, new, |node| &node.children) {
            if let Some(child) = kind.child(&name) {
                self.compare_nodes(&path.join(&name), child);
            }
        }
    }

    fn compare_setting(&mut self, path: &Path, kind: Kind, name: &Arc<str>) {
        let setting = path.join(name);
        if self.before.setting(&setting) == self.after.setting(&setting) {
            return;
        }
        let own = self.after.setting(&setting).is_some();
        let change = Change {
            before: effective_value(self.before, &setting),
            after: effective_value(self.after, &setting),
            own,
            inherited_by: self.inheriting_nodes(path, kind, name),
            path: setting,
        };
        self.changes.push(change);
    }

    fn inheriting_nodes(&self, path: &Path, kind: Kind, name: &str) -> Vec<Path> {
        let mut nodes = Vec::new();
        if let (Some(node), Some(spec)) = (self.after.at(path), setting::find(name)) {
            collect_inheriting(node, path, kind, spec, &mut nodes);
        }
        nodes
    }
}

/// Appends the paths of the nodes below `path` that use the setting `spec` and inherit it from the
/// node at `path`.
fn collect_inheriting(
    node: &Node,
    path: &Path,
    kind: Kind,
    spec: &setting::Spec,
    inheriting: &mut Vec<Path>,
) {
    for (name, child) in &node.children {
        let Some(child_kind) = kind.child(name) else {
            continue;
        };
        if child.settings.contains_key(spec.name) {
            continue;
        }
        let path = path.join(name);
        if spec.used_by.contains(&child_kind) {
            inheriting.push(path.clone());
        }
        collect_inheriting(child, &path, child_kind, spec, inheriting);
    }
}

/// Returns the names of the members that occur in at least one of the two nodes.
fn names_in_either<T>(
    old: Option<&Node>,
    new: Option<&Node>,
    members: impl Fn(&Node) -> &indexmap::IndexMap<Arc<str>, T>,
) -> IndexSet<Arc<str>> {
    let old = old.into_iter().flat_map(|node| members(node).keys());
    let new = new.into_iter().flat_map(|node| members(node).keys());
    old.chain(new).cloned().collect()
}

fn effective_value(root: &Node, setting: &Path) -> Option<Arc<str>> {
    crate::effective::resolve(root, setting).map(|setting| setting.value)
}
