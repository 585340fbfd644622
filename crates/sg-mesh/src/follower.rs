//! Follows prefixes of the store and keeps an instance's mirrors of them up to date.

use parking_lot::Mutex;
use rand::Rng;
use sg_clock::Timer;
use sg_store::{Changes, Error, Page, Store, Version, version::Era};
use sg_types::prelude::*;
use tokio::sync::{mpsc, watch};

use crate::{
    Mirror,
    mirror::{Change, Snapshot},
    retention::{Range, Retention},
};

/// The delay before the first retry after a failed call. It is short because most failures end at once.
const INITIAL_RETRY_DELAY: Span = Span::from_millis(150);
/// The longest delay between retries, before jitter. It is well below the time in which a change has to
/// be in force.
const MAX_RETRY_DELAY: Span = Span::from_millis(1_200);

/// The shortest outage of the store in which entries may lapse. Their owners renew them about every 1.5 s, and
/// an entry outlives the renewal that is due.
const MIN_LAPSE_OUTAGE: Span = Span::from_millis(1_500);

/// The longest delay before a prefix is listed again in a new era, which spreads the listings.
const MAX_RELIST_DELAY: Span = Span::from_millis(300);

/// Options for following one prefix.
#[derive(Debug, Clone)]
pub struct Options {
    /// The prefix.
    pub prefix: Arc<str>,
    /// The time after which the store ends a watch without a change.
    pub watch_timeout: Span,
    /// The least time between the starts of two watches, which limits the rate of calls.
    pub min_watch_interval: Span,
}

/// Changes of one followed prefix.
#[derive(Debug, Clone)]
pub struct Update {
    /// The index of the prefix among the followed ones.
    pub index: usize,
    /// The changes, in the order in which they were applied.
    pub changes: Vec<Change>,
}

/// The state of an instance's connection to the store for one prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct StoreContact {
    /// The time of the last successful call.
    pub last_success: Option<Instant>,
    /// The time since which calls fail; `None` if the last call succeeded.
    pub failing_since: Option<Instant>,
    /// The earliest time since which the store may not have been reachable; `None` if the last call succeeded.
    pub outage_since: Option<Instant>,
    /// The time at which calls last succeeded again after an outage in which entries may have lapsed.
    pub last_recovery: Option<Instant>,
}

/// An instance's mirrors of the followed prefixes. Each batch of new changes is sent to a channel.
#[derive(Debug)]
pub struct Replica {
    mirrors: Vec<Mutex<Mirror>>,
    contacts: Vec<Mutex<StoreContact>>,
    updates: mpsc::UnboundedSender<Update>,
    /// The newest era of any prefix.
    era: watch::Sender<Era>,
    /// Whether this instance follows the store, rather than other instances that do.
    following: watch::Sender<bool>,
}

impl Replica {
    /// Creates a replica of a prefix for each of `retentions`, with the receiver of its updates.
    #[must_use]
    pub fn new(
        retentions: impl IntoIterator<Item = Retention>,
    ) -> (Arc<Self>, mpsc::UnboundedReceiver<Update>) {
        let (updates, receiver) = mpsc::unbounded_channel();
        let mirrors = retentions.into_iter().map(Mirror::new).map(Mutex::new);
        let mirrors: Vec<_> = mirrors.collect();
        let replica = Self {
            contacts: mirrors.iter().map(|_| Mutex::default()).collect(),
            mirrors,
            updates,
            era: watch::Sender::default(),
            following: watch::Sender::new(true),
        };
        (Arc::new(replica), receiver)
    }

    /// Returns the store version up to which each prefix is known.
    #[must_use]
    pub fn positions(&self) -> Vec<Version> {
        let positions = self.mirrors.iter().map(|mirror| mirror.lock().position());
        positions.collect()
    }

    /// Returns the store version of the last known change of each prefix up to which all changes are known.
    #[must_use]
    pub fn last_changes(&self) -> Vec<Version> {
        let changes = self.mirrors.iter().map(|mirror| {
            let mirror = mirror.lock();
            mirror.changed_at().min(mirror.position())
        });
        changes.collect()
    }

    /// Returns whether this instance follows the store, rather than other instances that do.
    #[must_use]
    pub fn is_following(&self) -> bool {
        *self.following.borrow()
    }

    /// Sets whether this instance follows the store. Watches that are waiting are not cut. Returns whether
    /// that is a change.
    pub fn set_following(&self, is_following: bool) -> bool {
        let has_changed = self.following.send_if_modified(|known| {
            let has_changed = *known != is_following;
            *known = is_following;
            has_changed
        });
        if has_changed && !is_following {
            for contact in &self.contacts {
                let mut contact = contact.lock();
                contact.failing_since = None;
                contact.outage_since = None;
            }
        }
        has_changed
    }

    /// Records when the instance that this one gets its changes from could reach the store again. An instance
    /// that reaches the store goes by its own contact.
    pub fn record_relayed_recovery(&self, index: usize, at: Instant) {
        let Some(contact) = self.contacts.get(index) else {
            return;
        };
        let mut contact = contact.lock();
        if !self.is_following() || contact.failing_since.is_some() {
            contact.last_recovery = contact.last_recovery.max(Some(at));
        }
    }

