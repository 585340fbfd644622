//! Task that carries out store operations for the share engine.

use std::sync::Arc;

use sg_share::{Event, action::StoredClaim, claim::Claim};
use sg_store::{Entry, Error, Precondition, Store, Swap, Version};
use tokio::{sync::mpsc, task::JoinSet};

use crate::{
    shared::{Shared, StoreWork},
    task::follow::count_store_call,
};

/// The prefix of the store keys of claims.
const KEY_PREFIX: &str = "sg/slot/";
/// The maximum number of concurrent store calls. Further calls wait.
const MAX_CONCURRENT_CALLS: usize = 8;

pub(crate) async fn run(
    shared: Arc<Shared>,
    store: impl Store,
    mut work: mpsc::Receiver<StoreWork>,
) {
    let mut calls = JoinSet::new();
    while let Some(next) = work.recv().await {
        if calls.len() >= MAX_CONCURRENT_CALLS {
            calls.join_next().await;
        }
        while calls.try_join_next().is_some() {}
        let (shared, store) = (Arc::clone(&shared), store.clone());
        match next {
            StoreWork::ReadClaims => calls.spawn(read_claims(shared, store)),
            StoreWork::WriteClaim { claim, expect } => {
                calls.spawn(write_claim(shared, store, claim, expect))
            }
        };
    }
}

async fn read_claims(shared: Arc<Shared>, store: impl Store) {
    let sent = shared.timer.now();
    let result = store.list(KEY_PREFIX).await;
    count_store_call(&shared.metrics, "claims", result.as_ref().err());
    let Ok(page) = result else { return };
    let claims = page.entries.iter().filter_map(stored_claim).collect();
    shared.handle_event(Event::Claims { sent, claims }, shared.timer.now());
}

/// Returns the claim stored in an entry, or `None` if the value is not a claim.
fn stored_claim(entry: &Entry) -> Option<StoredClaim> {
    let claim: Claim = serde_json::from_slice(&entry.value).ok()?;
    let slot = entry.key.strip_prefix(KEY_PREFIX)?.parse().ok()?;
    (claim.slot == slot).then(|| StoredClaim {
        claim,
        version: entry.version.revision(),
    })
}

async fn write_claim(shared: Arc<Shared>, store: impl Store, claim: Claim, expect: Option<u64>) {
    let sent = shared.timer.now();
    let key = format!("{KEY_PREFIX}{}", claim.slot);
    let expect = expect.map_or(Precondition::Absent, |version| {
        Precondition::At(Version::new(version))
    });
    let value = serde_json::to_vec(&claim).unwrap_or_default();
    let result = store.swap(&key, expect, value.into(), None).await;
    count_store_call(&shared.metrics, "claim", result.as_ref().err());
    let event = match written_version(&result, &claim) {
        Some(version) => Event::Written {
            sent,
            claim,
            version,
        },
        None => Event::NotWritten { slot: claim.slot },
    };
    shared.handle_event(event, shared.timer.now());
}

/// Returns the version of the claim if the store contains it. Either this call wrote the claim, or
/// an earlier one did and its response was lost.
fn written_version(result: &Result<Swap, Error>, claim: &Claim) -> Option<u64> {
    match result {
        Ok(Swap::Done(version)) => Some(version.revision()),
        Ok(Swap::Conflict(Some(entry))) => stored_claim(entry)
            .filter(|stored| stored.claim == *claim)
            .map(|stored| stored.version),
        _ => None,
    }
}
