//! Shows that the steering decisions keep their promises under faults, and that each check
//! catches a mutation that breaks the promise.

mod balance;
mod property;
mod shifts;
mod targets;
mod world;
