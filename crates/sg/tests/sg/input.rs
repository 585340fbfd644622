//! Tries the command line and trees with what nobody should write. Seeds are printed; `SG_SEED`
//! replaces them.

use quickcheck::{Arbitrary, Gen};
use sg::options;
use sg_tree::{Node, Path, compile, diff, effective, guarantees, predict};
use sg_types::prelude::*;

use crate::world::TREE;

const SEED: u64 = 7;
const SIZE: usize = 40;
const ROUNDS: usize = 3_000;

/// Values at the ends of what their units hold, and beyond.
const VALUES: [&str; 24] = [
    "",
    "0",
    "-1",
    "1",
    "4294967295",
    "4294967296",
    "18446744073709551615",
    "99999999999999999999999999",
    "1e308",
    "NaN",
    "inf",
    "0.0000000000001/s",
    "18446744073709551615/s",
    "1e308/s",
    "0/s",
    "-5/s",
    "100%",
    "100.00000001%",
    "1e9%",
    "18446744073709551615s",
    "0ms",
    "9999999999999h",
    "\u{0}\u{202e}\u{1f9ea}",
    "//../..",
];

fn seeded() -> Gen {
    let given = std::env::var("SG_SEED").ok();
    let seed = given.and_then(|seed| seed.parse().ok()).unwrap_or(SEED);
    println!("SG_SEED={seed}");
    Gen::from_size_and_seed(SIZE, seed)
}

/// The paths of all settings of `node`.
fn settings(node: &Node, at: &Path, paths: &mut Vec<Path>) {
    paths.extend(node.settings.keys().map(|name| at.join(name)));
    for (name, child) in &node.children {
        settings(child, &at.join(name), paths);
    }
}

/// A tree with a few values changed, which may be no tree for use.
fn spoilt(good: &Node, rng: &mut Gen) -> Node {
    let mut paths = Vec::new();
    settings(good, &Path::root(), &mut paths);
    let names: Vec<&str> = sg_tree::setting::ALL.iter().map(|one| one.name).collect();
    let mut tree = good.clone();
    for _ in 0..=usize::arbitrary(rng) % 2 {
        let path = rng.choose(&paths).expect("some").clone();
        let path = match bool::arbitrary(rng) {
            true => path,
            false => {
                let parent: Vec<&str> = path.segments().collect();
                let depth = usize::arbitrary(rng) % parent.len();
                let parent = parent[..depth].iter();
                let parent = parent.fold(Path::root(), |path, name| path.join(name));
                parent.join(rng.choose(&names).expect("some"))
            }
        };
        let value = match usize::arbitrary(rng) % 8 {
            0 => String::arbitrary(rng),
            1 => (*rng.choose(&VALUES).expect("some")).to_owned(),
            _ => of_unit(&path, rng),
        };
        tree.set(&path, value);
    }
    tree
}

/// A number in the unit of the setting at `path`.
fn of_unit(path: &Path, rng: &mut Gen) -> String {
    let name = path.segments().last().unwrap_or_default();
    let spec = sg_tree::setting::find(name).expect("a setting");
    let unit = spec
        .format
        .example()
        .trim_start_matches(|one: char| one.is_ascii_digit() || one == '.');
    let number = match bool::arbitrary(rng) {
        true => u64::arbitrary(rng) % 200,
        false => 1_u64 << (u64::arbitrary(rng) % 64),
    };
    format!("{number}{unit}")
}

#[test]
fn no_value_of_a_setting_is_taken_without_a_check() {
    let mut rng = seeded();
    let good = Node::from_json(TREE).expect("reads");
    let old = compile::compile(&good, Revision::new(1)).expect("no fault");
    let (mut taken, mut refused) = (0, 0);
    for _ in 0..ROUNDS {
        let tree = spoilt(&good, &mut rng);
        let text = tree.to_json();
        let _ = diff::diff(&good, &tree).to_string();
        let _ = effective::format_table(&effective::list(&tree, &Path::root()));
        match compile::compile(&tree, Revision::new(2)) {
            Ok(outcome) => {
                taken += 1;
                let _ = guarantees::check(&outcome.view);
                let _ = predict::predict(&old.view, &outcome.view).to_string();
            }
            Err(error) => {
                refused += 1;
                assert!(!error.faults.is_empty(), "{text}");
                for fault in &error.faults {
                    assert!(!fault.problem.is_empty(), "{fault}: {text}");
                    assert!(!fault.remedy.is_empty(), "{fault}: {text}");
                }
            }
        }
    }
    println!("{taken} taken, {refused} refused");
    assert!(taken > 0 && refused > 0, "both ways are tried");
}

#[test]
fn no_text_of_a_tree_is_taken_without_a_check() {
    let mut rng = seeded();
    let (mut read, mut unreadable) = (0, 0);
    for _ in 0..ROUNDS {
        let text = scribble(TREE.as_bytes(), &mut rng);
        match Node::from_json(&text) {
            Ok(tree) => {
                read += 1;
                let _ = compile::compile(&tree, Revision::new(1));
            }
            Err(error) => {
                unreadable += 1;
                assert!(error.to_string().contains("; "), "{error}");
            }
        }
    }
    println!("{read} read, {unreadable} unreadable");
    assert!(read > 0 && unreadable > 0, "both ways are tried");
    for text in ["[".repeat(1 << 20), r#"{"a":"#.repeat(1 << 18)] {
        Node::from_json(text).expect_err("too deep");
    }
}

/// `text` with a few bytes cut, doubled or replaced.
fn scribble(text: &[u8], rng: &mut Gen) -> Vec<u8> {
    let mut text = text.to_vec();
    for _ in 0..=usize::arbitrary(rng) % 3 {
        let at = usize::arbitrary(rng) % text.len();
        let end = (at + usize::arbitrary(rng) % SIZE).min(text.len());
        match usize::arbitrary(rng) % 4 {
            0 => text[at] = u8::arbitrary(rng),
            1 => drop(text.drain(at..end)),
            2 => {
                let part = text[at..end].to_vec();
                text.splice(at..at, part);
            }
            _ => {
                let value = String::arbitrary(rng);
                text.splice(at..at, value.into_bytes());
            }
        }
        if text.is_empty() {
            text.push(b'{');
        }
    }
    text
}

#[test]
fn no_line_is_taken_without_a_check() {
    const WORDS: [&str; 22] = [
        "tree",
        "get",
        "set",
        "apply",
        "diff",
        "status",
        "history",
        "revert",
        "key",
        "add",
        "withdraw",
        "list",
        "drain",
        "entry",
        "explain",
        "why",
        "--wait",
        "--store",
        "--json",
        "--change",
        "--revision",
        "--",
    ];
    let mut rng = seeded();
    let (mut taken, mut refused) = (0, 0);
    for _ in 0..ROUNDS {
        let words = 1 + usize::arbitrary(&mut rng) % 5;
        let line: Vec<String> = (0..words)
            .map(|_| match usize::arbitrary(&mut rng) % 4 {
                0 => String::arbitrary(&mut rng),
                1 => (*rng.choose(&VALUES).expect("some")).to_owned(),
                _ => (*rng.choose(&WORDS).expect("some")).to_owned(),
            })
            .collect();
        match options::parse(line.clone()) {
            Ok(options) => {
                taken += 1;
                let _ = options::usage(&options);
            }
            Err(error) => {
                refused += 1;
                assert!(error.contains("--help"), "{line:?}: {error}");
            }
        }
    }
    println!("{taken} taken, {refused} refused");
    assert!(taken > 0 && refused > 0, "both ways are tried");
}
