//! Reads the accepted tree.

use sg_tree::{Node, node};
use sg_types::revision::Revision;

use crate::{
    Store, Version,
    head::{self, Head},
};

/// How often a load starts over because the tree changed under it.
const ATTEMPTS: usize = 3;

/// Why no tree was loaded.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The store did not answer as it should.
    #[error(transparent)]
    Store(#[from] crate::Error),
    /// Nothing was published yet.
    #[error("the store holds no tree yet; publish one with 'sg tree set'")]
    Absent,
    /// A chunk is missing.
    #[error("chunks of revision {revision} are missing in the store; publish the tree again")]
    Incomplete {
        /// The revision.
        revision: Revision,
    },
    /// The text is no tree.
    #[error("revision {revision} can't be read: {cause}; publish a corrected tree")]
    Unreadable {
        /// The revision.
        revision: Revision,
        /// Why.
        cause: node::Error,
    },
    /// The tree is not the one that the head names.
    #[error("revision {revision} doesn't match its digest; publish the tree again")]
    Corrupt {
        /// The revision.
        revision: Revision,
    },
}

/// A loaded tree.
#[derive(Debug, Clone, PartialEq)]
pub struct Outcome {
    /// Its head.
    pub head: Head,
    /// The tree.
    pub tree: Node,
    /// The version of the head's key; a watch from here misses no later head.
    pub version: Version,
}

/// Loads the accepted tree and checks its digest.
///
/// # Errors
/// See [`Error`].
pub async fn load(store: &impl Store) -> Result<Outcome, Error> {
    let mut fault = Error::Absent;
    for _ in 0..ATTEMPTS {
        let placed = head::read(store).await?.ok_or(Error::Absent)?;
        match tree(store, &placed.head).await {
            Ok(tree) => {
                return Ok(Outcome {
                    head: placed.head,
                    tree,
                    version: placed.version,
                });
            }
            Err(Error::Incomplete { revision }) => fault = Error::Incomplete { revision },
            Err(error) => return Err(error),
        }
    }
    Err(fault)
}

/// Loads the tree of `head` and checks its digest.
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
