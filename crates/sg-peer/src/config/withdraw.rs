//! Key withdrawals of a tree that can't be put in force as a whole.

use sg_tree::{Digest, Node, View, setting, view::Key};

/// Returns the view without the keys that `tree` withdraws or no longer contains, or `None` if all
/// keys remain.
pub(super) fn without_withdrawn_keys(view: &View, tree: &Node) -> Option<View> {
    let mut remaining = view.clone();
    remaining
        .keys
        .retain(|digest, key| is_kept(tree, digest, key));
    (remaining.keys.len() < view.keys.len()).then_some(remaining)
}

/// Returns whether `tree` still contains the key and does not withdraw it.
fn is_kept(tree: &Node, digest: &Digest, key: &Key) -> bool {
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
    let has_same_digest = inherited(setting::DIGEST.name)
        .and_then(|text| text.parse::<Digest>().ok())
        .is_some_and(|found| found == *digest);
    has_same_digest && withdrawn.is_none_or(|text| text.as_ref() == "no")
}
