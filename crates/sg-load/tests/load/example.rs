//! Checks the examples and scenarios in the repository.

use std::path::{Path, PathBuf};

use serde_json::Value;
use sg_fake::list::Member;
use sg_load::plan::Plan;
use sg_tree::{Digest, View};

const USERS: [&str; 2] = ["ezelthuis", "batbayar"];

const SCENARIOS: [&str; 10] = [
    "calm",
    "store-outage",
    "entry-lost",
    "region-lost",
    "drain",
    "noisy-account",
    "key-withdrawal",
    "poison",
    "silent-connections",
    "double-fault",
];

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn example(user: &str) -> (Plan, View) {
    let file = root().join("examples").join(user).join("load.json");
    let plan = Plan::read(file).expect("the load file reads");
    let view = plan.view().expect("the tree compiles");
    (plan, view)
}

#[test]
fn example_trees_have_the_expected_sizes() {
    for (user, slots) in USERS.iter().zip([7, 6]) {
        let (_, view) = example(user);
        assert_eq!(view.domains.len(), 6, "{user}");
        assert_eq!(view.entries.len(), 7, "{user}");
        assert_eq!(view.accounts.len(), 8, "{user}");
        let sizes: Vec<_> = view.services.values().map(|s| s.targets.len()).collect();
        assert_eq!(sizes, [30, 12], "{user}");
        let first = &view.services[0].targets[0];
        assert_eq!(first.slots, slots, "{user}");
    }
}

#[test]
fn load_file_keys_match_the_trees() {
    for user in USERS {
        let (plan, view) = example(user);
        assert_eq!(plan.accounts.len(), view.keys.len());
        for caller in &plan.accounts {
            let key = view.keys.get(&Digest::of(caller.secret.as_bytes()));
            let key = key.expect("the key is in the tree");
            assert_eq!((&key.account, &key.name), (&caller.account, &caller.key));
        }
    }
}

#[test]
fn entry_settings_match_the_instance_list() {
    for user in USERS {
        let folder = root().join("examples").join(user);
        let read = |name: &str| std::fs::read(folder.join(name)).expect(name);
        let members: Vec<Member> = serde_json::from_slice(&read("list.json")).expect("a list");
        assert_eq!(members.len(), 7);
        for member in members {
            let file = format!("{}.json", member.instance);
            let entry: Value = serde_json::from_slice(&read(&file)).expect("settings");
            for (name, value) in [
                ("instance", member.instance.to_string()),
                ("domain", member.domain.to_string()),
                ("serve", member.serve.to_string()),
                ("peer", member.peer.to_string()),
                ("admin", member.admin.to_string()),
            ] {
                assert_eq!(entry[name], value, "{file}");
            }
        }
    }
}

#[test]
fn every_scenario_is_valid_and_lasts_at_most_30_seconds() {
    for user in USERS {
        for name in SCENARIOS {
            let file = root()
                .join("scenarios")
                .join(user)
                .join(format!("{name}.json"));
            let plan = Plan::read(&file).unwrap_or_else(|error| panic!("{error}"));
            plan.view()
                .unwrap_or_else(|error| panic!("{name}: {error}"));
            assert!(plan.duration.as_secs_f64() <= 30.0, "{user}/{name}");
            let late = plan.faults.iter().any(|timed| timed.at > plan.duration);
            assert!(!late, "{user}/{name} has a fault after its end");
        }
    }
}
