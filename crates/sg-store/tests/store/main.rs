//! Tests of the store client: lost responses, concurrent changes and corrupt values in the store.

mod date;
mod http;
mod publishing;

use sg_clock::Timer;
use sg_store::{change, head::Date, memory, publish};
use sg_tree::Node;
use sg_types::prelude::*;

fn store() -> memory::Store {
    memory::Store::new(Timer::new())
}

fn tree(deadline: &str) -> Node {
    let mut tree = Node::default();
    tree.set(&"/deadline".parse().expect("a path"), deadline);
    tree
}

fn options(base: u64, change: u128) -> publish::Options {
    publish::Options {
        base: Revision::new(base),
        author: "ann".into(),
        note: "test".into(),
        change: change::Id::new(change),
        time: Date::from_unix_millis(1),
    }
}
