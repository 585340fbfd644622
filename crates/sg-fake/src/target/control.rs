//! The faults of a target, as set by `POST /_control`.

use serde::{Deserialize, Serialize};
use sg_types::time::Span;

/// The slowdown after a start of a target.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cold {
    /// The duration of the slowdown after a start.
    pub span: Span,
    /// The initial multiplier of the service time, which falls linearly to one.
    pub factor: f64,
}

/// The fault of a target's responses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ResponseFault {
    /// Responses are complete and on time.
    #[default]
    Whole,
    /// Responses end before their stated length.
    Truncated,
    /// Responses are delayed by [`Control::late`].
    Late,
    /// Responses are never sent.
    Silent,
}

/// A change to a target's behaviour. Absent fields stay unchanged.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Control {
    /// The mean time that a request takes, before the cold start multiplier.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub service_time: Option<Span>,
    /// The number of requests that the target runs concurrently.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub slots: Option<u32>,
    /// The fault of responses.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub answers: Option<ResponseFault>,
    /// The extra delay under [`ResponseFault::Late`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub late: Option<Span>,
    /// Whether the target refuses new requests and reports that it is leaving.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub leaving: Option<bool>,
    /// Whether the target refuses every request as not run.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub shed: Option<bool>,
    /// The age up to which health and load reports are reused.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub lag: Option<Span>,
    /// The multiplier of the reported load; 0 makes a busy target look idle.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub lie: Option<f64>,
    /// The status that the health endpoint reports regardless of the real state.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub healthy: Option<bool>,
    /// The slowdown after a start; setting it makes the target cold now.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cold: Option<Cold>,
    /// Crashes the target and keeps it down for this time.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub crash: Option<Span>,
    /// Whether to permanently silence the open connections, while new ones work.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub silence: bool,
}

/// The current behaviour.
#[derive(Debug, Clone)]
pub(super) struct Behaviour {
    pub(super) service_time: Span,
    pub(super) slots: u32,
    pub(super) answers: ResponseFault,
    pub(super) late: Span,
    pub(super) leaving: bool,
    pub(super) shed: bool,
    pub(super) lag: Span,
    pub(super) lie: f64,
    pub(super) healthy: Option<bool>,
    pub(super) cold: Cold,
}

impl Behaviour {
    pub(super) fn apply(&mut self, control: &Control) {
        self.service_time = control.service_time.unwrap_or(self.service_time);
        self.slots = control.slots.unwrap_or(self.slots);
        self.answers = control.answers.unwrap_or(self.answers);
        self.late = control.late.unwrap_or(self.late);
        self.leaving = control.leaving.unwrap_or(self.leaving);
        self.shed = control.shed.unwrap_or(self.shed);
        self.lag = control.lag.unwrap_or(self.lag);
        self.lie = control.lie.unwrap_or(self.lie);
        self.healthy = control.healthy.or(self.healthy);
        self.cold = control.cold.unwrap_or(self.cold);
    }
}
