//! The store's faults and the count of its calls.

use indexmap::IndexMap;
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde::{Deserialize, Serialize};
use sg_types::time::Span;

/// What the store does with calls during an outage.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outage {
    /// No outage.
    #[default]
    None,
    /// Connections are reset.
    Refuse,
    /// Calls are never answered.
    Hang,
}

/// A change of the store's faults. Fields that are left out stay as they are.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Control {
    /// How long each answer waits.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub delay: Option<Span>,
    /// Whether there is an outage.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub outage: Option<Outage>,
    /// The share of writes, from 0 to 1, whose answer is lost after the write took effect.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub lose_answers: Option<f64>,
}

/// The faults in force.
#[derive(Debug)]
pub(super) struct Faults {
    pub(super) delay: Span,
    pub(super) outage: Outage,
    lose_answers: f64,
    random: StdRng,
}

impl Faults {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            delay: Span::ZERO,
            outage: Outage::None,
            lose_answers: 0.0,
            random: StdRng::seed_from_u64(seed),
        }
    }

    pub(super) fn set(&mut self, control: Control) {
        self.delay = control.delay.unwrap_or(self.delay);
        self.outage = control.outage.unwrap_or(self.outage);
        self.lose_answers = control.lose_answers.unwrap_or(self.lose_answers);
    }

    pub(super) fn loses_answer(&mut self) -> bool {
        self.lose_answers > 0.0 && self.random.random_bool(self.lose_answers.min(1.0))
    }
}

/// How often each call was made. A waiting watch counts as one.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Calls {
    /// The counts by the call's path.
    pub calls: IndexMap<String, u64>,
    /// The watches that wait now.
    pub watches: u64,
}

impl Calls {
    pub(super) fn count(&mut self, path: &str) {
        *self.calls.entry(path.to_owned()).or_default() += 1;
    }
}
