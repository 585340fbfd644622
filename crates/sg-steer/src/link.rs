//! This instance's part of the links between regions.

use parking_lot::Mutex;
use sg_types::prelude::*;

/// The time that a link's budget saves up for.
const BURST: Span = Span::from_secs(1);
const NANOS_PER_SEC: u128 = 1_000_000_000;

/// A token bucket of bits toward one region.
#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    bits_per_second: u64,
    saved: u64,
    at: Instant,
}

impl Bucket {
    fn most(&self) -> u64 {
        bits(self.bits_per_second, BURST)
    }

    fn take(&mut self, wanted: u64, now: Instant) -> bool {
        let earned = bits(self.bits_per_second, now.since(self.at));
        if earned > 0 {
            self.saved = (self.saved + earned).min(self.most());
            self.at = now;
        }
        // An answer larger than the whole burst goes when the bucket is full.
        if self.saved < wanted.min(self.most()) {
            return false;
        }
        self.saved = self.saved.saturating_sub(wanted);
        true
    }
}

fn bits(per_second: u64, span: Span) -> u64 {
    let bits = u128::from(per_second) * u128::from(span.as_nanos()) / NANOS_PER_SEC;
    u64::try_from(bits).unwrap_or(u64::MAX)
}

/// The links from this instance's region. Each instance uses an equal part of a link, whatever
/// region it is in, so that all together never use more than the link has.
#[derive(Debug, Default)]
pub(crate) struct Links {
    buckets: Mutex<IndexMap<id::Region, Bucket>>,
}

impl Links {
    /// Sets what the links from `home` carry and how many instances share them.
    pub(crate) fn set(
        &self,
        links: impl IntoIterator<Item = (id::Region, Bandwidth)>,
        entries: u32,
        now: Instant,
    ) {
        let mut buckets = self.buckets.lock();
        let before = std::mem::take(&mut *buckets);
        for (region, bandwidth) in links {
            let mut bucket = before.get(&region).copied().unwrap_or(Bucket {
                at: now,
                ..Bucket::default()
            });
            bucket.bits_per_second = bandwidth.as_bits() / u64::from(entries.max(1));
            bucket.saved = bucket.saved.min(bucket.most());
            buckets.insert(region, bucket);
        }
    }

    /// Takes an answer's size from the link to `region`. A region without a link in the tree is
    /// not limited.
    pub(crate) fn take(&self, region: &id::Region, size: Bytes, now: Instant) -> bool {
        let mut buckets = self.buckets.lock();
        let wanted = size.get().saturating_mul(8);
        buckets
            .get_mut(region)
            .is_none_or(|bucket| bucket.take(wanted, now))
    }

    /// The answers a second that this instance's part of the link to `region` carries.
    pub(crate) fn answers(&self, region: &id::Region, size: Bytes) -> Option<f64> {
        let bits = self.buckets.lock().get(region)?.bits_per_second as f64;
        Some(bits / (size.get().max(1) as f64 * 8.0))
    }
}
