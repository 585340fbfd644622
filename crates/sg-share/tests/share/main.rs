//! Shows that shares never add up to more than a budget, and that they reach the callers.

mod calm;
mod check;
mod faults;
mod peek;
mod random;
mod scene;
mod settings;
mod traffic;
mod world;

use world::budgets;
