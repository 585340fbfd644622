//! Tests inheritance, validation and the text form of the tree of settings.

mod change;
mod guarantees;
mod reference;

use quickcheck::quickcheck;
use sg_tree::{Node, Path, compile::compile};
use sg_types::prelude::*;

const TREE: &str = r#"{
  "deadline": "3s",
  "fleet": { "slots": 7 },
  "regions": { "north": { "domains": { "n1": {}, "n2": { "drain": true } } } },
  "services": {
    "desk": {
      "split": { "north": { "weight": "100%" } },
      "routes": { "list": { "path": "/list", "access": "open", "repeatable": "yes" },
                  "book": { "path": "/list/book", "deadline": "1s" } },
      "targets": { "slots": 3,
                   "t1": { "address": "127.0.0.1:9001", "domain": "n1" },
                   "t2": { "address": "127.0.0.1:9002", "domain": "n2", "slots": 5 } }
    }
  },
  "accounts": { "rate": "5/s", "a": {}, "b": { "rate": "50/s" } }
}"#;

fn tree() -> Node {
    Node::from_json(TREE).expect("the tree reads")
}

#[test]
fn a_node_inherits_unless_it_overrides() {
    let view = compile(&tree(), Revision::new(1)).expect("compiles").view;
    assert_eq!(view.accounts["a"].rate, Rate::per_second(5));
    assert_eq!(view.accounts["b"].rate, Rate::per_second(50));
    let desk = &view.services["desk"];
    assert_eq!(desk.routes[0].deadline, Span::from_secs(3));
    assert_eq!(desk.routes[1].deadline, Span::from_secs(1));
    assert_eq!(desk.targets["t1"].slots, 3);
    assert_eq!(desk.targets["t2"].slots, 5);
    assert!(desk.targets["t2"].drain, "drained with its failure domain");
    assert_eq!(view.fleet.slots, 7);
}

#[test]
fn the_longest_path_prefix_wins() {
    let view = compile(&tree(), Revision::new(1)).expect("compiles").view;
    let (_, route) = view.route("POST", "/list/book/7").expect("a route");
    assert_eq!(route.name.as_str(), "book");
    assert!(view.route("GET", "/other").is_none());
}

#[test]
fn faults_state_path_and_remedy() {
    let cases = [
        ("/accounts/a/rate", "0/s", "50/s"),
        ("/accounts/a/colour", "red", "settings reference"),
        ("/accounts/a/path", "/x", "set it at or above"),
        (
            "/services/desk/targets/t1/domain",
            "mars",
            "name a failure domain",
        ),
        ("/services/desk/split/north/weight", "50%", "add up to 100%"),
        ("/services/desk/shift-cap", "101%", "12.5%"),
    ];
    for (path, value, remedy) in cases {
        let mut tree = tree();
        tree.set(&path.parse().expect("a path"), value);
        let error = compile(&tree, Revision::new(1)).expect_err(path);
        let fault = &error.faults[0];
        assert!(fault.remedy.contains(remedy), "{fault}");
        let parent = path.rsplit_once('/').expect("has a parent").0;
        assert!(
            path.starts_with(&fault.path.to_string())
                || parent.starts_with(&fault.path.to_string()),
            "{fault}"
        );
    }
}

#[test]
fn the_digest_ignores_member_order() {
    let a = Node::from_json(r#"{"deadline":"1s","fleet":{"slots":1,"relays":2}}"#).expect("reads");
    let b =
        Node::from_json(r#"{"fleet":{"relays":"2","slots":"1"},"deadline":"1s"}"#).expect("reads");
    assert_eq!(a.digest(), b.digest());
}

quickcheck! {
    fn any_input_gives_a_view_or_errors_with_remedies(bytes: Vec<u8>) -> bool {
        match Node::from_json(bytes) {
            Ok(node) => compile(&node, Revision::new(1)).map_or_else(
                |error| error.faults.iter().all(|fault| !fault.remedy.is_empty()),
                |output| output.view.revision == Revision::new(1),
            ),
            Err(error) => !error.to_string().is_empty(),
        }
    }

    fn a_set_value_survives_json(names: Vec<u8>, value: String) -> bool {
        let path = names.iter().fold(Path::root(), |path, n| path.join(format!("n{n}"))).join("x");
        let mut node = Node::default();
        node.set(&path, &value);
        let copy = Node::from_json(node.to_json());
        names.len() > 12 || copy.is_ok_and(|copy| copy.setting(&path) == Some(value.as_str()))
    }
}