    /// Returns the state of the connection to the store for the prefix at `index`.
    #[must_use]
    pub fn contact(&self, index: usize) -> StoreContact {
        self.contacts
            .get(index)
            .map(|contact| *contact.lock())
            .unwrap_or_default()
    }

    /// Returns whether the prefix at `index` was read at least once, from the store or from another
    /// instance.
    #[must_use]
    pub fn is_initialized(&self, index: usize) -> bool {
        self.position(index) > Version::default()
    }

    /// Returns the store version up to which the prefix at `index` is known.
    #[must_use]
    pub fn position(&self, index: usize) -> Version {
        self.mirrors
            .get(index)
            .map(|mirror| mirror.lock().position())
            .unwrap_or_default()
    }

    /// Returns the state of the prefix at `index` that an instance lacks which knows the prefix up to
    /// `version`.
    #[must_use]
    pub fn snapshot_after(&self, index: usize, version: Version) -> Option<Snapshot> {
        Some(self.mirrors.get(index)?.lock().snapshot_after(version))
    }

    /// Returns the number of keys of the prefix at `index` whose state of earlier eras holds.
    #[must_use]
    pub fn retained_count(&self, index: usize) -> usize {
        let mirror = self.mirrors.get(index);
        mirror.map_or(0, |mirror| mirror.lock().retained_count())
    }

    /// Returns the versions of what holds of earlier eras until its owners write again, with the index of each prefix
    /// that has such state.
    #[must_use]
    pub fn lasting(&self) -> Vec<(usize, Range)> {
        let mirrors = self.mirrors.iter().enumerate();
        let ranges = mirrors.filter_map(|(index, mirror)| Some((index, mirror.lock().lasting()?)));
        ranges.collect()
    }

    /// Returns whether an instance at the position `other` of the prefix at `index`, whose lasting state of earlier eras
    /// has the versions `range`, may retain what this one doesn't.
    #[must_use]
    pub fn lacks(&self, index: usize, other: Version, range: Range) -> bool {
        let mirror = self.mirrors.get(index);
        mirror.is_some_and(|mirror| mirror.lock().lacks(other, range))
    }

    /// Returns whether the key of the prefix at `index` has a value that counts.
    #[must_use]
    pub fn has_value(&self, index: usize, key: &str) -> bool {
        let mirror = self.mirrors.get(index);
        mirror.is_some_and(|mirror| mirror.lock().has_value(key))
    }

    /// Returns the newest era of any prefix.
    #[must_use]
    pub fn era(&self) -> Era {
        *self.era.borrow()
    }

    /// Returns a receiver of the newest era of any prefix.
    #[must_use]
    pub fn subscribe_era(&self) -> watch::Receiver<Era> {
        self.era.subscribe()
    }

    /// Applies the state that another instance returned.
    pub fn merge(&self, index: usize, snapshot: Snapshot) {
        self.update(index, |mirror| mirror.merge(snapshot));
    }

    /// Applies some changes of `era` that another instance returned. Others before them may be missing still.
    pub fn merge_part(&self, index: usize, era: Era, changes: Vec<Change>) {
        self.update(index, |mirror| mirror.merge_part(era, changes));
    }

    /// Applies the state that another instance returned to this instance, which has just started.
    pub fn merge_retaining(&self, index: usize, snapshot: Snapshot) {
        self.update(index, |mirror| mirror.merge_retaining(snapshot));
    }

    /// Gives up the values of the prefix at `index` that are retained from before `era`.
    pub fn release_retained(&self, index: usize, era: Era) {
        self.update(index, |mirror| mirror.release_retained(era));
    }

    /// Changes a mirror and passes its changes on. Logs a change of the era.
    fn update(&self, index: usize, change: impl FnOnce(&mut Mirror) -> Vec<Change>) {
        let Some(mirror) = self.mirrors.get(index) else {
            return;
        };
        let (changes, before, after, retained) = {
            let mut mirror = mirror.lock();
            let before = mirror.position();
            let changes = change(&mut mirror);
            (changes, before, mirror.position(), mirror.retained_count())
        };
        if after.era() > before.era() && before.revision() > 0 {
            log::warn!(index, before:% = before, after:% = after, retained; "store restored from a copy");
        }
        self.send_update(index, changes);
        self.era.send_if_modified(|era| {
            let is_newer = after.era() > *era;
            *era = (*era).max(after.era());
            is_newer
        });
    }

    fn apply(&self, index: usize, reply: Reply) {
        self.update(index, |mirror| match reply {
            Reply::Listing(page) => mirror.apply_listing(page),
            Reply::Changes(changes) => mirror.apply_watch(changes),
        });
    }

    /// Sends an update, even without changes, because the update may announce the first listing of an
    /// empty prefix.
    fn send_update(&self, index: usize, changes: Vec<Change>) {
        // The receiver is dropped only while the process stops.
        let _ = self.updates.send(Update { index, changes });
    }

