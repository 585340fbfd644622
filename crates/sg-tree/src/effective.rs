//! The value in force at a place of the tree, and where it comes from.

use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{Kind, Node, Path, setting};

/// Where a value comes from.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Source {
    /// It stands at the place itself.
    Own,
    /// It is inherited from this node.
    Inherited(Path),
    /// It is the setting's default.
    Default,
}

/// A value in force and where it comes from.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trace {
    /// The setting's path.
    pub path: Path,
    /// The value in force.
    pub value: Arc<str>,
    /// Where it comes from.
    pub source: Source,
}

impl fmt::Display for Trace {
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

/// Traces under each other, their values and sources in columns.
#[must_use]
pub fn text(traces: &[Trace]) -> String {
    let paths: Vec<String> = traces.iter().map(|trace| trace.path.to_string()).collect();
    let path_width = paths.iter().map(String::len).max().unwrap_or_default();
    let value_width = traces.iter().map(|trace| trace.value.len()).max();
    let value_width = value_width.unwrap_or_default();
    let lines = traces.iter().zip(&paths).map(|(trace, path)| {
        let (value, source) = (&trace.value, &trace.source);
        format!("{path:<path_width$}  {value:<value_width$}  ({source})")
    });
    lines.collect::<Vec<String>>().join("\n")
}

/// The value in force of the setting at `path`, a node's path and the setting's name.
#[must_use]
pub fn trace(root: &Node, path: &Path) -> Option<Trace> {
    let (place, name) = path.split()?;
    let mut node = Some(place.clone());
    while let Some(current) = node {
        if let Some(value) = root.setting(&current.join(name)) {
            let source = if current == place {
                Source::Own
            } else {
                Source::Inherited(current)
            };
            return Some(Trace {
                path: path.clone(),
                value: value.into(),
                source,
            });
        }
        node = current.split().map(|(parent, _)| parent);
    }
    let value = setting::find(name)?.default?;
    Some(Trace {
        path: path.clone(),
        value: value.into(),
        source: Source::Default,
    })
}

/// Every setting that is used at or below `path`, with the values in force.
#[must_use]
pub fn list(root: &Node, path: &Path) -> Vec<Trace> {
    let mut traces = Vec::new();
    if let (Some(node), Some(kind)) = (root.at(path), kind(path)) {
        gather(root, node, kind, path, &mut traces);
    }
    traces
}

/// The kind of the node at `path`.
#[must_use]
pub fn kind(path: &Path) -> Option<Kind> {
    path.segments().try_fold(Kind::Root, Kind::child)
}

fn gather(root: &Node, node: &Node, kind: Kind, path: &Path, traces: &mut Vec<Trace>) {
    let used = setting::ALL
        .iter()
        .filter(|spec| spec.used_by.contains(&kind));
    traces.extend(used.filter_map(|spec| trace(root, &path.join(spec.name))));
    for (name, child) in &node.children {
        if let Some(kind) = kind.child(name) {
            gather(root, child, kind, &path.join(name), traces);
        }
    }
}
