//! Checks a whole tree and resolves it into a view.

mod resolve;
mod shape;

use sg_types::revision::Revision;

use crate::{Fault, Node, View, fault::Severity};

/// Why a tree was refused.
#[derive(Debug, thiserror::Error)]
#[error("the tree is refused: {} faults, the first: {}", .faults.len(), .faults[0])]
pub struct Error {
    /// Every fault that was found, warnings included; at least one is an error.
    pub faults: Vec<Fault>,
}

/// A tree that was accepted.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// The resolved view.
    pub view: View,
    /// Faults that do not refuse the tree.
    pub warnings: Vec<Fault>,
}

/// Checks `root` and resolves it as `revision`.
///
/// # Errors
/// [`Error`] with every fault found.
pub fn compile(root: &Node, revision: Revision) -> Result<Outcome, Error> {
    let faults = shape::check(root);
    if refused(&faults) {
        return Err(Error { faults });
    }
    let mut resolver = resolve::Resolver::new(root, faults);
    let view = resolver.view(revision);
    let faults = resolver.into_faults();
    if refused(&faults) {
        return Err(Error { faults });
    }
    Ok(Outcome {
        view,
        warnings: faults,
    })
}

fn refused(faults: &[Fault]) -> bool {
    faults.iter().any(|fault| fault.severity == Severity::Error)
}
