//! Bounds how fast the regions' parts of what runs change in a crowd.
//!
//! A plan changes in small steps, but what runs can leave it at once: a crowd of one client account whose
//! homes are elsewhere, or a home region that is full and refuses while others don't. The guard answers
//! these loads: while more arrive than before or some are refused, no region takes so many more that
//! requests shift faster than their cap allows.

use sg_types::prelude::*;

/// The length of one count.
const STEP: Span = Span::from_millis(250);
/// Counts that are looked at together: the two seconds over which a shift is measured.
const WINDOW: u64 = 8;
const COUNTS: usize = 3 * WINDOW as usize;
/// The longest wait of a request before it runs that is told apart. Beyond it the counts would overlap.
const MOST_AHEAD: Span = Span::from_millis(1_750);
/// Counts older than this are forgotten.
const OLDEST: Span = Span::from_millis(4_000);
/// The most of the requests that may change their region from one window to the next: the cap of 0.15
/// less what the counts of one instance vary by.
const MOST_SHIFT: f64 = 0.1;
/// The part of requests that must be refused for the guard to act on its own: fewer hardly change the
/// parts of the others.
const LEAST_REFUSED: f64 = 0.1;
/// How many times more must arrive than in the window before for the guard to act on its own: usual
/// arrivals vary less.
const LEAST_GROWTH: f64 = 1.3;
/// Requests in a window below which its parts say little.
const LEAST_SEEN: f64 = 20.0;

#[derive(Debug, Clone, Default)]
struct Count {
    step: u64,
    runs: IndexMap<id::Region, f64>,
    all: f64,
    refused: f64,
}

/// Counts in which regions the requests run that arrive at one instance.
#[derive(Debug, Clone, Default)]
pub struct Guard {
    counts: [Count; COUNTS],
}

impl Guard {
    /// A request runs in `region` from `start` on.
    pub fn note(&mut self, region: &id::Region, start: Instant, now: Instant) {
        self.add(region, 1.0, start.min(now + MOST_AHEAD));
    }

    /// A request that was counted at `start` did not run.
    pub fn take_back(&mut self, region: &id::Region, start: Instant, now: Instant) {
        if now.since(start) < OLDEST {
            self.add(region, -1.0, start.min(now + MOST_AHEAD));
        }
    }

    /// A request was refused for want of room.
    pub fn refuse(&mut self, now: Instant) {
        self.count(now).refused += 1.0;
    }

    /// Whether there is a crowd, in which parts may change fast.
    #[must_use]
    pub fn is_crowded(&self, now: Instant) -> bool {
        let last = step(now);
        let (recent, refused) = self.total(last);
        let (before, _) = self.total(last.saturating_sub(WINDOW));
        recent >= LEAST_SEEN
            && before >= LEAST_SEEN
            && (refused >= (recent + refused) * LEAST_REFUSED || recent >= before * LEAST_GROWTH)
    }

    /// Whether one more request may run in `region`. Says yes for at least one of the regions in which
    /// requests ran before.
    #[must_use]
    pub fn may_take(&self, region: &id::Region, now: Instant) -> bool {
        if !self.is_crowded(now) {
            return true;
        }
        let last = step(now);
        let recent = self.parts(last, Some(region));
        let before = self.parts(last.saturating_sub(WINDOW), None);
        let growth = |(region, part): (&id::Region, &f64)| {
            (part - before.get(region).copied().unwrap_or(0.0)).max(0.0)
        };
        let own = recent.get_key_value(region).map_or(0.0, growth);
        let shift: f64 = recent.iter().map(growth).sum();
        own <= 0.0 || shift <= MOST_SHIFT
    }

    /// The regions' parts of what runs in the window that ends with `last`, with one more at `extra`.
    fn parts(&self, last: u64, extra: Option<&id::Region>) -> IndexMap<id::Region, f64> {
        let mut parts: IndexMap<id::Region, f64> = IndexMap::new();
        for (region, runs) in self.window(last).flat_map(|count| &count.runs) {
            *parts.entry(region.clone()).or_default() += runs;
        }
        if let Some(region) = extra {
            *parts.entry(region.clone()).or_default() += 1.0;
        }
        let all: f64 = parts.values().sum();
        parts.values_mut().for_each(|part| *part /= all.max(1.0));
        parts
    }

    fn total(&self, last: u64) -> (f64, f64) {
        let window = self.window(last);
        window.fold((0.0, 0.0), |(all, refused), count| {
            (all + count.all, refused + count.refused)
        })
    }

    fn window(&self, last: u64) -> impl Iterator<Item = &Count> {
        let counts = self.counts.iter();
        counts.filter(move |count| count.step <= last && count.step + WINDOW > last)
    }

    fn add(&mut self, region: &id::Region, requests: f64, at: Instant) {
        let count = self.count(at);
        *count.runs.entry(region.clone()).or_default() += requests;
        count.all += requests;
    }

    fn count(&mut self, at: Instant) -> &mut Count {
        let step = step(at);
        let count = &mut self.counts[(step % COUNTS as u64) as usize];
        if count.step != step {
            *count = Count {
                step,
                ..Count::default()
            };
        }
        count
    }
}

fn step(at: Instant) -> u64 {
    at.since(Instant::START).as_nanos() / STEP.as_nanos()
}
