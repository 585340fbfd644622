//! Tests of the assignment of slots on simulated loads, without a network.

mod failures;
mod fleets;
mod invariants;
mod loads;
mod play;
mod policies;
mod properties;
mod room;
mod service;
mod simulation;
