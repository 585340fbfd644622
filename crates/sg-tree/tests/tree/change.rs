//! Shows what operators read of a change: its difference, its sources, its faults, its effect.

use sg_tree::{
    Node, compile::compile, diff::diff, effective, fault::Severity, predict::predict, promise,
    setting,
};
use sg_types::prelude::*;

use crate::tree;

fn set(path: &str, value: &str) -> Node {
    let mut tree = tree();
    tree.set(&path.parse().expect("a path"), value);
    tree
}

fn faults(tree: &Node) -> Vec<String> {
    let view = compile(tree, Revision::new(1)).expect("compiles").view;
    promise::check(&view)
        .iter()
        .filter(|fault| fault.severity == Severity::Error)
        .map(ToString::to_string)
        .collect()
}

#[test]
fn a_difference_names_values_and_heirs() {
    let after = set("/accounts/rate", "7/s");
    let text = diff(&tree(), &after).to_string();
    assert_eq!(
        text,
        "~ /accounts/rate: 5/s -> 7/s; inherited by /accounts/a"
    );
    assert_eq!(diff(&tree(), &tree()).to_string(), "no difference");
}

#[test]
fn an_override_that_goes_is_inherited_again() {
    let mut after = tree();
    assert!(after.remove(&"/accounts/b/rate".parse().expect("a path")));
    let text = diff(&tree(), &after).to_string();
    assert_eq!(text, "~ /accounts/b/rate: 50/s -> 5/s (inherited again)");
}

#[test]
fn a_value_that_is_pinned_without_change_is_told_apart() {
    let text = diff(&tree(), &set("/accounts/a/rate", "5/s")).to_string();
    assert_eq!(text, "= /accounts/a/rate: 5/s (now set here)");
}

#[test]
fn a_value_tells_where_it_comes_from() {
    let trace = |path: &str| effective::trace(&tree(), &path.parse().expect("a path"));
    let text = |path| trace(path).expect("a value").to_string();
    assert!(text("/accounts/b/rate").ends_with("50/s (set here)"));
    assert!(text("/accounts/a/rate").ends_with("5/s (inherited from /accounts)"));
    assert!(text("/accounts/a/burst").ends_with("20 (default)"));
    assert_eq!(trace("/accounts/a/colour"), None);
}

#[test]
fn promises_that_would_break_are_refused() {
    let big = faults(&set("/accounts/b/rate", "5000/s"));
    assert!(
        big.iter()
            .any(|fault| fault.contains("exceeds what service")),
        "{big:?}"
    );
    let alone = faults(&tree());
    assert!(
        alone
            .iter()
            .any(|fault| fault.contains("after losing a failure domain")),
        "{alone:?}"
    );
    let mut safe = tree();
    safe.remove(&"/regions/north/domains/n2/drain".parse().expect("a path"));
    safe.set(
        &"/services/desk/targets/slots".parse().expect("a path"),
        "20",
    );
    safe.set(
        &"/services/desk/targets/t2/slots".parse().expect("a path"),
        "20",
    );
    assert_eq!(faults(&safe), Vec::<String>::new());
}

#[test]
fn a_prediction_tells_moves_and_their_time() {
    let text = r#"{"regions":{"a":{"domains":{"a1":{}}},"b":{"domains":{"b1":{}}}},
        "services":{"s":{"split":{"a":{"weight":"100%"},"b":{"weight":"0%"}},
        "targets":{"x":{"address":"127.0.0.1:1","domain":"a1"},"y":{"address":"127.0.0.1:2","domain":"b1"}}}}}"#;
    let before = Node::from_json(text).expect("reads");
    let mut after = before.clone();
    after.set(
        &"/services/s/split/a/weight".parse().expect("a path"),
        "65%",
    );
    after.set(
        &"/services/s/split/b/weight".parse().expect("a path"),
        "35%",
    );
    let view = |node, revision| {
        compile(node, Revision::new(revision))
            .expect("compiles")
            .view
    };
    let prediction = predict(&view(&before, 1), &view(&after, 2));
    assert_eq!(prediction.regions.len(), 2);
    assert_eq!(prediction.regions[0].takes, Span::from_secs(40));
    assert!(
        predict(&view(&before, 1), &view(&before, 2))
            .regions
            .is_empty()
    );
}

#[test]
fn every_default_is_a_value_of_its_unit() {
    for spec in setting::ALL {
        assert!(
            spec.default.is_none_or(|text| spec.unit.accepts(text)),
            "{}",
            spec.name
        );
        assert!(setting::find(spec.name).is_some_and(|found| std::ptr::eq(found, *spec)));
    }
}
