//! Task that follows the head in the store.
//!
//! A relay watches the head and reads it regularly. Other instances read it only when their
//! evidence of freshness is about to expire.

use std::sync::Arc;

use sg_store::{Error, Event, Head, Store, Version, head, history, load};
use sg_types::time::{Instant, Span};
use tokio::{sync::Mutex, task::JoinSet};

use crate::{
    config::{Origin, Outcome, RejectionReason},
    jitter::Jitter,
    metrics::Metrics,
    shared::Shared,
};

/// The interval between checks of whether a read or a watch is due.
const CHECK_INTERVAL: Span = Span::from_millis(100);
/// The number of reads of the head by a relay within the validity.
const READS_PER_VALIDITY: f64 = 4.0;
/// The remaining fraction of the validity below which an instance that is not a relay reads the
/// head.
const READ_MARGIN: f64 = 0.35;
/// The timeout of a watch.
const WATCH_TIMEOUT: Span = Span::from_secs(30);
/// The maximum delay after a failed watch.
const MAX_WATCH_RETRY_DELAY: Span = Span::from_secs(1);
/// The maximum number of concurrent reads of the head, so that a slow store still confirms often.
const MAX_CONCURRENT_READS: usize = 4;
/// The number of earlier revisions tried when none is in force and the newest has faults.
const MAX_FALLBACK_REVISIONS: u64 = 8;

/// Counts a store call, and its failure if `error` is given.
pub(crate) fn count_store_call(metrics: &Metrics, call: &str, error: Option<&Error>) {
    metrics.store_calls.with_label_values(&[call]).inc();
    let reason = match error {
        None => return,
        Some(Error::Unreachable { .. }) => "unreachable",
        Some(Error::ResponseLost { .. }) => "lost",
        Some(Error::Rejected { .. }) => "refused",
        Some(Error::Malformed { .. }) => "malformed",
        Some(Error::TooLarge { .. }) => "too-large",
        Some(Error::HistoryCompacted) => "history-gone",
        Some(Error::EraEnded) => "era-ended",
        Some(Error::LeaseExpired) => "lease-gone",
    };
    metrics.store_failures.with_label_values(&[reason]).inc();
}

/// Follows the head in the store.
pub(crate) struct Follower<S> {
    shared: Arc<Shared>,
    store: S,
    /// Lock held while a tree is loaded, so that concurrent reads of the head load the tree once.
    load_lock: Mutex<()>,
    /// The store version from which changes of the head are watched; `None` until the head was
    /// read.
    position: parking_lot::Mutex<Option<Version>>,
    jitter: Jitter,
}

impl<S: Store> Follower<S> {
    pub(crate) fn new(shared: Arc<Shared>, store: S) -> Arc<Self> {
        let jitter = {
            let core = shared.core.lock();
            let me = core.me();
            Jitter::new(&me.instance, me.incarnation)
        };
        Arc::new(Self {
            jitter,
            shared,
            store,
            load_lock: Mutex::default(),
            position: parking_lot::Mutex::default(),
        })
    }

    /// Reads the head whenever a read is due.
    pub(crate) async fn poll(self: Arc<Self>) {
        let timer = &self.shared.timer;
        let mut reads = JoinSet::new();
        let mut next = timer.now();
        loop {
            let now = timer.now();
            while reads.try_join_next().is_some() {}
            if now >= next && reads.len() < MAX_CONCURRENT_READS && self.is_due(now) {
                reads.spawn(Arc::clone(&self).read_head());
                next = now + self.read_interval();
            }
            timer.sleep(CHECK_INTERVAL).await;
        }
    }

    fn validity(&self) -> Span {
        self.shared.core.lock().local().validity
    }

    fn is_relay(&self) -> bool {
        self.shared.core.lock().is_relay()
    }

    /// Returns whether a read of the head is due: always for a relay, and otherwise when the
    /// evidence is about to expire.
    fn is_due(&self, now: Instant) -> bool {
        let margin = self.validity().mul_f64(READ_MARGIN);
        self.is_relay() || self.shared.fresh.expires_at() <= now + margin
    }

    /// Returns the time until the next read. Instances that are not relays add jitter.
    fn read_interval(&self) -> Span {
        let period = self.validity().mul_f64(1.0 / READS_PER_VALIDITY);
        if self.is_relay() {
            return period;
        }
        period + period.mul_f64(self.jitter.fraction())
    }

    /// Reads the head once and processes it.
    async fn read_head(self: Arc<Self>) {
        let sent = self.shared.timer.now();
        let result = head::read(&self.store).await;
        count_store_call(&self.shared.metrics, "head", result.as_ref().err());
        if let Ok(Some(placed)) = result {
            self.advance(placed.version);
            self.process_head(&placed.head, Some(sent)).await;
        }
    }

