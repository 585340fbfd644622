//! The faults of the store and the counts of calls.

use indexmap::IndexMap;
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde::{Deserialize, Serialize};
use sg_types::time::Span;

/// The way in which calls fail during an outage.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outage {
    /// No outage.
    #[default]
    None,
    /// Connections are reset.
    Refuse,
    /// Calls get no response.
    Hang,
}

/// A change to the store's faults. Absent fields stay unchanged.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Control {
    /// The delay of each response.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub delay: Option<Span>,
    /// The kind of outage.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub outage: Option<Outage>,
    /// The fraction of writes, from 0 to 1, whose response is lost after the write took effect.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub lose_answers: Option<f64>,
}

/// The current faults.
#[derive(Debug)]
pub(super) struct Faults {
    pub(super) delay: Span,
    pub(super) outage: Outage,
    lose_answers: f64,
    rng: StdRng,
}

impl Faults {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            delay: Span::ZERO,
            outage: Outage::None,
            lose_answers: 0.0,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    pub(super) fn apply(&mut self, control: Control) {
        self.delay = control.delay.unwrap_or(self.delay);
        self.outage = control.outage.unwrap_or(self.outage);
        self.lose_answers = control.lose_answers.unwrap_or(self.lose_answers);
    }

    pub(super) fn should_lose_response(&mut self) -> bool {
        self.lose_answers > 0.0 && self.rng.random_bool(self.lose_answers.min(1.0))
    }
}

/// The number of calls received. A watch counts as one call.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Calls {
    /// The number of calls by path.
    pub calls: IndexMap<String, u64>,
    /// The number of open watches.
    pub watches: u64,
}

impl Calls {
    pub(super) fn record(&mut self, path: &str) {
        *self.calls.entry(path.to_owned()).or_default() += 1;
    }
}
