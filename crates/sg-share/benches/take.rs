//! Benchmarks the hot path: taking a unit of a budget.

use criterion::{Criterion, criterion_group, criterion_main};
use sg_share::{Budget, Engine, Event, action::StoredClaim, budget, claim::Claim, engine::Options};
use sg_types::prelude::*;

const STEP: Span = Span::from_micros(1);

fn account(index: usize) -> budget::Id {
    budget::Id::Account(id::Account::new(format!("account-{index}")).expect("a name"))
}

/// Returns an engine that holds the only slot of eight budgets, and the time of its last event.
fn engine(rate: Rate) -> (Engine, Instant) {
    let me = id::Instance::new("entry-0").expect("a name");
    let incarnation = Incarnation::new(1);
    let now = Instant::START + Span::from_secs(1);
    let mut engine = Engine::new(me.clone(), incarnation, Options::default(), now);
    let budget = Budget { rate, burst: 1_000 };
    let budgets = (0..8).map(|index| (account(index), budget)).collect();
    engine.configure(Revision::new(1), 1, budgets, now);
    let claim = Claim {
        slot: Slot::new(0),
        instance: me,
        incarnation,
        term: 1,
        slots: 1,
        settled: true,
        released: false,
    };
    let stored = StoredClaim { claim, version: 1 };
    for _ in 0..2 {
        let claims = vec![stored.clone()];
        engine.handle(Event::Claims { sent: now, claims }, now);
    }
    (engine, now)
}

fn take(c: &mut Criterion) {
    let id = account(5);
    let (mut busy, now) = engine(Rate::per_second(10_000_000));
    let mut at = now;
    c.bench_function("take admitted", |b| {
        b.iter(|| {
            at = now + Span::from_nanos((at.since(now) + STEP).as_nanos() % 4_000_000_000);
            busy.take(&id, 1, at)
        });
    });
    let (mut empty, now) = engine(Rate::from_micros(1));
    c.bench_function("take refused", |b| b.iter(|| empty.take(&id, 1, now)));
}

criterion_group!(benches, take);
criterion_main!(benches);