    /// Processes a head from the store. For a read, `sent` is the time at which the read was sent;
    /// for a watch, `sent` is `None`.
    async fn process_head(&self, head: &Head, sent: Option<Instant>) {
        let known = match self.compare_head(head) {
            Some(known) => known,
            None => self.load_tree(head).await,
        };
        if let (true, Some(sent)) = (known, sent) {
            self.shared
                .core
                .lock()
                .gate()
                .record_confirmation(head.revision, sent);
        }
        self.shared.sync_core(self.shared.timer.now());
        if known && self.shared.config.view().is_none() {
            self.install_last_valid().await;
        }
    }

    /// Returns whether `head` is the newest known one, or `None` if `head` is newer. Counts a head
    /// that is older or has another digest.
    fn compare_head(&self, head: &Head) -> Option<bool> {
        let newest = self.shared.config.newest();
        if head.revision > newest.revision {
            return None;
        }
        let same = head.revision == newest.revision && head.digest == newest.digest;
        if !same {
            let reason = match head.revision < newest.revision {
                true => "store-older",
                false => "store-other-digest",
            };
            let rejected = &self.shared.metrics.rejected;
            rejected.with_label_values(&[reason]).inc();
        }
        Some(same)
    }

    /// Loads the tree of a newer head. Returns whether its content is known now.
    async fn load_tree(&self, head: &Head) -> bool {
        let _guard = self.load_lock.lock().await;
        if let Some(known) = self.compare_head(head) {
            return known;
        }
        let result = load::tree(&self.store, head).await;
        let failure = match &result {
            Err(load::Error::Store(error)) => Some(error),
            _ => None,
        };
        count_store_call(&self.shared.metrics, "tree", failure);
        let now = self.shared.timer.now();
        match result {
            Ok(tree) => matches!(
                self.shared.install(head, &tree, Origin::Store, now),
                Outcome::Installed | Outcome::Known | Outcome::Rejected(RejectionReason::Faults(_))
            ),
            Err(load::Error::Store(_)) => false,
            Err(error) => {
                let rejected = &self.shared.metrics.rejected;
                rejected.with_label_values(&["corrupt"]).inc();
                log::debug!("the tree in the store is not usable: {error}");
                false
            }
        }
    }

    /// Installs the last valid revision when the newest has faults and none is in force.
    async fn install_last_valid(&self) {
        let _guard = self.load_lock.lock().await;
        let newest = self.shared.config.newest().revision.get();
        for revision in (newest.saturating_sub(MAX_FALLBACK_REVISIONS)..newest).rev() {
            let revision = sg_types::revision::Revision::new(revision);
            let found = history::load(&self.store, revision).await;
            count_store_call(&self.shared.metrics, "history", None);
            let Ok(found) = found else { continue };
            let now = self.shared.timer.now();
            let config = &self.shared.config;
            if config.install_last_good(&found.head, &found.tree, now) == Outcome::Installed {
                self.shared.on_installed(Origin::Store, now);
                self.shared.sync_core(now);
                return;
            }
        }
    }

    /// Watches the head while this instance is a relay.
    pub(crate) async fn watch(self: Arc<Self>) {
        let timer = &self.shared.timer;
        loop {
            let position = *self.position.lock();
            let Some(position) = position.filter(|_| self.is_relay()) else {
                timer.sleep(CHECK_INTERVAL).await;
                continue;
            };
            let result = self.store.watch(head::KEY, position, WATCH_TIMEOUT).await;
            count_store_call(&self.shared.metrics, "watch", result.as_ref().err());
            match result {
                Ok(changes) => {
                    self.advance(changes.version);
                    self.process_events(&changes.events).await;
                }
                Err(error) => {
                    if matches!(error, Error::Rejected { .. } | Error::HistoryCompacted) {
                        // The position may lie before the oldest change that the store keeps.
                        *self.position.lock() = None;
                    }
                    let wait = MAX_WATCH_RETRY_DELAY.mul_f64(0.5 + self.jitter.fraction() / 2.0);
                    timer.sleep(wait).await;
                }
            }
        }
    }

    /// Moves the position forward, never back.
    fn advance(&self, version: Version) {
        let mut position = self.position.lock();
        *position = (*position).max(Some(version));
    }

    async fn process_events(&self, events: &[Event]) {
        for event in events {
            let Event::Put(entry) = event else { continue };
            if let Ok(placed) = head::VersionedHead::from_entry(entry) {
                self.process_head(&placed.head, None).await;
            }
        }
    }
}
