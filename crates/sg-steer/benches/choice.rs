//! Benchmarks selecting a target and ending the attempt, by the number of targets.

use std::{fmt::Write as _, hint::black_box};

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use sg_steer::{Attempt, Completion, Engine, Query, Selector, engine::Options, observation};
use sg_tree::{Node, compile::compile};
use sg_types::prelude::*;

const TARGETS: [usize; 5] = [10, 42, 100, 1_000, 10_000];
const SUCCEEDED: Completion = Completion::Responded {
    latency: Span::from_millis(50),
    failed: false,
};

fn engine(targets: usize) -> Engine {
    let mut text = String::new();
    for target in 0..targets {
        let comma = if target == 0 { "" } else { "," };
        let (host, port, domain) = (target / 250, 9_000 + target % 250, target % 6);
        write!(
            text,
            r#"{comma}"t{target}":{{"address":"127.0.{host}.1:{port}","domain":"d{domain}"}}"#
        )
        .expect("writing to a string");
    }
    let tree = format!(
        r#"{{"regions":{{"r0":{{"domains":{{"d0":{{}},"d1":{{}}}}}},"r1":{{"domains":{{"d2":{{}},"d3":{{}}}}}},
        "r2":{{"domains":{{"d4":{{}},"d5":{{}}}}}}}},
        "services":{{"desk":{{"split":{{"r0":{{"weight":"34%"}},"r1":{{"weight":"33%"}},"r2":{{"weight":"33%"}}}},
        "targets":{{"slots":7,{text}}}}}}}}}"#
    );
    let node = Node::from_json(&tree).expect("valid JSON");
    let view = compile(&node, Revision::new(1)).expect("valid tree").view;
    let engine = Engine::new(Options {
        region: id::Region::new("r0").expect("valid name"),
        domain: id::Domain::new("d0").expect("valid name"),
        seed: 1,
        instances: 7,
    });
    engine.configure(&Arc::new(view), Instant::START);
    for probe in engine.probes() {
        let seen = observation::Observation {
            healthy: true,
            in_flight: Some(2),
            slots: Some(7),
            ..Default::default()
        };
        engine.record_probe(&probe.service, &probe.target, seen, Instant::START);
    }
    engine
}

fn choice(criterion: &mut Criterion) {
    let service = id::Service::new("desk").expect("valid name");
    let query = Query {
        service: &service,
        tried: &[],
        now: Instant::START,
        fingerprint: Fingerprint::new(1),
    };
    let mut group = criterion.benchmark_group("choice");
    for targets in TARGETS {
        let engine = engine(targets);
        group.bench_function(BenchmarkId::new("start and end", targets), |bencher| {
            bencher.iter(|| {
                let attempt = black_box(engine.start_attempt(query)).expect("an available target");
                attempt.finish(SUCCEEDED, Instant::START);
            });
        });
    }
    let full = engine(42);
    let mut held = Vec::new();
    while let Ok(attempt) = full.start_attempt(query) {
        held.push(attempt);
    }
    group.bench_function("refusal of a full region", |bencher| {
        bencher.iter(|| black_box(full.start_attempt(query)).err());
    });
    group.finish();
}

criterion_group!(benches, choice);
criterion_main!(benches);
