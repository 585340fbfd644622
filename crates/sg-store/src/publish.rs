//! Publishes a tree: writes the chunks first, then the head by compare-and-swap.
//!
//! The head contains the id of the change. After a lost response the swap is retried, and after a
//! conflict the head is read back: if the accepted revision has the id of this change, an earlier
//! attempt was accepted. The swap takes effect at most once, since its precondition is the version
//! of the replaced head.

use std::sync::Arc;

use bytes::Bytes;
use sg_tree::{Node, compile};
use sg_types::revision::Revision;

use crate::{
    Precondition, Store, Swap, change,
    head::{self, Date, Head, VersionedHead},
    history, load,
};

/// Size of a chunk, in bytes.
const CHUNK_BYTES: usize = 512 << 10;
/// Maximum number of attempts of a write.
const MAX_ATTEMPTS: usize = 4;

/// Options of a publication.
#[derive(Debug, Clone)]
pub struct Options {
    /// Revision that the change is based on, or zero for the first tree.
    pub base: Revision,
    /// Author of the change.
    pub author: Arc<str>,
    /// Purpose of the change.
    pub note: Arc<str>,
    /// Id of the change. To complete a change whose result is unknown, publish it again with the
    /// same id.
    pub change: change::Id,
    /// Date of the change by the author's clock.
    pub time: Date,
}

/// Errors of publishing a tree.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The tree is not valid.
    #[error(transparent)]
    InvalidTree(#[from] compile::Error),
    /// Another operator's change was accepted first.
    #[error(
        "{} changed the tree to revision {} first; look at the difference and change that one",
        .accepted.author, .accepted.revision
    )]
    Conflict {
        /// Accepted head.
        accepted: Box<Head>,
        /// Accepted tree.
        tree: Box<Node>,
    },
    /// The change is based on a revision that was never accepted.
    #[error(
        "revision {base} was never accepted; read the tree again and \
         apply the change to the accepted one"
    )]
    UnknownBase {
        /// Revision that the change is based on.
        base: Revision,
    },
    /// The store did not report the result of the swap of the head. The change may or may not have
    /// taken effect.
    #[error(
        "it is not known whether change {change} was accepted ({cause}); once the store is \
         available, publish the change again with this id or look for it in the history"
    )]
    ResultUnknown {
        /// Id of the change.
        change: change::Id,
        /// Last error of the store.
        cause: crate::Error,
    },
    /// A call to the store failed before the change could take effect.
    #[error("the change was not published: {0}")]
    Store(#[from] crate::Error),
    /// The accepted tree can't be read.
    #[error("the change was not published: {0}")]
    Load(#[from] load::Error),
}

/// Result of a publication.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome {
    /// Accepted head.
    pub head: Head,
}

/// Publishes `tree` as the revision after `options.base`.
///
/// # Errors
/// See [`Error`]. Only [`Error::ResultUnknown`] leaves open whether the change took effect.
pub async fn publish(store: &impl Store, tree: &Node, options: Options) -> Result<Outcome, Error> {
    let revision = options.base.next();
    compile::compile(tree, revision)?;
    let text = serde_json::to_vec(tree).unwrap_or_default();
    let chunks: Vec<&[u8]> = text.chunks(CHUNK_BYTES).collect();
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
    if let Some(outcome) = find_outcome(store, &head, base.as_ref()).await? {
        return Ok(outcome);
    }
    if base.is_none() && options.base != Revision::default() {
        return Err(Error::UnknownBase { base: options.base });
    }
    for (index, chunk) in chunks.into_iter().enumerate() {
        put_immutable(store, &head.chunk_key(index), Bytes::copy_from_slice(chunk)).await?;
    }
    if let Some(base) = &base {
        put_immutable(store, &base.head.history_key(), base.head.to_value()).await?;
    }
    let outcome = swap_head(store, &head, base.as_ref()).await?;
    if let Err(error) = history::prune(store, revision).await {
        log::info!("can't remove an expired revision: {error}");
    }
    Ok(outcome)
}

