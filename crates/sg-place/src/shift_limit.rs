//! Bounds how fast the regions' shares of running requests change during a load surge.
//!
//! A plan changes in small steps, but what runs can deviate from it at once: a surge from one
//! client account whose home regions are elsewhere, or a home region that is full and refuses
//! requests while others don't. While more requests arrive than before, or some are refused, the
//! limiter lets no region grow so much that requests shift faster than the cap allows.

use sg_types::prelude::*;

/// Length of one bucket.
const BUCKET_LENGTH: Span = Span::from_millis(250);
/// Buckets in a window: the two seconds over which a shift is measured.
const WINDOW_BUCKETS: u64 = 8;
const BUCKETS: usize = 3 * WINDOW_BUCKETS as usize;
/// Maximum expected wait before a request runs that is counted at its real start. A later start
/// would overlap with the oldest buckets.
const MAX_LOOKAHEAD: Span = Span::from_millis(1_750);
/// Age from which a request can no longer be retracted, because later requests reuse its bucket.
const MAX_AGE: Span = Span::from_millis(4_000);
/// Maximum part of the requests that may change their region from one window to the next: the cap
/// of 0.15 less the variation in the counts of one instance.
const MAX_SHIFT: f64 = 0.1;
/// Part of requests that must be refused for the limiter to act without growth. Fewer refusals
/// hardly change the regions' shares of the other requests.
const MIN_REFUSED_PART: f64 = 0.1;
/// Ratio of arrivals to those of the previous window from which the limiter acts without refusals.
/// Normal arrivals vary less.
const MIN_GROWTH: f64 = 1.3;
/// Minimum requests in a window for its shares to be meaningful.
const MIN_REQUESTS: f64 = 20.0;

#[derive(Debug, Clone, Default)]
struct Bucket {
    index: u64,
    by_region: IndexMap<id::Region, f64>,
    total: f64,
    refused: f64,
}

/// Counts the regions in which the requests that arrive at one instance run.
#[derive(Debug, Clone, Default)]
pub struct ShiftLimiter {
    buckets: [Bucket; BUCKETS],
}

impl ShiftLimiter {
    /// Counts a request that runs in `region` from `start` on.
    pub fn record(&mut self, region: &id::Region, start: Instant, now: Instant) {
        self.add_requests(region, 1.0, start.min(now + MAX_LOOKAHEAD));
    }

    /// Retracts a request that was counted at `start` but did not run.
    pub fn retract(&mut self, region: &id::Region, start: Instant, now: Instant) {
        if now.since(start) < MAX_AGE {
            self.add_requests(region, -1.0, start.min(now + MAX_LOOKAHEAD));
        }
    }

    /// Counts a request that was refused because there was no room.
    pub fn record_refusal(&mut self, now: Instant) {
        self.bucket(now).refused += 1.0;
    }

    /// Returns whether there is a load surge, in which the regions' shares may change fast.
    #[must_use]
    pub fn is_surging(&self, now: Instant) -> bool {
        let last = bucket_index(now);
        let (recent, refused) = self.totals(last);
        let (previous, _) = self.totals(last.saturating_sub(WINDOW_BUCKETS));
        recent >= MIN_REQUESTS
            && previous >= MIN_REQUESTS
            && (refused >= (recent + refused) * MIN_REFUSED_PART || recent >= previous * MIN_GROWTH)
    }

    /// Returns whether one more request may run in `region`. At least one of the regions in which
    /// requests ran before is always allowed.
    #[must_use]
    pub fn allows(&self, region: &id::Region, now: Instant) -> bool {
        if !self.is_surging(now) {
            return true;
        }
        let last = bucket_index(now);
        let recent = self.shares(last, Some(region));
        let previous = self.shares(last.saturating_sub(WINDOW_BUCKETS), None);
        let growth = |(region, share): (&id::Region, &f64)| {
            (share - previous.get(region).copied().unwrap_or(0.0)).max(0.0)
        };
        let own = recent.get_key_value(region).map_or(0.0, growth);
        let shift: f64 = recent.iter().map(growth).sum();
        own <= 0.0 || shift <= MAX_SHIFT
    }

    /// Returns the regions' shares of running requests in the window that ends with bucket `last`,
    /// with one more request in `extra`.
    fn shares(&self, last: u64, extra: Option<&id::Region>) -> IndexMap<id::Region, f64> {
        let mut shares: IndexMap<id::Region, f64> = IndexMap::new();
        for (region, requests) in self.window(last).flat_map(|bucket| &bucket.by_region) {
            *shares.entry(region.clone()).or_default() += requests;
        }
        if let Some(region) = extra {
            *shares.entry(region.clone()).or_default() += 1.0;
        }
        let total: f64 = shares.values().sum();
        shares
            .values_mut()
            .for_each(|share| *share /= total.max(1.0));
        shares
    }

    fn totals(&self, last: u64) -> (f64, f64) {
        let window = self.window(last);
        window.fold((0.0, 0.0), |(total, refused), bucket| {
            (total + bucket.total, refused + bucket.refused)
        })
    }

    fn window(&self, last: u64) -> impl Iterator<Item = &Bucket> {
        let buckets = self.buckets.iter();
        buckets.filter(move |bucket| bucket.index <= last && bucket.index + WINDOW_BUCKETS > last)
    }

    fn add_requests(&mut self, region: &id::Region, requests: f64, at: Instant) {
        let bucket = self.bucket(at);
        *bucket.by_region.entry(region.clone()).or_default() += requests;
        bucket.total += requests;
    }

    fn bucket(&mut self, at: Instant) -> &mut Bucket {
        let index = bucket_index(at);
        let bucket = &mut self.buckets[(index % BUCKETS as u64) as usize];
        if bucket.index != index {
            *bucket = Bucket {
                index,
                ..Bucket::default()
            };
        }
        bucket
    }
}

fn bucket_index(at: Instant) -> u64 {
    at.since(Instant::START).as_nanos() / BUCKET_LENGTH.as_nanos()
}
