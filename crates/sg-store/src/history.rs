//! Earlier revisions of the tree.

use sg_types::revision::Revision;

use crate::{
    Store,
    head::{self, Head},
    load,
};

/// How many revisions are kept, the accepted one included.
pub const KEEP: u64 = 64;

/// The heads that are kept, oldest first, the accepted one last.
///
/// # Errors
/// Those of the store.
pub async fn list(store: &impl Store) -> Result<Vec<Head>, crate::Error> {
    let accepted = head::read(store).await?;
    let page = store.list(head::HISTORY).await?;
    let earlier: Result<Vec<_>, _> = page
        .entries
        .iter()
        .map(|entry| Head::from_value(&entry.value))
        .collect();
    let mut heads = earlier?;
    heads.extend(accepted.map(|placed| placed.head));
    heads.sort_by_key(|head| head.revision);
    heads.dedup_by_key(|head| head.revision);
    Ok(heads)
}

/// The head of `revision`; `None` if it is not kept or not yet accepted.
///
/// # Errors
/// Those of the store.
pub async fn find(store: &impl Store, revision: Revision) -> Result<Option<Head>, crate::Error> {
    let accepted = head::read(store).await?;
    if let Some(placed) = accepted.filter(|placed| placed.head.revision == revision) {
        return Ok(Some(placed.head));
    }
    let entry = store.get(&head::history_key(revision)).await?;
    entry
        .map(|entry| Head::from_value(&entry.value))
        .transpose()
}

/// Loads the tree of `revision`; `version` in the outcome is the store's at an unknown time.
///
/// # Errors
/// [`load::Error::Absent`] if the revision is not kept; else those of [`load::tree`].
pub async fn load(store: &impl Store, revision: Revision) -> Result<load::Outcome, load::Error> {
    let head = find(store, revision).await?.ok_or(load::Error::Absent)?;
    let tree = load::tree(store, &head).await?;
    Ok(load::Outcome {
        head,
        tree,
        version: crate::Version::default(),
    })
}

/// Removes the revision that falls out of the history when `newest` is accepted, with the chunks of
/// every change that tried for it.
///
/// # Errors
/// Those of the store; what is left is garbage and does no harm.
pub(crate) async fn prune(store: &impl Store, newest: Revision) -> Result<(), crate::Error> {
    let Some(old) = newest.get().checked_sub(KEEP).map(Revision::new) else {
        return Ok(());
    };
    for prefix in [head::revision_prefix(old), head::history_key(old)] {
        for entry in store.list(&prefix).await?.entries {
            let of_old = entry.key.starts_with(&head::revision_prefix(old))
                || *entry.key == *head::history_key(old);
            if of_old {
                store.remove(&entry.key, entry.version).await?;
            }
        }
    }
    Ok(())
}