/// Returns the outcome if the change was accepted by an earlier attempt, `None` if it can still be
/// accepted, and an error if another change was accepted first.
async fn find_outcome(
    store: &impl Store,
    head: &Head,
    found: Option<&VersionedHead>,
) -> Result<Option<Outcome>, Error> {
    let Some(found) = found.map(|found| &found.head) else {
        return Ok(None);
    };
    if found.revision < head.revision {
        return match found.revision.next() == head.revision {
            true => Ok(None),
            false => Err(Error::UnknownBase {
                base: Revision::new(head.revision.get() - 1),
            }),
        };
    }
    // The head of a revision is copied to the history before the next revision replaces it.
    let published = match found.revision == head.revision {
        true => Some(found.clone()),
        false => history::find(store, head.revision).await?,
    };
    if let Some(published) = published.filter(|published| published.change == head.change) {
        return Ok(Some(Outcome { head: published }));
    }
    let tree = load::tree(store, found).await?;
    Err(Error::Conflict {
        accepted: Box::new(found.clone()),
        tree: Box::new(tree),
    })
}

/// Replaces `base` by `head`, and retries after a lost response.
async fn swap_head(
    store: &impl Store,
    head: &Head,
    base: Option<&VersionedHead>,
) -> Result<Outcome, Error> {
    let precondition = base.map_or(Precondition::Absent, |base| Precondition::At(base.version));
    let mut last_error = None;
    for _ in 0..MAX_ATTEMPTS {
        match store
            .swap(head::KEY, precondition, head.to_value(), None)
            .await
        {
            Ok(Swap::Done(_)) => return Ok(Outcome { head: head.clone() }),
            Ok(Swap::Conflict(_)) => return resolve_conflict(store, head).await,
            Err(crate::Error::ResponseLost { cause }) => {
                last_error = Some(crate::Error::ResponseLost { cause });
            }
            Err(error) if last_error.is_none() => return Err(error.into()),
            Err(error) => last_error = Some(error),
        }
    }
    let cause = last_error.unwrap_or(crate::Error::ResponseLost {
        cause: "no attempt was made".to_owned(),
    });
    Err(Error::ResultUnknown {
        change: head.change,
        cause,
    })
}

/// Resolves a conflict of the swap: returns the outcome if an earlier attempt of this change was
/// accepted, and an error if another operator's change was.
async fn resolve_conflict(store: &impl Store, head: &Head) -> Result<Outcome, Error> {
    let result_unknown = |cause| Error::ResultUnknown {
        change: head.change,
        cause,
    };
    let found = head::read(store).await.map_err(result_unknown)?;
    match find_outcome(store, head, found.as_ref()).await {
        Ok(Some(outcome)) => Ok(outcome),
        Ok(None) => Err(result_unknown(crate::Error::Malformed {
            cause: "the head was replaced by an older revision".to_owned(),
        })),
        Err(Error::Store(cause)) => Err(result_unknown(cause)),
        Err(error) => Err(error),
    }
}

/// Writes a key whose value never changes, and retries after any error of the store.
async fn put_immutable(store: &impl Store, key: &str, value: Bytes) -> Result<(), crate::Error> {
    let mut last_error = None;
    for _ in 0..MAX_ATTEMPTS {
        match store
            .swap(key, Precondition::Absent, value.clone(), None)
            .await
        {
            Ok(Swap::Done(_)) => return Ok(()),
            Ok(Swap::Conflict(found)) => {
                return match found.is_some_and(|entry| entry.value == value) {
                    true => Ok(()),
                    false => Err(crate::Error::Malformed {
                        cause: format!("{key} already has another value"),
                    }),
                };
            }
            Err(error) => last_error = Some(error),
        }
    }
    Err(last_error.unwrap_or(crate::Error::ResponseLost {
        cause: "no attempt was made".to_owned(),
    }))
}
