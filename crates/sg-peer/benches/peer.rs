//! Costs of the protocol for the current fleet size and for larger fleets.

use std::{hint::black_box, net::SocketAddr};

use criterion::{Criterion, criterion_group, criterion_main};
use sg_peer::{
    contact::{self, Candidate},
    core::{Core, Identity, Local},
    frame::Place,
    fresh::{Context, Gate},
    list::Listed,
};
use sg_types::prelude::*;

const SIZES: [usize; 3] = [7, 560, 5_600];
const DOMAINS: usize = 77;

fn name(index: usize) -> id::Instance {
    id::Instance::new(format!("entry-{index}")).expect("a name")
}

fn place(index: usize) -> Place {
    let address = SocketAddr::from(([127, 0, 0, 1], 9));
    Place {
        domain: id::Domain::new(format!("d{}", index % DOMAINS)).expect("a name"),
        region: id::Region::new("r").expect("a name"),
        peer: address,
        entry: address,
        admin: None,
    }
}

fn core(index: usize, size: usize) -> Core {
    let now = Instant::START + Span::from_secs(1);
    let mut core = Core::new(Identity {
        instance: name(index),
        incarnation: Incarnation::new(u64::MAX - index as u64),
        place: place(index),
    });
    let listed = |index| Listed {
        instance: name(index),
        place: place(index),
        leaving: false,
    };
    let list: Vec<_> = (0..size).map(listed).collect();
    core.list(&list, now);
    core.set_local(Local {
        slots: size as u32,
        relays: 2,
        validity: Span::from_secs(5),
        own_slots: vec![Slot::new(index as u32)],
        ..Local::default()
    });
    core.refresh(now);
    core
}

fn bench(criterion: &mut Criterion) {
    let now = Instant::START + Span::from_secs(2);
    for size in SIZES {
        let (mut a, mut b) = (core(0, size), core(1, size));
        criterion.bench_function(&format!("exchange/{size}"), |bencher| {
            bencher.iter(|| {
                let request = a.build_request(&name(1), now);
                let (answer, _) = b.handle_request(request.clone(), now).expect("taken");
                a.handle_response(&name(1), &request, answer, now, now)
            });
        });
        criterion.bench_function(&format!("refresh/{size}"), |bencher| {
            bencher.iter(|| a.refresh(black_box(now)));
        });
        let candidates: Vec<_> = (0..size)
            .map(|index| Candidate {
                instance: name(index),
                domain: place(index).domain,
            })
            .collect();
        criterion.bench_function(&format!("contacts/{size}"), |bencher| {
            bencher.iter(|| contact::choose(&candidates[0], &candidates, 2));
        });
        let mut gate = Gate::default();
        for slot in 0..size as u32 {
            gate.record_vote(Slot::new(slot), Revision::new(1), now);
        }
        let context = Context {
            revision: Revision::new(1),
            slots: size as u32,
            own_slots: vec![Slot::new(0)],
            validity: Span::from_secs(5),
        };
        criterion.bench_function(&format!("evidence/{size}"), |bencher| {
            bencher.iter(|| gate.evidence(black_box(&context), now));
        });
    }
}

criterion_group!(benches, bench);
criterion_main!(benches);
