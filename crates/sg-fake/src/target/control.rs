//! A target's faults, as callers of `POST /_control` set them.

use serde::{Deserialize, Serialize};
use sg_types::time::Span;

/// How a target starts cold.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cold {
    /// For how long it is slower after a start.
    pub span: Span,
    /// How many times slower it is at the beginning; it falls evenly to one.
    pub factor: f64,
}

/// How a target's answers go wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Answers {
    /// They don't.
    #[default]
    Whole,
    /// They end before their stated length.
    Truncated,
    /// They come late by [`Control::late`].
    Late,
    /// They never come.
    Silent,
}

/// A change of a target's behaviour. Fields that are left out stay as they are.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Control {
    /// The usual time of a request.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub service_time: Option<Span>,
    /// How many requests it runs at once.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub slots: Option<u32>,
    /// How answers go wrong.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub answers: Option<Answers>,
    /// How late late answers are.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub late: Option<Span>,
    /// Whether it takes no new work, and says so.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub leaving: Option<bool>,
    /// Whether it refuses every request as not run.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub shed: Option<bool>,
    /// How old its health and load reports are.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub lag: Option<Span>,
    /// What its reported load is multiplied by; 0 makes a busy target look idle.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub lie: Option<f64>,
    /// What its health endpoint says, whatever the truth.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub healthy: Option<bool>,
    /// How it starts cold; makes it cold now.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cold: Option<Cold>,
    /// Makes it crash and stay down for this long.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub crash: Option<Span>,
    /// Lets its open connections go silent for good, while new ones work.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub silence: bool,
}

/// The behaviour in force.
#[derive(Debug, Clone)]
pub(super) struct Behaviour {
    pub(super) service_time: Span,
    pub(super) slots: u32,
    pub(super) answers: Answers,
    pub(super) late: Span,
    pub(super) leaving: bool,
    pub(super) shed: bool,
    pub(super) lag: Span,
    pub(super) lie: f64,
    pub(super) healthy: Option<bool>,
    pub(super) cold: Cold,
}

impl Behaviour {
    pub(super) fn set(&mut self, control: &Control) {
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
