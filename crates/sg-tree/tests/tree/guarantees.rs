//! Tests that each check of the guarantees reports a change that breaks them, and reports no fault of
//! the safe tree.

use sg_tree::{Fault, Node, compile::compile, fault::Severity, guarantees};
use sg_types::prelude::*;

const SAFE_TREE: &str = r#"{
  "deadline": "2s",
  "regions": { "a": { "domains": { "a1": {}, "a2": {} } },
               "b": { "domains": { "b1": {}, "b2": {} } } },
  "links": { "a--b": { "bandwidth": "1Gbit/s" } },
  "services": { "desk": {
    "split": { "a": { "weight": "50%" }, "b": { "weight": "50%" } },
    "routes": { "list": { "path": "/list", "method": "GET" },
                "book": { "path": "/list", "method": "POST" } },
    "targets": { "slots": 10,
      "ta1": { "address": "127.0.0.1:9001", "domain": "a1" },
      "ta2": { "address": "127.0.0.1:9002", "domain": "a2" },
      "tb1": { "address": "127.0.0.1:9003", "domain": "b1" },
      "tb2": { "address": "127.0.0.1:9004", "domain": "b2" } } } },
  "accounts": { "rate": "50/s", "burst": 20, "x": {}, "y": {} }
}"#;

fn safe_tree() -> Node {
    Node::from_json(SAFE_TREE).expect("the tree reads")
}

fn check(tree: &Node) -> Vec<Fault> {
    let view = compile(tree, Revision::new(1)).expect("compiles").view;
    guarantees::check(&view)
}

/// A change of the safe tree and the fault that it must cause.
struct Case {
    set: &'static [(&'static str, &'static str)],
    severity: Severity,
    path: &'static str,
    problem: &'static str,
}

const fn warning(
    set: &'static [(&'static str, &'static str)],
    path: &'static str,
    problem: &'static str,
) -> Case {
    Case {
        set,
        severity: Severity::Warning,
        path,
        problem,
    }
}

const fn error(
    set: &'static [(&'static str, &'static str)],
    path: &'static str,
    problem: &'static str,
) -> Case {
    Case {
        severity: Severity::Error,
        ..warning(set, path, problem)
    }
}

const CASES: &[Case] = &[
    error(
        &[("/accounts/rate", "600/s")],
        "/accounts",
        "rates add up to 1200/s",
    ),
    error(
        &[("/accounts/x/rate", "900/s")],
        "/accounts/x/rate",
        "exceeds what service 'desk' carries",
    ),
    error(
        &[
            ("/services/desk/split/a/weight", "100%"),
            ("/services/desk/split/b/weight", "0%"),
            ("/accounts/rate", "150/s"),
        ],
        "/services/desk/split/a",
        "after losing a failure domain the region carries 200/s",
    ),
    error(
        &[
            ("/regions/a/domains/a1/drain", "yes"),
            ("/accounts/rate", "190/s"),
        ],
        "/services/desk/split/a",
        "with its drains the region carries 200/s, less 10%",
    ),
    warning(
        &[("/regions/a/domains/a1/drain", "yes")],
        "/services/desk/split/a",
        "while targets are drained, losing a failure domain leaves 0/s",
    ),
    warning(
        &[("/accounts/rate", "190/s")],
        "/services/desk/split/a",
        "less than 10% of the capacity is unused",
    ),
    warning(
        &[("/regions/a/drain", "yes")],
        "/services/desk/split/a",
        "'shift-capped'",
    ),
    warning(
        &[
            ("/services/desk/split/a/weight", "100%"),
            ("/services/desk/split/b/weight", "0%"),
        ],
        "/services/desk/split/b",
        "get no traffic",
    ),
    warning(
        &[("/fleet/drain-grace", "4s")],
        "/fleet/drain-grace",
        "shorter than",
    ),
    warning(&[("/fleet/validity", "900ms")], "/fleet/validity", "short"),
    warning(&[("/fleet/validity", "31s")], "/fleet/validity", "long"),
    warning(
        &[("/services/desk/retry-budget", "51%")],
        "/services/desk/retry-budget",
        "over half",
    ),
    warning(
        &[("/fleet/slots", "21")],
        "/accounts/x/burst",
        "one whole request",
    ),
    warning(
        &[("/services/desk/progress-timeout", "3s")],
        "/services/desk/routes/list/deadline",
        "progress-timeout",
    ),
    error(
        &[("/services/desk/routes/list/method", "post")],
        "/services/desk/routes/book",
        "same path and method",
    ),
    warning(
        &[("/services/desk/routes/list/method", "any")],
        "/services/desk/routes/book",
        "any method",
    ),
    error(
        &[("/services/desk/targets/tb2/address", "127.0.0.1:9003")],
        "/services/desk/targets/tb2/address",
        "counted twice",
    ),
];

#[test]
fn the_safe_tree_has_no_fault() {
    assert_eq!(check(&safe_tree()), Vec::new());
}

#[test]
fn each_check_reports_its_fault() {
    for case in CASES {
        let mut tree = safe_tree();
        for (path, value) in case.set {
            tree.set(&path.parse().expect("a path"), value);
        }
        let faults = check(&tree);
        let matches_case = |fault: &&Fault| {
            fault.severity == case.severity
                && fault.path.to_string() == case.path
                && fault.problem.contains(case.problem)
                && !fault.remedy.is_empty()
        };
        assert!(
            faults.iter().any(|f| matches_case(&f)),
            "{}: {faults:?}",
            case.path
        );
        let errors = faults.iter().filter(|f| f.severity == Severity::Error);
        let has_errors = errors.count() > 0;
        assert_eq!(has_errors, case.severity == Severity::Error, "{faults:?}");
    }
}

#[test]
fn missing_nodes_give_warnings() {
    let cases = [
        ("/links/a--b", "no link between"),
        ("/services/desk/routes", "has no route"),
        ("/services/desk/targets", "has no target"),
        ("/services/desk/split", "no split is set"),
    ];
    for (path, problem) in cases {
        let mut tree = safe_tree();
        assert!(tree.remove(&path.parse().expect("a path")), "{path}");
        // Without targets the capacity is zero, so any account's rate would add an error.
        tree.remove(&"/accounts".parse().expect("a path"));
        let faults = check(&tree);
        assert!(
            faults
                .iter()
                .any(|f| f.problem.contains(problem) && f.severity == Severity::Warning),
            "{path}: {faults:?}"
        );
    }
}

#[test]
fn a_drained_region_without_weight_has_no_fault() {
    let mut tree = safe_tree();
    let changes = [
        ("/services/desk/split/a/weight", "0%"),
        ("/services/desk/split/b/weight", "100%"),
        ("/regions/a/drain", "yes"),
    ];
    for (path, value) in changes {
        tree.set(&path.parse().expect("a path"), value);
    }
    assert_eq!(check(&tree), Vec::new());
}

#[test]
fn a_cap_above_100_percent_is_rejected() {
    for cap in ["shift-cap", "ejection-cap", "retry-budget", "headroom"] {
        let mut tree = safe_tree();
        let path = format!("/services/desk/{cap}");
        tree.set(&path.parse().expect("a path"), "100.1%");
        let error = compile(&tree, Revision::new(1)).expect_err("is rejected");
        assert_eq!(error.faults[0].path.to_string(), path);
    }
}
