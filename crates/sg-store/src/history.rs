//! Earlier revisions of the tree.

use sg_types::revision::Revision;

use crate::{
    Store,
    head::{self, Head},
    load,
};

/// Number of revisions that are kept, including the accepted one.
pub const MAX_REVISIONS: u64 = 64;

/// Returns the kept heads, oldest first. The accepted head is the last.
///
/// # Errors
/// Returns the error of the store.
pub async fn list(store: &impl Store) -> Result<Vec<Head>, crate::Error> {
    let accepted = head::read(store).await?;
    let page = store.list(head::HISTORY_PREFIX).await?;
    let earlier: Result<Vec<_>, _> = page
        .entries
        .iter()
        .map(|entry| Head::from_value(&entry.value))
        .collect();
    let mut heads = earlier?;
    heads.extend(accepted.map(|accepted| accepted.head));
    heads.sort_by_key(|head| head.revision);
    heads.dedup_by_key(|head| head.revision);
    Ok(heads)
}

/// Returns the head of `revision`, or `None` if the revision is not kept or not accepted yet.
///
/// # Errors
/// Returns the error of the store.
pub async fn find(store: &impl Store, revision: Revision) -> Result<Option<Head>, crate::Error> {
    let accepted = head::read(store).await?;
    if let Some(current) = accepted.filter(|current| current.head.revision == revision) {
        return Ok(Some(current.head));
    }
    let entry = store.get(&head::history_key(revision)).await?;
    entry
        .map(|entry| Head::from_value(&entry.value))
        .transpose()
}

/// Loads the tree of `revision`. The outcome has the default `version`, since the history does not
/// keep the versions at which heads were written.
///
/// # Errors
/// Returns [`load::Error::Absent`] if the revision is not kept, and otherwise the errors of
/// [`load::tree`].
pub async fn load(store: &impl Store, revision: Revision) -> Result<load::Outcome, load::Error> {
    let head = find(store, revision).await?.ok_or(load::Error::Absent)?;
    let tree = load::tree(store, &head).await?;
    Ok(load::Outcome {
        head,
        tree,
        version: crate::Version::default(),
    })
}

/// Removes the revision that expires when `newest` is accepted, including the chunks of every
/// change that was attempted for that revision.
///
/// # Errors
/// Returns the error of the store. Keys that remain after an error are unused and do no harm.
pub(crate) async fn prune(store: &impl Store, newest: Revision) -> Result<(), crate::Error> {
    let Some(expired) = newest.get().checked_sub(MAX_REVISIONS).map(Revision::new) else {
        return Ok(());
    };
    for prefix in [head::revision_prefix(expired), head::history_key(expired)] {
        for entry in store.list(&prefix).await?.entries {
            let is_expired = entry.key.starts_with(&head::revision_prefix(expired))
                || *entry.key == *head::history_key(expired);
            if is_expired {
                store.remove(&entry.key, entry.version).await?;
            }
        }
    }
    Ok(())
}
