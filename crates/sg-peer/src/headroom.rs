//! The room that an instance has for more work, as frames carry it.

use serde::{Deserialize, Deserializer, Serialize};
use sg_types::prelude::*;

/// Parts per million in a percent.
const PPM: u32 = 10_000;
/// The whole, in percent.
const WHOLE: u8 = 100;

/// The part of an instance's limit of concurrent work that is free, in whole percent, rounded down.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(transparent)]
pub struct Headroom(u8);

impl Headroom {
    /// All is free. What is not known counts as this.
    pub const FULL: Self = Self(WHOLE);
}

impl Default for Headroom {
    fn default() -> Self {
        Self::FULL
    }
}

impl From<Percent> for Headroom {
    fn from(free: Percent) -> Self {
        Self(u8::try_from(free.as_ppm() / PPM).unwrap_or(WHOLE))
    }
}

impl From<Headroom> for Percent {
    fn from(free: Headroom) -> Self {
        Self::from_ppm(u32::from(free.0) * PPM)
    }
}

impl<'de> Deserialize<'de> for Headroom {
    /// Takes any whole number; what is above the whole counts as the whole.
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let percent = u64::deserialize(deserializer)?;
        Ok(Self(u8::try_from(percent).unwrap_or(WHOLE).min(WHOLE)))
    }
}
