//! Tests of the steering decisions under faults. Further tests check that the assertions detect a
//! mutation that violates a guarantee.

mod balance;
mod property;
mod shifts;
mod simulation;
mod targets;
