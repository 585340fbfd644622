//! What engines of different instances tell each other.

use serde::{Deserialize, Serialize};

/// A message between engines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "t", rename_all = "kebab-case")]
pub enum Message {}
