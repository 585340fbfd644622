//! Detects regions that refuse requests which may run nowhere else.

use sg_types::prelude::*;

/// Number of recently refused requests that may run nowhere else from which a region counts as
/// scarce, more than a brief spike at startup causes. The count decays with a time constant of one
/// second.
const SCARCE_REFUSALS: f64 = 5.0;
/// A counter that decays with a time constant of one second.
#[derive(Debug, Clone, Copy, Default)]
struct DecayingCounter {
    count: f64,
    at: Instant,
}

impl DecayingCounter {
    fn add(&mut self, more: f64, now: Instant) {
        self.count = self.value(now) + more;
        self.at = now;
    }

    fn value(&self, now: Instant) -> f64 {
        self.count * (-now.since(self.at).as_secs_f64()).exp()
    }
}

/// Recent refusals, by region, of requests that may run nowhere else.
#[derive(Debug, Clone, Default)]
pub(crate) struct Scarcity {
    refusals: IndexMap<id::Region, DecayingCounter>,
}

impl Scarcity {
    /// Records that a request which may run only in `home_regions` was refused because these had no room.
    pub fn record_refusal<'a>(
        &mut self,
        home_regions: impl IntoIterator<Item = &'a id::Region>,
        now: Instant,
    ) {
        for region in home_regions {
            let refusals = self.refusals.entry(region.clone()).or_default();
            refusals.add(1.0, now);
        }
    }

    /// Returns whether `region` refused enough of these requests lately.
    pub fn is_scarce(&self, region: &id::Region, now: Instant) -> bool {
        let refusals = self.refusals.get(region);
        refusals.is_some_and(|refusals| refusals.value(now) >= SCARCE_REFUSALS)
    }
}
