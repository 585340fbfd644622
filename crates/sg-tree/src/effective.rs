//! The effective values of settings at the nodes of a tree, and their sources.

use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{Kind, Node, Path, setting};

/// The source of an effective value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Source {
    /// The value is set at the node itself.
    Own,
    /// The value is inherited from the node at this path.
    Inherited(Path),
    /// The value is the setting's default.
    Default,
}

/// A setting's effective value and the source of the value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Setting {
    /// The setting's path.
    pub path: Path,
    /// The effective value.
    pub value: Arc<str>,
    /// The source of the value.
    pub source: Source,
}

impl fmt::Display for Setting {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} = {} ({})", self.path, self.value, self.source)
    }
}

impl fmt::Display for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Own => f.write_str("set here"),
            Self::Inherited(path) => write!(f, "inherited from {path}"),
            Self::Default => f.write_str("default"),
        }
    }
}

/// Formats `settings` as a table with one line for each and aligned columns for path, value and
/// source.
#[must_use]
pub fn format_table(settings: &[Setting]) -> String {
    let paths: Vec<String> = settings
        .iter()
        .map(|setting| setting.path.to_string())
        .collect();
    let path_width = paths.iter().map(String::len).max().unwrap_or_default();
    let value_width = settings.iter().map(|setting| setting.value.len()).max();
    let value_width = value_width.unwrap_or_default();
    let lines = settings.iter().zip(&paths).map(|(setting, path)| {
        let (value, source) = (&setting.value, &setting.source);
        format!("{path:<path_width$}  {value:<value_width$}  ({source})")
    });
    lines.collect::<Vec<String>>().join("\n")
}

/// Returns the effective value of the setting at `path`, which is a node's path followed by the
/// setting's name. Returns `None` if no value is set and the setting has no default.
#[must_use]
pub fn resolve(root: &Node, path: &Path) -> Option<Setting> {
    let (own_node, name) = path.split_last()?;
    let mut node = Some(own_node.clone());
    while let Some(current) = node {
        if let Some(value) = root.setting(&current.join(name)) {
            let source = if current == own_node {
                Source::Own
            } else {
                Source::Inherited(current)
            };
            return Some(Setting {
                path: path.clone(),
                value: value.into(),
                source,
            });
        }
        node = current.split_last().map(|(parent, _)| parent);
    }
    let value = setting::find(name)?.default?;
    Some(Setting {
        path: path.clone(),
        value: value.into(),
        source: Source::Default,
    })
}

/// Returns the effective values of all settings that the node at `path` and the nodes below it use.
#[must_use]
pub fn list(root: &Node, path: &Path) -> Vec<Setting> {
    let mut settings = Vec::new();
    if let (Some(node), Some(kind)) = (root.at(path), kind_at(path)) {
        collect_settings(root, node, kind, path, &mut settings);
    }
    settings
}

/// Returns the kind of the node at `path`, or `None` if the tree can't have a node there.
#[must_use]
pub fn kind_at(path: &Path) -> Option<Kind> {
    path.segments().try_fold(Kind::Root, Kind::child)
}

fn collect_settings(
    root: &Node,
    node: &Node,
    kind: Kind,
    path: &Path,
    settings: &mut Vec<Setting>,
) {
    let used = setting::ALL
        .iter()
        .filter(|spec| spec.used_by.contains(&kind));
    settings.extend(used.filter_map(|spec| resolve(root, &path.join(spec.name))));
    for (name, child) in &node.children {
        if let Some(kind) = kind.child(name) {
            collect_settings(root, child, kind, &path.join(name), settings);
        }
    }
}
