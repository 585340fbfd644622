//! Headroom of an instance, as carried in frames.

use serde::{Deserialize, Deserializer, Serialize};
use sg_types::prelude::*;

/// Parts per million in one percent.
const PPM_PER_PERCENT: u32 = 10_000;
/// Full headroom, in percent.
const FULL_PERCENT: u8 = 100;

/// The free fraction of an instance's concurrency limit, in whole percent, rounded down.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(transparent)]
pub struct Headroom(u8);

impl Headroom {
    /// Full headroom. An unknown headroom counts as full.
    pub const FULL: Self = Self(FULL_PERCENT);
}

impl Default for Headroom {
    fn default() -> Self {
        Self::FULL
    }
}

impl From<Percent> for Headroom {
    fn from(free: Percent) -> Self {
        Self(u8::try_from(free.as_ppm() / PPM_PER_PERCENT).unwrap_or(FULL_PERCENT))
    }
}

impl From<Headroom> for Percent {
    fn from(free: Headroom) -> Self {
        Self::from_ppm(u32::from(free.0) * PPM_PER_PERCENT)
    }
}

impl<'de> Deserialize<'de> for Headroom {
    /// Accepts any unsigned integer. Values above 100 count as 100.
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let percent = u64::deserialize(deserializer)?;
        Ok(Self(
            u8::try_from(percent)
                .unwrap_or(FULL_PERCENT)
                .min(FULL_PERCENT),
        ))
    }
}
