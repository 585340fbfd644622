//! Shows how the command line reads, what each command does, and what it says when things fail.

mod admin;
mod doubt;
mod drain;
mod exit;
mod fleet;
mod follow;
mod gate;
mod input;
mod key;
mod story;
mod tree;
mod world;

use sg::options;

fn parse(line: &str) -> Result<options::Options, String> {
    options::parse(line.split_whitespace().map(str::to_owned))
}

#[test]
fn options_of_every_command_may_stand_anywhere() {
    let line = "tree apply FILE --store 127.0.0.1:2379 --author ann --json";
    let options = parse(line).expect("reads");
    assert!(options.json);
    assert_eq!(options.store.len(), 1);
    assert_eq!(options.author.as_deref(), Some("ann"));
}

#[test]
fn a_wrong_line_names_the_help() {
    let lines = [
        "tree set /a",
        "drain moon x",
        "tree get --store nowhere",
        "fly",
        "key add a/b k",
    ];
    for line in lines {
        let error = parse(line).expect_err(line);
        assert!(error.contains("--help"), "{line}: {error}");
    }
}

#[test]
fn help_names_every_command() {
    let options = parse("--help").expect("reads");
    let usage = options::usage(&options);
    for name in ["tree", "key", "drain", "status", "explain", "why"] {
        assert!(usage.contains(name), "{name}");
    }
}

#[test]
fn a_reverted_tree_keeps_the_keys_of_the_accepted_one() {
    let tree = |text: &str| sg_tree::Node::from_json(text).expect("reads");
    let earlier = tree(r#"{"accounts":{"a":{"rate":"1/s","keys":{"k":{"digest":"d"}}},"b":{}}}"#);
    let accepted = tree(
        r#"{"accounts":{"a":{"rate":"2/s","keys":{"k":{"digest":"d","withdrawn":"yes"}}},
            "c":{"keys":{"x":{}}}}}"#,
    );
    let after = sg::tree::keep_keys(earlier, &accepted);
    let setting = |path: &str| after.setting(&path.parse().expect("a path"));
    assert_eq!(setting("/accounts/a/rate"), Some("1/s"));
    assert_eq!(setting("/accounts/a/keys/k/withdrawn"), Some("yes"));
    assert!(after.at(&"/accounts/c".parse().expect("a path")).is_none());
}
