//! What a command prints: one text for people and one JSON object.

use serde::Serialize;
use serde_json::Value;

use crate::DONE;

/// What a command prints.
#[derive(Debug, Clone, PartialEq)]
pub struct Output {
    /// For people.
    pub text: String,
    /// For programs: one object.
    pub json: Value,
    /// The exit code: [`DONE`], or [`PENDING`](crate::PENDING) for a change that is not yet accepted.
    pub code: u8,
}

impl Output {
    /// An output of `value`, an object in JSON, and its text.
    #[must_use]
    pub fn new(value: &impl Serialize, text: impl Into<String>) -> Self {
        Self {
            text: text.into().trim_end().to_owned(),
            json: serde_json::to_value(value).unwrap_or_default(),
            code: DONE,
        }
    }

    /// The same with another exit code.
    #[must_use]
    pub fn with_code(self, code: u8) -> Self {
        Self { code, ..self }
    }

    /// What is printed.
    #[must_use]
    pub fn render(&self, json: bool) -> String {
        match json {
            true => self.json.to_string(),
            false => self.text.clone(),
        }
    }
}
