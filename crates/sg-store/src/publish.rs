//! Publishes a tree: chunks first, then the head by compare-and-swap.
//!
//! The change's id stands in the head. After a lost answer the head is read back and the swap is
//! repeated: it can take effect once only, since it names the version that it replaces.

use std::sync::Arc;

use bytes::Bytes;
use sg_tree::{Node, compile};
use sg_types::revision::Revision;

use crate::{
    Expect, Store, Swap, change,
    head::{self, Date, Head, Placed},
    history, load,
};

/// The size of a chunk, in bytes.
const CHUNK: usize = 512 << 10;
/// How often a write is sent before it counts as in doubt.
const ATTEMPTS: usize = 4;

/// What goes with a tree.
#[derive(Debug, Clone)]
pub struct Options {
    /// The revision that the operator changed; zero for the first tree.
    pub base: Revision,
    /// Who makes the change.
    pub author: Arc<str>,
    /// What for.
    pub note: Arc<str>,
    /// The change's id. To be sure of a change in doubt, publish it again with the same id.
    pub change: change::Id,
    /// When, by the author's clock.
    pub time: Date,
}

/// Why a tree was not published.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The tree has faults.
    #[error(transparent)]
    Faults(#[from] compile::Error),
    /// Another operator's change was accepted first.
    #[error(
        "{} changed the tree to revision {} first; look at the difference and change that one",
        .theirs.author, .theirs.revision
    )]
    Race {
        /// The head that stands now.
        theirs: Box<Head>,
        /// Its tree.
        tree: Box<Node>,
    },
    /// The operator changed a revision that was never accepted.
    #[error("revision {base} was never accepted; read the tree again and change that one")]
    Base {
        /// The revision that the change was to replace.
        base: Revision,
    },
    /// The store gave no answer; the change may or may not take effect.
    #[error(
        "whether change {change} was accepted is not known ({cause}); when the store is back, \
         publish it again with this id or look for it in the history"
    )]
    Unknown {
        /// The change's id.
        change: change::Id,
        /// What the store said last.
        cause: crate::Error,
    },
    /// The store failed before the change could take effect.
    #[error("the change was not made: {0}")]
    Store(#[from] crate::Error),
    /// The accepted tree can't be read.
    #[error("the change was not made: {0}")]
    Load(#[from] load::Error),
}

/// A tree that was accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome {
    /// Its head.
    pub head: Head,
}

/// Publishes `tree` as the revision after `options.base`.
///
/// # Errors
/// See [`Error`]. Only [`Error::Unknown`] leaves open whether the change took effect.
pub async fn publish(store: &impl Store, tree: &Node, options: Options) -> Result<Outcome, Error> {
    let revision = options.base.next();
    compile::compile(tree, revision)?;
    let text = serde_json::to_vec(tree).unwrap_or_default();
    let chunks: Vec<&[u8]> = text.chunks(CHUNK).collect();
    let head = Head {
        revision,
        digest: tree.digest(),
        change: options.change,
        author: options.author,
        time: options.time,
        note: options.note,
        chunks: u32::try_from(chunks.len()).unwrap_or(u32::MAX),
    };
    let base = head::read(store).await?;
    if let Some(outcome) = settled(store, &head, base.as_ref()).await? {
        return Ok(outcome);
    }
    if base.is_none() && options.base != Revision::default() {
        return Err(Error::Base { base: options.base });
    }
    for (index, chunk) in chunks.into_iter().enumerate() {
        put(store, &head.chunk_key(index), Bytes::copy_from_slice(chunk)).await?;
    }
    if let Some(placed) = &base {
        put(store, &placed.head.history_key(), placed.head.to_value()).await?;
    }
    let outcome = swap(store, &head, base.as_ref()).await?;
    if let Err(error) = history::prune(store, revision).await {
        log::info!("an old revision was not removed: {error}");
    }
    Ok(outcome)
}

/// Whether the heads in the store already decide the change: made earlier, or overtaken.
async fn settled(
    store: &impl Store,
    ours: &Head,
    found: Option<&Placed>,
) -> Result<Option<Outcome>, Error> {
    let Some(found) = found.map(|placed| &placed.head) else {
        return Ok(None);
    };
    if found.revision < ours.revision {
        return match found.revision.next() == ours.revision {
            true => Ok(None),
            false => Err(Error::Base {
                base: Revision::new(ours.revision.get() - 1),
            }),
        };
    }
    // The head of a revision is copied to the history before the next one replaces it.
    let holder = match found.revision == ours.revision {
        true => Some(found.clone()),
        false => history::find(store, ours.revision).await?,
    };
    if let Some(holder) = holder.filter(|holder| holder.change == ours.change) {
        return Ok(Some(Outcome { head: holder }));
    }
    let tree = load::tree(store, found).await?;
    Err(Error::Race {
        theirs: Box::new(found.clone()),
        tree: Box::new(tree),
    })
}

/// Swaps the head, repeating after a lost answer.
async fn swap(store: &impl Store, head: &Head, base: Option<&Placed>) -> Result<Outcome, Error> {
    let expect = base.map_or(Expect::Absent, |placed| Expect::At(placed.version));
    let mut in_doubt = None;
    for _ in 0..ATTEMPTS {
        match store.swap(head::KEY, expect, head.to_value(), None).await {
            Ok(Swap::Done(_)) => return Ok(Outcome { head: head.clone() }),
            Ok(Swap::Conflict(_)) => return overtaken(store, head).await,
            Err(crate::Error::Lost { cause }) => in_doubt = Some(crate::Error::Lost { cause }),
            Err(error) if in_doubt.is_none() => return Err(error.into()),
            Err(error) => in_doubt = Some(error),
        }
    }
    let cause = in_doubt.unwrap_or(crate::Error::Lost {
        cause: "no attempt was made".to_owned(),
    });
    Err(Error::Unknown {
        change: head.change,
        cause,
    })
}

/// The swap found another head: an earlier send of ours, or another operator's.
async fn overtaken(store: &impl Store, head: &Head) -> Result<Outcome, Error> {
    let unknown = |cause| Error::Unknown {
        change: head.change,
        cause,
    };
    let found = head::read(store).await.map_err(unknown)?;
    match settled(store, head, found.as_ref()).await {
        Ok(Some(outcome)) => Ok(outcome),
        Ok(None) => Err(unknown(crate::Error::Malformed {
            cause: "the head went back".to_owned(),
        })),
        Err(Error::Store(cause)) => Err(unknown(cause)),
        Err(error) => Err(error),
    }
}

/// Writes a key that only this value may stand at.
async fn put(store: &impl Store, key: &str, value: Bytes) -> Result<(), crate::Error> {
    let mut fault = None;
    for _ in 0..ATTEMPTS {
        match store.swap(key, Expect::Absent, value.clone(), None).await {
            Ok(Swap::Done(_)) => return Ok(()),
            Ok(Swap::Conflict(found)) => {
                return match found.is_some_and(|entry| entry.value == value) {
                    true => Ok(()),
                    false => Err(crate::Error::Malformed {
                        cause: format!("another value stands at {key}"),
                    }),
                };
            }
            Err(error) => fault = Some(error),
        }
    }
    Err(fault.unwrap_or(crate::Error::Lost {
        cause: "no attempt was made".to_owned(),
    }))
}
