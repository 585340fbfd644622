//! Tests the entries of answers: near ones first, weighted by headroom, none that is about to stop.

use sg_lookup::{Answer, Member, Query, Table, decide, member::Candidates};
use sg_tree::{Node, View, compile::compile};
use sg_types::prelude::*;

const TREE: &str = r#"{
  "regions": { "r0": { "domains": { "d0": { "blocks": "10.0.0.0/16" },
                                    "d1": { "blocks": "10.1.0.0/16" } } },
               "r1": { "domains": { "d2": { "blocks": "10.2.0.0/16, 2001:db8::/32" } } } },
  "entries": { "e0-1": { "drain": "no" } }
}"#;

fn view() -> View {
    let node = Node::from_json(TREE).expect("reads");
    compile(&node, Revision::new(1)).expect("compiles").view
}

/// Returns two members per failure domain.
fn members() -> Vec<Member> {
    let member = |index: usize| {
        let (domain, nth) = (index / 2, index % 2);
        Member {
            instance: id::Instance::new(format!("e{domain}-{nth}")).expect("a name"),
            address: format!("127.0.0.1:{}", 9_000 + index)
                .parse()
                .expect("an address"),
            region: id::Region::new(format!("r{}", domain / 2)).expect("a name"),
            domain: id::Domain::new(format!("d{domain}")).expect("a name"),
            is_stopping: false,
            headroom: Percent::from_ppm(500_000),
        }
    };
    (0..6).map(member).collect()
}

fn answer(view: &View, members: &[Member], address: &str) -> Answer {
    let service = id::Service::new("desk").expect("a name");
    let query = Query {
        address: address.parse().expect("an address"),
        service: &service,
        account: None,
    };
    decide(
        view,
        &Table::from_view(view),
        &Candidates::new(members, view),
        query,
    )
}

fn names(answer: &Answer) -> Vec<&str> {
    answer
        .entries
        .iter()
        .map(|entry| entry.instance.as_str())
        .collect()
}

#[test]
fn near_entries_come_first() {
    let answer = answer(&view(), &members(), "10.1.7.7");
    let domains: Vec<_> = names(&answer).iter().map(|name| &name[..2]).collect();
    assert_eq!(domains, ["e1", "e1", "e0", "e0", "e2"]);
    assert_eq!(
        answer.domain.map(|domain| domain.to_string()),
        Some("d1".into())
    );
    let weights: Vec<_> = answer
        .entries
        .iter()
        .map(|entry| entry.weight.as_ppm())
        .collect();
    assert_eq!(weights, [500_000, 500_000, 0, 0, 0]);
}

#[test]
fn a_caller_outside_all_blocks_gets_entries() {
    let answer = answer(&view(), &members(), "192.0.2.1");
    assert_eq!((answer.entries.len(), answer.domain), (5, None));
}

#[test]
fn stopping_and_drained_entries_are_not_named() {
    let mut members = members();
    members[2].is_stopping = true;
    let remaining = answer(&view(), &members, "10.1.7.7");
    assert!(!names(&remaining).contains(&"e1-0"), "{remaining:?}");
    assert_eq!(remaining.entries[0].weight, Percent::FULL);
    let mut view = view();
    let drained = sg_tree::view::Entry { drain: true };
    view.entries.insert(members[3].instance.clone(), drained);
    assert!(!names(&answer(&view, &members, "10.1.7.7")).contains(&"e1-1"));
    let all: Vec<_> = members
        .iter()
        .cloned()
        .map(|m| Member {
            is_stopping: true,
            ..m
        })
        .collect();
    assert!(answer(&view, &all, "10.1.7.7").entries.is_empty());
}

#[test]
fn overloaded_entries_are_omitted_unless_all_are_overloaded() {
    let mut members = members();
    members[2].headroom = Percent::ZERO;
    assert!(!names(&answer(&view(), &members, "10.1.7.7")).contains(&"e1-0"));
    let overloaded = |m| Member {
        headroom: Percent::ZERO,
        ..m
    };
    let all: Vec<_> = members.into_iter().map(overloaded).collect();
    let answer = answer(&view(), &all, "10.1.7.7");
    assert_eq!(answer.entries.len(), 5);
    let sum: u32 = answer
        .entries
        .iter()
        .map(|entry| entry.weight.as_ppm())
        .sum();
    assert_eq!(sum, 1_000_000);
}

#[test]
fn scarce_headroom_passes_callers_to_the_next_distance() {
    let mut members = members();
    members[2].headroom = Percent::from_ppm(100_000);
    members[3].headroom = Percent::from_ppm(100_000);
    let answer = answer(&view(), &members, "10.1.7.7");
    let near: u32 = answer.entries[..2]
        .iter()
        .map(|entry| entry.weight.as_ppm())
        .sum();
    assert!((399_000..=401_000).contains(&near), "{answer:?}");
}

#[test]
fn callers_are_distributed_by_headroom_and_leave_only_a_removed_entry() {
    let (view, mut members) = (view(), members());
    members[2].headroom = Percent::from_ppm(900_000);
    members[3].headroom = Percent::from_ppm(300_000);
    let firsts = |members: &[Member]| -> Vec<String> {
        let network = |n: u32| format!("10.1.{}.9", n % 256);
        let answers = (0..256).map(|n| answer(&view, members, &network(n)));
        answers.map(|answer| names(&answer)[0].to_owned()).collect()
    };
    let before = firsts(&members);
    let first = before.iter().filter(|name| *name == "e1-0").count();
    assert!(
        (160..=224).contains(&first),
        "about three quarters of 256 callers: {first}"
    );
    members[0].is_stopping = true;
    assert_eq!(before, firsts(&members), "no caller has e0-0 first");
    members[3].is_stopping = true;
    let after = firsts(&members);
    let moved = before.iter().zip(&after).filter(|(a, b)| a != b);
    assert!(moved.clone().all(|(a, _)| a == "e1-1"));
    assert!(
        moved.count() > 0,
        "some callers move, so the check is not vacuous"
    );
}

#[test]
fn answers_expire_before_a_named_entry_stops() {
    let mut view = view();
    assert_eq!(
        answer(&view, &members(), "10.1.7.7").max_age,
        Span::from_secs(2)
    );
    view.fleet.lookup_cache = Span::from_secs(60);
    let answer = answer(&view, &members(), "10.1.7.7");
    assert!(answer.max_age + sg_lookup::STOP_PROPAGATION <= view.fleet.drain_grace);
    assert_eq!(answer.cache_control(), "private, max-age=4");
    let json = serde_json::to_string(&answer).expect("writes");
    assert_eq!(
        serde_json::from_str::<Answer>(&json).expect("reads"),
        answer
    );
}
