//! Re-exports of the common types, for `use sg_types::prelude::*`.

pub use std::sync::Arc;

pub use indexmap::{IndexMap, IndexSet};

pub use crate::{
    id,
    notice::{Fingerprint, Notice},
    outcome::{Outcome, Reason},
    percent::Percent,
    rate::{self, Bandwidth, Rate},
    revision::{Incarnation, Revision, Slot},
    size::Bytes,
    time::{Instant, Span},
};
