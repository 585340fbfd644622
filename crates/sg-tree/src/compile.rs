//! Validates a tree and resolves it into a view.

mod resolve;
mod shape;

use sg_types::revision::Revision;

use crate::{Fault, Node, View, fault::Severity};

/// The error for a tree that was rejected.
#[derive(Debug, thiserror::Error)]
#[error("the tree is refused: {} faults, the first: {}", .faults.len(), .faults[0])]
pub struct Error {
    /// All faults that were found, including warnings. At least one is an error.
    pub faults: Vec<Fault>,
}

/// The result of compiling a tree that was accepted.
#[derive(Debug, Clone)]
pub struct Output {
    /// The resolved view.
    pub view: View,
    /// Faults that don't cause the tree to be rejected.
    pub warnings: Vec<Fault>,
}

/// Validates the tree below `root` and resolves it into the view of `revision`.
///
/// # Errors
/// Returns [`Error`] with all faults found if at least one of them is an error.
pub fn compile(root: &Node, revision: Revision) -> Result<Output, Error> {
    let faults = shape::check(root);
    if has_errors(&faults) {
        return Err(Error { faults });
    }
    let mut resolver = resolve::Resolver::new(root, faults);
    let view = resolver.view(revision);
    let faults = resolver.into_faults();
    if has_errors(&faults) {
        return Err(Error { faults });
    }
    Ok(Output {
        view,
        warnings: faults,
    })
}

fn has_errors(faults: &[Fault]) -> bool {
    faults.iter().any(|fault| fault.severity == Severity::Error)
}