    fn record_success(&self, index: usize, prefix: &str, now: Instant) {
        let mut contact = self.contacts[index].lock();
        contact.last_success = Some(now);
        let outage_since = contact.outage_since.take();
        if outage_since.is_some_and(|since| now.since(since) >= MIN_LAPSE_OUTAGE) {
            contact.last_recovery = Some(now);
        }
        if let Some(failing_since) = contact.failing_since.take() {
            log::info!(prefix, after_ms = now.since(failing_since).as_millis(); "store regained");
        }
    }

    /// Records a failed call. The store may not have been reachable since `outage_since`.
    fn record_failure(
        &self,
        index: usize,
        prefix: &str,
        error: &Error,
        outage_since: Instant,
        now: Instant,
    ) {
        let mut contact = self.contacts[index].lock();
        if contact.failing_since.is_none() {
            contact.failing_since = Some(now);
            contact.outage_since = Some(outage_since);
            log::warn!(prefix, error:% = error; "store lost");
        }
    }
}

/// Follows the prefix at `index` until the future is dropped, except while other instances follow the store
/// for this one. Lists the prefix first and again whenever
/// the store no longer has the history that a watch needs, or returns it in a response that can't be used.
pub async fn run<S: Store>(
    replica: Arc<Replica>,
    store: S,
    timer: Timer,
    index: usize,
    options: Options,
) {
    let mut retry_delay = INITIAL_RETRY_DELAY;
    let mut listed = false;
    let mut following = replica.following.subscribe();
    // Whether the next watch returns at once, to find out whether the store responds again.
    let mut is_probe = false;
    loop {
        if listed && !replica.is_following() {
            // The sender lives as long as the replica.
            let _ = following.wait_for(|following| *following).await;
            is_probe = true;
        }
        let started = timer.now();
        let result = if listed {
            let timeout = if is_probe {
                Span::ZERO
            } else {
                options.watch_timeout
            };
            let changes = watch_prefix(&replica, &store, index, &options.prefix, timeout).await;
            changes.map(Reply::Changes)
        } else {
            store.list(&options.prefix).await.map(Reply::Listing)
        };
        let now = timer.now();
        match result {
            Ok(reply) => {
                // Whoever applies the changes needs to know of the recovery.
                replica.record_success(index, &options.prefix, now);
                replica.apply(index, reply);
                is_probe = false;
                retry_delay = INITIAL_RETRY_DELAY;
                if listed {
                    let remaining = options
                        .min_watch_interval
                        .saturating_sub(now.since(started));
                    timer.sleep(remaining).await;
                }
                listed = true;
            }
            Err(Error::HistoryCompacted) => listed = false,
            Err(Error::EraEnded) => {
                // All instances learn of a new era at about the same time.
                let delay = rand::random::<f64>();
                timer.sleep(MAX_RELIST_DELAY.mul_f64(delay)).await;
                listed = false;
            }
            // Another instance follows the store in the meantime.
            Err(error) if listed && !replica.is_following() => {
                log::debug!(prefix:% = options.prefix, error:% = error; "last watch failed");
            }
            Err(error) => {
                let call = (started, now);
                let outage_since = outage_start(call, options.watch_timeout, is_probe);
                replica.record_failure(index, &options.prefix, &error, outage_since, now);
                // A watch from the same version would return the same response.
                listed &= !matches!(error, Error::Malformed { .. });
                is_probe = true;
                let jitter = rand::rng().random_range(0.6..1.2);
                timer.sleep(retry_delay.mul_f64(jitter)).await;
                retry_delay = (retry_delay + retry_delay).min(MAX_RETRY_DELAY);
            }
        }
    }
}

/// What the store returned.
enum Reply {
    Listing(Page),
    Changes(Changes),
}

/// Returns the earliest time since which the store may not have been reachable, after the first call that
/// failed began and ended at the times `call`. A call that outlasts a watch was silent from its start. With
/// `is_first`, the instance has just taken up following the store and knows nothing of the time before.
fn outage_start(call: (Instant, Instant), watch_timeout: Span, is_first: bool) -> Instant {
    let (started, ended) = call;
    if is_first {
        return Instant::START;
    }
    match ended.since(started) >= watch_timeout {
        true => started,
        false => ended,
    }
}

/// Waits for changes of the mirror's era.
async fn watch_prefix<S: Store>(
    replica: &Replica,
    store: &S,
    index: usize,
    prefix: &str,
    timeout: Span,
) -> Result<Changes, Error> {
    let after = replica.position(index);
    let mut era = replica.subscribe_era();
    let watch = store.watch(prefix, after, timeout);
    let changes = tokio::select! {
        changes = watch => changes?,
        _ = era.wait_for(|era| *era > after.era()) => return Err(Error::EraEnded),
    };
    if changes.version.era() != after.era() {
        return Err(Error::EraEnded);
    }
    Ok(changes)
}
