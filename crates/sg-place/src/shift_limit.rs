//! Bounds how fast the regions' shares of running requests change during a load surge.
//!
//! A plan changes in small steps, but the regions in which requests really run can deviate from the
//! plan at once: in a surge from a client account whose home regions are elsewhere, or if a home
//! region is full and refuses requests while others don't. While clearly more requests arrive than
//! before, or many are refused, the limiter lets no region grow so much that requests shift faster
//! than the cap allows.

use sg_types::prelude::*;

/// Time that one bucket covers.
const BUCKET_LENGTH: Span = Span::from_millis(250);
/// Buckets in a window: the two seconds over which a shift is measured.
const WINDOW_BUCKETS: u64 = 8;
/// Buckets that are kept, enough for [`MAX_AGE`] in the past and [`MAX_LOOKAHEAD`] in the future.
const BUCKETS: usize = 3 * WINDOW_BUCKETS as usize;
/// Maximum time into the future at which the start of a request is counted. A later start would
/// fall into the oldest buckets, which are still in use.
const MAX_LOOKAHEAD: Span = Span::from_millis(1_750);
/// Age from which a request is no longer retracted, because its bucket may be reused.
const MAX_AGE: Span = Span::from_millis(4_000);
/// Maximum part of the requests that may change their region from one window to the next. The cap
/// on the whole fleet is 0.15; the difference covers the variation in the counts of one instance.
const MAX_SHIFT: f64 = 0.1;
/// Part of the requests that must be refused for the limiter to act while arrivals do not grow.
/// Fewer refusals hardly change the regions' shares of the other requests.
const MIN_REFUSED_PART: f64 = 0.1;
/// Ratio of the arrivals in one window to those in the window before from which the limiter acts
/// without refusals. Normal arrivals vary less.
const MIN_GROWTH: f64 = 1.3;
/// Minimum number of requests in a window for which the regions' shares are meaningful.
const MIN_REQUESTS: f64 = 20.0;

/// Requests that started in one period of [`BUCKET_LENGTH`].
#[derive(Debug, Clone, Default)]
struct Bucket {
    index: u64,
    by_region: IndexMap<id::Region, f64>,
    total: f64,
    refused: f64,
}

/// Counts, by region, where the requests that arrive at one instance run.
#[derive(Debug, Clone, Default)]
pub struct ShiftLimiter {
    buckets: [Bucket; BUCKETS],
}

impl ShiftLimiter {
    /// Records a request that is expected to start in `region` at `start`.
    pub fn record(&mut self, region: &id::Region, start: Instant, now: Instant) {
        self.add_requests(region, 1.0, start.min(now + MAX_LOOKAHEAD));
    }

    /// Retracts a request that was recorded with `start` but did not run.
    pub fn retract(&mut self, region: &id::Region, start: Instant, now: Instant) {
        if now.since(start) < MAX_AGE {
            self.add_requests(region, -1.0, start.min(now + MAX_LOOKAHEAD));
        }
    }

    /// Records a request that was refused because there was no room.
    pub fn record_refusal(&mut self, now: Instant) {
        self.bucket(now).refused += 1.0;
    }

    /// Returns whether there is a load surge: arrivals grow, or requests are refused.
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
    /// with one more request in the region `extra`.
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

    /// Returns the numbers of started and refused requests in the window that ends with bucket
    /// `last`.
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
