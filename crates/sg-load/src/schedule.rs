//! The schedule of calls, fixed before the first call so that slow responses don't reduce the load.

use rand::{Rng, SeedableRng, rngs::StdRng};
use sg_types::prelude::*;

use crate::plan::{Caller, Fault, Plan};

/// A call of the schedule.
#[derive(Debug, Clone, PartialEq)]
pub struct Send {
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

/// From `from` on, the rate of a caller is its planned rate times `factor`.
struct Step {
    from: Span,
    factor: f64,
}

/// Returns all calls of the plan in the order of their times. Equal plans give equal schedules.
#[must_use]
pub fn schedule(plan: &Plan) -> Vec<Send> {
    let mut random = StdRng::seed_from_u64(plan.seed);
    let mut sends = Vec::new();
    for (place, caller) in plan.accounts.iter().enumerate() {
        let steps = steps(plan, caller);
        arrivals(plan, place, &steps, &mut random, &mut sends);
    }
    for timed in &plan.faults {
        poison(plan, timed.at, &timed.fault, &mut sends);
    }
    sends.sort_by_key(|send| send.at);
    sends
}

fn steps(plan: &Plan, caller: &Caller) -> Vec<Step> {
    let mut steps = vec![Step {
        from: Span::ZERO,
        factor: 1.0,
    }];
    for timed in &plan.faults {
        match &timed.fault {
            Fault::Rate { account, factor } if *account == caller.account => steps.push(Step {
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
fn arrivals(plan: &Plan, place: usize, steps: &[Step], random: &mut StdRng, sends: &mut Vec<Send>) {
    for (n, step) in steps.iter().enumerate() {
        let end = steps.get(n + 1).map_or(plan.duration, |next| next.from);
        let rate = plan.accounts[place].rate.as_f64() * step.factor;
        if rate <= 0.0 {
            continue;
        }
        let mut at = step.from + gap(rate, random);
        while at < end {
            sends.push(draw(plan, place, at, random));
            at = at + gap(rate, random);
        }
    }
}

fn gap(rate: f64, random: &mut StdRng) -> Span {
    let uniform: f64 = random.random_range(f64::EPSILON..1.0);
    Span::from_secs(1).mul_f64(-uniform.ln() / rate)
}

fn draw(plan: &Plan, caller: usize, at: Span, random: &mut StdRng) -> Send {
    let total: u32 = plan.mix.iter().map(|part| part.weight).sum();
    let mut ticket = random.random_range(0..total.max(1));
    let part = plan.mix.iter().find(|part| {
        let found = ticket < part.weight;
        ticket = ticket.saturating_sub(part.weight);
        found
    });
    let part = part.unwrap_or(&plan.mix[0]);
    Send {
        at,
        caller,
        source: random.random_range(0..plan.sources.len().max(1)),
        route: part.route.clone(),
        size: part.size,
        poison: false,
    }
}

fn poison(plan: &Plan, at: Span, fault: &Fault, sends: &mut Vec<Send>) {
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
    sends.extend((0..*count).map(|n| Send {
        at: at + every.mul_f64(f64::from(n)),
        caller,
        source: n as usize % plan.sources.len().max(1),
        route: route.clone(),
        size: 0,
        poison: true,
    }));
}
