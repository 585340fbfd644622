//! Integration tests: examples and scenarios are valid, the checks report each violated promise, and a
//! load passes through an entry to targets and back.

mod check;
mod example;
mod path;
mod plan;
