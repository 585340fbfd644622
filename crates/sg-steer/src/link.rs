//! This instance's share of the bandwidth between regions.

use parking_lot::Mutex;
use sg_types::prelude::*;

/// Time for which a link accumulates unused bandwidth.
const BURST: Span = Span::from_secs(1);
const NANOS_PER_SEC: u128 = 1_000_000_000;

/// Token bucket of bits toward one region.
#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    bits_per_second: u64,
    available: u64,
    refilled_at: Instant,
}

impl Bucket {
    fn capacity(&self) -> u64 {
        bits(self.bits_per_second, BURST)
    }

    fn try_take(&mut self, requested: u64, now: Instant) -> bool {
        let refill = bits(self.bits_per_second, now.since(self.refilled_at));
        if refill > 0 {
            self.available = (self.available + refill).min(self.capacity());
            self.refilled_at = now;
        }
        // A response larger than the burst is allowed when the bucket is full.
        if self.available < requested.min(self.capacity()) {
            return false;
        }
        self.available = self.available.saturating_sub(requested);
        true
    }
}

fn bits(per_second: u64, span: Span) -> u64 {
    let bits = u128::from(per_second) * u128::from(span.as_nanos()) / NANOS_PER_SEC;
    u64::try_from(bits).unwrap_or(u64::MAX)
}

/// Links from this instance's region. Each instance uses an equal share of a link, whatever region
/// it is in, so that all instances together never exceed the bandwidth of the link.
#[derive(Debug, Default)]
pub(crate) struct Links {
    buckets: Mutex<IndexMap<id::Region, Bucket>>,
}

impl Links {
    /// Sets the bandwidths of the links from the own region and the number of instances that share
    /// them.
    pub(crate) fn configure(
        &self,
        links: impl IntoIterator<Item = (id::Region, Bandwidth)>,
        instances: u32,
        now: Instant,
    ) {
        let mut buckets = self.buckets.lock();
        let previous = std::mem::take(&mut *buckets);
        for (region, bandwidth) in links {
            let mut bucket = previous.get(&region).copied().unwrap_or(Bucket {
                refilled_at: now,
                ..Bucket::default()
            });
            bucket.bits_per_second = bandwidth.as_bits() / u64::from(instances.max(1));
            bucket.available = bucket.available.min(bucket.capacity());
            buckets.insert(region, bucket);
        }
    }

    /// Takes the size of a response from the link to `region` and returns whether it was available.
    /// A region without a link in the tree is not limited.
    pub(crate) fn try_take(&self, region: &id::Region, size: Bytes, now: Instant) -> bool {
        let mut buckets = self.buckets.lock();
        let requested = size.get().saturating_mul(8);
        buckets
            .get_mut(region)
            .is_none_or(|bucket| bucket.try_take(requested, now))
    }

    /// Returns the responses per second that this instance's share of the link to `region` carries.
    pub(crate) fn responses_per_second(&self, region: &id::Region, size: Bytes) -> Option<f64> {
        let bits = self.buckets.lock().get(region)?.bits_per_second as f64;
        Some(bits / (size.get().max(1) as f64 * 8.0))
    }
}
