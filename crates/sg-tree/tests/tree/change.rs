//! Tests the texts that operators see for a change: difference, sources of values, faults and
//! predicted effect.

use sg_tree::{
    Node, compile::compile, diff::diff, effective, fault::Severity, guarantees, predict::predict,
    setting,
};
use sg_types::prelude::*;

use crate::tree;

fn tree_with(path: &str, value: &str) -> Node {
    let mut tree = tree();
    tree.set(&path.parse().expect("a path"), value);
    tree
}

fn guarantee_errors(tree: &Node) -> Vec<String> {
    let view = compile(tree, Revision::new(1)).expect("compiles").view;
    guarantees::check(&view)
        .iter()
        .filter(|fault| fault.severity == Severity::Error)
        .map(ToString::to_string)
        .collect()
}

#[test]
fn a_difference_lists_values_and_inheriting_nodes() {
    let after = tree_with("/accounts/rate", "7/s");
    let text = diff(&tree(), &after).to_string();
    assert_eq!(
        text,
        "~ /accounts/rate: 5/s -> 7/s; inherited by /accounts/a"
    );
    assert_eq!(diff(&tree(), &tree()).to_string(), "no difference");
}

#[test]
fn a_removed_override_is_inherited_again() {
    let mut after = tree();
    assert!(after.remove(&"/accounts/b/rate".parse().expect("a path")));
    let text = diff(&tree(), &after).to_string();
    assert_eq!(text, "~ /accounts/b/rate: 50/s -> 5/s (inherited again)");
}

#[test]
fn an_override_equal_to_the_inherited_value_is_marked() {
    let text = diff(&tree(), &tree_with("/accounts/a/rate", "5/s")).to_string();
    assert_eq!(text, "= /accounts/a/rate: 5/s (now set here)");
}

#[test]
fn an_effective_value_states_its_source() {
    let resolve = |path: &str| effective::resolve(&tree(), &path.parse().expect("a path"));
    let text = |path| resolve(path).expect("a value").to_string();
    assert!(text("/accounts/b/rate").ends_with("50/s (set here)"));
    assert!(text("/accounts/a/rate").ends_with("5/s (inherited from /accounts)"));
    assert!(text("/accounts/a/burst").ends_with("20 (default)"));
    assert_eq!(resolve("/accounts/a/colour"), None);
}

#[test]
fn broken_guarantees_are_errors() {
    let excessive_rate = guarantee_errors(&tree_with("/accounts/b/rate", "5000/s"));
    assert!(
        excessive_rate
            .iter()
            .any(|fault| fault.contains("exceeds what service")),
        "{excessive_rate:?}"
    );
    let single_domain = guarantee_errors(&tree());
    assert!(
        single_domain
            .iter()
            .any(|fault| fault.contains("after losing a failure domain")),
        "{single_domain:?}"
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
    assert_eq!(guarantee_errors(&safe), Vec::<String>::new());
}

#[test]
fn a_prediction_has_the_moved_regions_and_shift_durations() {
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
    assert_eq!(prediction.regions[0].shift_duration, Span::from_secs(40));
    assert!(
        predict(&view(&before, 1), &view(&before, 2))
            .regions
            .is_empty()
    );
}

#[test]
fn every_default_is_valid_and_every_setting_is_found() {
    for spec in setting::ALL {
        assert!(
            spec.default.is_none_or(|text| spec.format.accepts(text)),
            "{}",
            spec.name
        );
        assert!(setting::find(spec.name).is_some_and(|found| std::ptr::eq(found, *spec)));
    }
}
