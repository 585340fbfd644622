//! The schedule of calls, fixed before the first call so that slow responses don't reduce the load.

use rand::{Rng, SeedableRng, rngs::StdRng};
use sg_types::prelude::*;

use crate::plan::{Caller, Fault, Plan};

/// A call of the schedule.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedCall {
    /// The time since the start of the load.
    pub at: Span,
    /// The index of the caller in the plan.
    pub caller: usize,
    /// The index of the source address in the plan.
    pub source: usize,
    /// The route.
    pub route: id::Route,
    /// The requested size of the response, in bytes.
    pub size: usize,
    /// Whether the call crashes each target that runs it.
    pub poison: bool,
}

/// A change of the rate of a caller: from `from` on, it is the planned rate times `factor`.
struct RateStep {
    from: Span,
    factor: f64,
}

/// Returns all calls of the plan in the order of their times. Equal plans give equal schedules.
#[must_use]
pub fn schedule(plan: &Plan) -> Vec<PlannedCall> {
    let mut random = StdRng::seed_from_u64(plan.seed);
    let mut calls = Vec::new();
    for (caller_index, caller) in plan.accounts.iter().enumerate() {
        let steps = rate_steps(plan, caller);
        push_arrivals(plan, caller_index, &steps, &mut random, &mut calls);
    }
    for timed in &plan.faults {
        push_poison_calls(plan, timed.at, &timed.fault, &mut calls);
    }
    calls.sort_by_key(|call| call.at);
    calls
}

fn rate_steps(plan: &Plan, caller: &Caller) -> Vec<RateStep> {
    let mut steps = vec![RateStep {
        from: Span::ZERO,
        factor: 1.0,
    }];
    for timed in &plan.faults {
        match &timed.fault {
            Fault::Rate { account, factor } if *account == caller.account => steps.push(RateStep {
                from: timed.at,
                factor: *factor,
            }),
            _ => {}
        }
    }
    steps.sort_by_key(|step| step.from);
    steps
}

/// Adds Poisson arrivals for each rate step in turn.
fn push_arrivals(
    plan: &Plan,
    caller_index: usize,
    steps: &[RateStep],
    random: &mut StdRng,
    calls: &mut Vec<PlannedCall>,
) {
    for (n, step) in steps.iter().enumerate() {
        let end = steps.get(n + 1).map_or(plan.duration, |next| next.from);
        let rate = plan.accounts[caller_index].rate.as_f64() * step.factor;
        if rate <= 0.0 {
            continue;
        }
        let mut at = step.from + exponential_gap(rate, random);
        while at < end {
            calls.push(draw_call(plan, caller_index, at, random));
            at = at + exponential_gap(rate, random);
        }
    }
}

fn exponential_gap(rate: f64, random: &mut StdRng) -> Span {
    let uniform: f64 = random.random_range(f64::EPSILON..1.0);
    Span::from_secs(1).mul_f64(-uniform.ln() / rate)
}

fn draw_call(plan: &Plan, caller: usize, at: Span, random: &mut StdRng) -> PlannedCall {
    let total: u32 = plan
        .mix
        .iter()
        .map(|route_weight| route_weight.weight)
        .sum();
    let mut point = random.random_range(0..total.max(1));
    let route_weight = plan.mix.iter().find(|route_weight| {
        let found = point < route_weight.weight;
        point = point.saturating_sub(route_weight.weight);
        found
    });
    let route_weight = route_weight.unwrap_or(&plan.mix[0]);
    PlannedCall {
        at,
        caller,
        source: random.random_range(0..plan.sources.len().max(1)),
        route: route_weight.route.clone(),
        size: route_weight.size,
        poison: false,
    }
}

fn push_poison_calls(plan: &Plan, at: Span, fault: &Fault, calls: &mut Vec<PlannedCall>) {
    let Fault::Poison {
        account,
        route,
        count,
        every,
    } = fault
    else {
        return;
    };
    let caller = plan.accounts.iter().position(|c| c.account == *account);
    let Some(caller) = caller else {
        return;
    };
    calls.extend((0..*count).map(|n| PlannedCall {
        at: at + every.mul_f64(f64::from(n)),
        caller,
        source: n as usize % plan.sources.len().max(1),
        route: route.clone(),
        size: 0,
        poison: true,
    }));
}
