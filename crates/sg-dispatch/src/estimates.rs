//! Estimates of work that are the same for all instances.
//!
//! The load: each instance estimates the work of a route from its own responses, and the estimates differ by some
//! percent. Among waiting requests of the same priority the one with less work comes first, so that the instance
//! with the greatest estimate would hardly get a slot.

use sg_place::work_estimate::MovingAverage;
use sg_types::prelude::*;

use crate::message::Ask;

/// Ratio of two neighbouring estimates. Averages that move by less compare as equal, so that requests which wait
/// do not yield to later ones of the same kind.
const STEP: f64 = 1.1;
/// Maximum number of routes that are remembered.
const MAX_ROUTES: usize = 1_024;

/// Averages of the work that asks of a route state.
#[derive(Debug, Clone, Copy, Default)]
struct Estimate {
    warm: MovingAverage,
    cold: MovingAverage,
}

/// Estimates of work by route.
#[derive(Debug, Clone, Default)]
pub struct Estimates {
    by_route: IndexMap<id::Route, Estimate>,
}

impl Estimates {
    /// Replaces the work that `ask` states by the average over all instances, in steps of a tenth.
    pub fn equalize(&mut self, ask: &mut Ask) {
        let route = &ask.bid.route;
        if !self.by_route.contains_key(route) {
            if self.by_route.len() >= MAX_ROUTES {
                self.by_route.shift_remove_index(0);
            }
            self.by_route.insert(route.clone(), Estimate::default());
        }
        if let Some(estimate) = self.by_route.get_mut(route) {
            ask.warm_work = replace(&mut estimate.warm, ask.warm_work);
            ask.cold_work = replace(&mut estimate.cold, ask.cold_work);
        }
    }
}

/// Returns the average before `stated`, which must not put its own instance behind the others, and adds `stated`.
fn replace(average: &mut MovingAverage, stated: Span) -> Span {
    let stated = stated.as_secs_f64();
    let seconds = average.value().unwrap_or(stated);
    average.record_sample(stated);
    if seconds <= 0.0 {
        return Span::ZERO;
    }
    let steps = (seconds.ln() / STEP.ln()).round();
    Span::from_secs(1).mul_f64(STEP.powf(steps))
}
