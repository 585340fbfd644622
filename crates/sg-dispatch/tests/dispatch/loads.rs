//! What callers of each kind get under simulated loads, with today's decision beside the order of the
//! library in one run.

use crate::{
    play::{Kind, Load, Request, play, share},
    policies::{Ordered, Queue, Rule},
};

const fn kind(name: &'static str, rate: f64, times: [f64; 3], priority: u32, tail: f64) -> Kind {
    let [work, objective, time] = times;
    Kind {
        name,
        per_second: rate,
        work,
        objective,
        time,
        priority,
        tail,
        is_known: true,
    }
}

/// The kinds of the page, with the time that the route or the caller allows, for a region with a sixth of
/// the targets.
const PACK: Kind = kind("pack", 167.0, [2.24, 1.5, 6.0], 1, 0.0);
const MEDIA: Kind = kind("media", 24.0, [1.8, 1.2, 10.0], 1, 0.0);
const BOARD: Kind = kind("board", 65.0, [0.88, 0.5, 3.0], 0, 0.0);
const STATUS: Kind = kind("status", 108.0, [0.75, 0.6, 2.0], 2, 0.03);
const SIGNING: Kind = kind("signing", 50.0, [0.99, 0.8, 2.5], 1, 0.0);
const IMAGE: Kind = kind("image", 15.0, [0.61, 0.5, 4.0], 2, 0.0);
const REPORT: Kind = kind("report", 24.0, [3.0, 2.5, 6.0], 2, 0.0);

fn load(kinds: &[Kind]) -> Load {
    let cold_work: f64 = kinds.iter().map(|kind| kind.per_second * kind.work).sum();
    // With all objects cold, a quarter of the slots lacks.
    let slots = (cold_work * 0.75) as usize;
    Load {
        kinds: kinds.to_vec(),
        slots,
        seconds: 108.0,
        objects: 400,
        warm: slots / 8 * 18,
        hot_from: None,
        slow_from: None,
        halved_from: None,
        seed: 7,
    }
}

fn board_media() -> Load {
    load(&[BOARD, MEDIA])
}

fn mixed() -> Load {
    load(&[SIGNING, STATUS, IMAGE, REPORT])
}

fn policies(slots: usize) -> Vec<(&'static str, Box<dyn FnMut(&Load) -> Vec<Request>>)> {
    let rules = [
        ("margin", Rule::Margin),
        ("strict", Rule::Strict),
        ("shortest", Rule::Shortest),
        ("price", Rule::Price),
        ("earliest", Rule::Earliest),
    ];
    let queue = move |rule| -> Box<dyn FnMut(&Load) -> Vec<Request>> {
        Box::new(move |load| play(load, &mut Queue::new(rule, slots)))
    };
    let mut all: Vec<_> = rules.map(|(name, rule)| (name, queue(rule))).into();
    all.push((
        "ordered",
        Box::new(move |load| play(load, &mut Ordered::new(slots))),
    ));
    all
}

fn print(name: &str, policy: &str, load: &Load, requests: &[Request]) {
    let total: f64 = load
        .kinds
        .iter()
        .enumerate()
        .map(|(index, kind)| {
            let worth = if kind.priority == 0 { 4.0 } else { 1.0 };
            let share = share(load, requests, |request| request.kind == index);
            share.worth * share.asked * worth
        })
        .sum();
    let most: f64 = requests
        .iter()
        .map(|request| {
            if load.kinds[request.kind].priority == 0 {
                4.0
            } else {
                1.0
            }
        })
        .sum();
    print!("{name:12} {policy:9} all {:.2}", total / most);
    for (index, kind) in load.kinds.iter().enumerate() {
        let share = share(load, requests, |request| request.kind == index);
        print!("  {} {:.2}/{:.2}", kind.name, share.served, share.worth);
    }
    println!();
}

#[test]
fn compare() {
    let loads = [
        ("board+media", board_media()),
        ("mixed", mixed()),
        ("pack", load(&[PACK])),
        (
            "mixed hot",
            Load {
                hot_from: Some(54.0),
                ..mixed()
            },
        ),
        (
            "mixed slow",
            Load {
                slow_from: Some(54.0),
                ..mixed()
            },
        ),
        (
            "mixed half",
            Load {
                halved_from: Some(54.0),
                ..mixed()
            },
        ),
        (
            "peak short",
            Load {
                slots: mixed().slots / 2,
                ..mixed()
            },
        ),
        (
            "bm short",
            Load {
                slots: board_media().slots / 2,
                ..board_media()
            },
        ),
    ];
    for (name, load) in &loads {
        for (policy, mut run) in policies(load.slots) {
            let requests = run(load);
            print(name, policy, load, &requests);
            if load.hot_from.is_some() {
                for account in 0..6 {
                    let s = share(load, &requests, |r| {
                        r.account == account && r.arrived > 54.0
                    });
                    print!("   a{account} {:.2}", s.served);
                }
                println!();
            }
        }
    }
}
