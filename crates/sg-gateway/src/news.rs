//! Puts what the store says in force.

use sg_mesh::{follow::News, mirror::Change};
use sg_store::Store;
use sg_types::prelude::*;
use tokio::sync::mpsc;

use crate::{
    Fact, Facts, Speech,
    daemon::{INSTANCES, Parts, TARGETS},
    registry,
};

/// After the store is back, targets whose entries lapsed have this long to write them again.
const RETURN: Span = Span::from_millis(2_200);

/// Takes news until their sender is gone.
pub(crate) async fn run<D: Speech, F: Facts, S: Store>(
    parts: Arc<Parts<D, F, S>>,
    mut news: mpsc::UnboundedReceiver<News>,
) {
    while let Some(news) = news.recv().await {
        if news.index == INSTANCES {
            registry::adopt(&parts);
            continue;
        }
        for change in news.changes {
            take(&parts, news.index, &change);
        }
    }
}

fn take<D: Speech, F: Facts, S: Store>(parts: &Arc<Parts<D, F, S>>, index: usize, change: &Change) {
    let version = change.version.get();
    let key = change.key.as_ref();
    let fact = match parts.facts.read(&change.key, change.value.as_deref()) {
        Ok(fact) => fact,
        Err(error) => {
            log::warn!(key, version, error:% = error; "value not used");
            return;
        }
    };
    match fact {
        Fact::Catalog(catalog) => {
            let revision = catalog.revision.get();
            let adopted = parts.core.adopt(*catalog);
            log::info!(revision, version, adopted; "configuration read");
        }
        Fact::Target(target) => {
            let target = *target;
            let draining = target.draining;
            if parts.core.put_target(target.clone()) || draining {
                log::info!(
                    target_id:% = target.id, service:% = target.service, domain:% = target.domain,
                    slots = target.slots, draining, version; "target read"
                );
            }
        }
        Fact::TargetGone(target) => lapse(parts, index, target, change.key.clone()),
        Fact::Domain { domain, closed } => {
            let changed = parts.core.close_domain(domain.clone(), closed);
            log::info!(domain:% = domain, closed, changed, version; "domain order read");
        }
        Fact::Other => log::debug!(key, version; "value ignored"),
    }
}

/// Forgets a target, at once while the store is well, and after a while if its entry may have lapsed
/// only because the store was away.
fn lapse<D: Speech, F: Facts, S: Store>(
    parts: &Arc<Parts<D, F, S>>,
    index: usize,
    target: id::Target,
    key: Arc<str>,
) {
    let contact = parts.replica.contact(index);
    let now = parts.timer.now();
    let since = contact.regained.map(|at| now.since(at));
    let wait = match (contact.lost, since) {
        (Some(_), _) => RETURN,
        (None, Some(since)) if since < RETURN => RETURN.saturating_sub(since),
        _ => {
            forget(parts, &target);
            return;
        }
    };
    let parts = parts.clone();
    tokio::spawn(async move {
        parts.timer.sleep(wait).await;
        let (held, _) = parts
            .replica
            .since(TARGETS, sg_store::Version::default())
            .unwrap_or_default();
        let back = held
            .iter()
            .any(|change| change.key == key && change.value.is_some());
        if !back {
            forget(&parts, &target);
        }
    });
}

fn forget<D: Speech, F: Facts, S: Store>(parts: &Parts<D, F, S>, target: &id::Target) {
    if parts.core.remove_target(target) {
        log::info!(target_id:% = target; "target gone");
    }
}
