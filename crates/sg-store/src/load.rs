//! Loads the accepted tree.

use sg_tree::{Node, node};
use sg_types::revision::Revision;

use crate::{
    Store, Version,
    head::{self, Head},
};

/// Maximum number of attempts to load a tree that is replaced while it is read.
const MAX_ATTEMPTS: usize = 3;

/// Errors of loading a tree.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A call to the store failed.
    #[error(transparent)]
    Store(#[from] crate::Error),
    /// No tree was published yet, or the revision is not kept.
    #[error("the store holds no tree yet; publish one with 'sg tree set'")]
    Absent,
    /// Chunks are missing.
    #[error("the store lacks chunks of revision {revision}; publish the tree again")]
    Incomplete {
        /// Revision of the tree.
        revision: Revision,
    },
    /// The text is not a valid tree.
    #[error("revision {revision} can't be parsed: {cause}; publish a corrected tree")]
    Unreadable {
        /// Revision of the tree.
        revision: Revision,
        /// Error of the parser.
        cause: node::Error,
    },
    /// The tree does not match the digest in the head.
    #[error("revision {revision} doesn't match its digest; publish the tree again")]
    Corrupt {
        /// Revision of the tree.
        revision: Revision,
    },
}

/// A loaded tree.
#[derive(Debug, Clone, PartialEq)]
pub struct Outcome {
    /// Head of the tree.
    pub head: Head,
    /// Contents of the tree.
    pub tree: Node,
    /// Version at which the head was written. A watch from this version misses no later head.
    pub version: Version,
}

/// Loads the accepted tree and verifies its digest.
///
/// # Errors
/// See [`Error`].
pub async fn load(store: &impl Store) -> Result<Outcome, Error> {
    let mut last_error = Error::Absent;
    for _ in 0..MAX_ATTEMPTS {
        let current = head::read(store).await?.ok_or(Error::Absent)?;
        match tree(store, &current.head).await {
            Ok(tree) => {
                return Ok(Outcome {
                    head: current.head,
                    tree,
                    version: current.version,
                });
            }
            Err(Error::Incomplete { revision }) => last_error = Error::Incomplete { revision },
            Err(error) => return Err(error),
        }
    }
    Err(last_error)
}

/// Loads the tree of `head` and verifies its digest.
///
/// # Errors
/// See [`Error`].
pub async fn tree(store: &impl Store, head: &Head) -> Result<Node, Error> {
    let revision = head.revision;
    let page = store.list(&head.chunk_prefix()).await?;
    if page.entries.len() != head.chunks as usize {
        return Err(Error::Incomplete { revision });
    }
    let text: Vec<u8> = page
        .entries
        .iter()
        .flat_map(|entry| entry.value.iter().copied())
        .collect();
    let tree = Node::from_json(text).map_err(|cause| Error::Unreadable { revision, cause })?;
    match tree.digest() == head.digest {
        true => Ok(tree),
        false => Err(Error::Corrupt { revision }),
    }
}
