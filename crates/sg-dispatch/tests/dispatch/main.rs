//! Tests of the assignment of slots on simulated loads, without a network.

mod fleets;
mod loads;
mod play;
mod policies;
mod room;
mod simulation;
