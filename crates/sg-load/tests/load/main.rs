//! Shows that examples and scenarios are good, that the judge sees each broken promise, and that a
//! load goes through an entry to targets and back.

mod example;
mod judge;
mod path;
mod plan;
