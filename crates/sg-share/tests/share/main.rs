//! Checks that the shares of a budget never add up to more than the budget, and that callers
//! are admitted as long as the budget covers them.

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
