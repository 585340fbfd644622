//! Tests that lookups match the longest prefix, also after changes, and name near entries that are
//! not about to stop.

mod answers;
mod blocks;
mod property;
