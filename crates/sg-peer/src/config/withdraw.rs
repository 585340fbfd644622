//! Key withdrawals of a tree that can't be put in force as a whole.

use sg_tree::{Digest, Node, View, setting, view::Key};

/// Returns the view without the keys that `tree` withdraws or no longer contains, or `None` if all
/// keys remain.
pub(super) fn without_keys_of(view: &View, tree: &Node) -> Option<View> {
    let mut rest = view.clone();
    rest.keys.retain(|digest, key| stands(tree, digest, key));
    (rest.keys.len() < view.keys.len()).then_some(rest)
}

fn stands(tree: &Node, digest: &Digest, key: &Key) -> bool {
    let names = ["accounts", key.account.as_str(), "keys", key.name.as_str()];
    let mut nodes = vec![tree];
    for name in names {
        let child = nodes.last().and_then(|node| node.children.get(name));
        match child {
            Some(child) => nodes.push(child),
            None => return false,
        }
    }
    let inherited = |name: &str| nodes.iter().rev().find_map(|node| node.settings.get(name));
    let withdrawn = inherited(setting::WITHDRAWN.name);
    let same = inherited(setting::DIGEST.name)
        .and_then(|text| text.parse::<Digest>().ok())
        .is_some_and(|found| found == *digest);
    same && withdrawn.is_none_or(|text| text.as_ref() == "no")
}
