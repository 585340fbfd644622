//! Where an instance is, and what it knows of the way to targets and of the other instances.

use sg_types::prelude::*;

use crate::{Target, work_estimate::MovingAverage};

/// Location of the choosing instance, with its round-trip times to targets.
#[derive(Debug, Clone)]
pub struct Location {
    /// Failure domain of this instance.
    pub domain: id::Domain,
    /// Region of this instance.
    pub region: id::Region,
    /// Name of this instance.
    pub instance: id::Instance,
    /// All instances that send to targets, including this one.
    pub instances: Arc<[id::Instance]>,
    /// Regions of the other instances, as far as they are known.
    pub instance_regions: IndexMap<id::Instance, id::Region>,
    /// Round-trip times to targets.
    pub round_trips: RoundTrips,
}

impl Location {
    /// Returns the region of `instance`, if it is known.
    #[must_use]
    pub fn region_of(&self, instance: &id::Instance) -> Option<&id::Region> {
        if *instance == self.instance {
            return Some(&self.region);
        }
        self.instance_regions.get(instance)
    }

    /// Returns the round-trip time to `target`, in seconds.
    #[must_use]
    pub fn round_trip_seconds(&self, target: &Target) -> f64 {
        let assumed = &self.round_trips;
        let measured = self.round_trips.measured.get(&target.domain);
        let measured = measured.and_then(MovingAverage::value);
        measured.unwrap_or(if target.domain == self.domain {
            assumed.domain_seconds
        } else if target.region == self.region {
            assumed.region_seconds
        } else {
            assumed.remote_seconds
        })
    }
}

/// Round-trip times to targets, assumed until they are measured.
#[derive(Debug, Clone, Default)]
pub struct RoundTrips {
    /// Assumed time to a target in the same domain.
    pub domain_seconds: f64,
    /// Assumed time to another domain of the region.
    pub region_seconds: f64,
    /// Assumed time to another region.
    pub remote_seconds: f64,
    /// Measured times by domain.
    measured: IndexMap<id::Domain, MovingAverage>,
}

impl RoundTrips {
    /// Creates round-trip times that are assumed until they are measured.
    #[must_use]
    pub fn assumed(domain_seconds: f64, region_seconds: f64, remote_seconds: f64) -> Self {
        Self {
            domain_seconds,
            region_seconds,
            remote_seconds,
            measured: IndexMap::new(),
        }
    }

    /// Records the time that it took to open a connection to a target in `domain`. A lost packet makes
    /// the time much longer, so that a single one counts as at most twice the average.
    pub fn record(&mut self, domain: &id::Domain, seconds: f64) {
        let average = self.measured.entry(domain.clone()).or_default();
        let most = average.value().map_or(f64::MAX, |value| value * 2.0);
        average.record_sample(seconds.min(most));
    }
}
