//! Validates the name, location and value of each node and setting on its own.

use sg_types::id;

use crate::{Fault, Kind, Node, Path, setting};

/// Returns the faults of `root` and of all nodes and settings below.
pub(super) fn check(root: &Node) -> Vec<Fault> {
    let mut faults = Vec::new();
    check_node(root, Kind::Root, &Path::root(), &mut faults);
    faults
}

fn check_node(node: &Node, kind: Kind, path: &Path, faults: &mut Vec<Fault>) {
    for (name, value) in &node.settings {
        faults.extend(check_setting(kind, &path.join(name), name, value));
    }
    for (name, child) in &node.children {
        let path = path.join(name);
        match child_kind(kind, name, &path) {
            Ok(kind) => check_node(child, kind, &path, faults),
            Err(fault) => faults.push(fault),
        }
    }
}

fn child_kind(kind: Kind, name: &str, path: &Path) -> Result<Kind, Fault> {
    let Some(child) = kind.child(name) else {
        return Err(Fault::error(
            path.clone(),
            format!("no node named '{name}' is allowed here"),
            "remove it, or see the settings reference for the nodes of the tree",
        ));
    };
    // All kinds of identifiers have the same syntax.
    match id::Instance::new(name) {
        Ok(_) => Ok(child),
        Err(error) => Err(Fault::error(
            path.clone(),
            error.to_string(),
            "rename the node",
        )),
    }
}

fn check_setting(kind: Kind, path: &Path, name: &str, value: &str) -> Option<Fault> {
    let Some(spec) = setting::find(name) else {
        return Some(Fault::error(
            path.clone(),
            format!("no setting is named '{name}'"),
            "remove it, or see the settings reference for the names",
        ));
    };
    if !spec.allowed_at(kind) {
        return Some(Fault::error(
            path.clone(),
            format!("'{name}' has no effect here"),
            format!("set it at or above a node that uses it: {:?}", spec.used_by),
        ));
    }
    if spec.format.accepts(value) {
        return None;
    }
    Some(Fault::error(
        path.clone(),
        format!("'{value}' is not a valid value of '{name}'"),
        format!("write it like {}", spec.format.example()),
    ))
}
