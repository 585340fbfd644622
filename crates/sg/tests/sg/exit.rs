//! Shows the exit codes and the output of the program itself.

use std::process::{Command, Output, Stdio};

use crate::{gate::Mode, world::World};

/// Runs the program with `line` and the store's address.
async fn program(world: &World, line: &str) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_sg"));
    command
        .args(line.split_whitespace())
        .arg("--store")
        .arg(world.gate.address.to_string())
        .env_clear();
    let output = tokio::task::spawn_blocking(move || command.output()).await;
    output.expect("not stopped").expect("it runs")
}

#[tokio::test]
async fn the_exit_code_tells_what_happened() {
    let world = World::start(101).await;
    let cases = [
        ("tree get /accounts/x", sg::DONE, None),
        ("tree fly", sg::USAGE, Some("usage")),
        ("drain moon x", sg::USAGE, Some("usage")),
        ("status", sg::USAGE, Some("usage")),
        ("tree check /nowhere", sg::USAGE, Some("file")),
        ("tree set /accounts/x/rate 0/s", sg::REFUSED, Some("faults")),
        ("key withdraw x k", sg::REFUSED, Some("refused")),
        (
            "status --instances 127.92.101.1:9",
            sg::OUTAGE,
            Some("outage"),
        ),
    ];
    for (line, code, kind) in cases {
        let output = program(&world, &format!("{line} --json")).await;
        let (out, err) = (
            String::from_utf8_lossy(&output.stdout),
            String::from_utf8_lossy(&output.stderr),
        );
        assert_eq!(output.status.code(), Some(i32::from(code)), "{line}: {err}");
        let json: serde_json::Value = serde_json::from_str(&out).expect(line);
        assert_eq!(json["error"]["kind"].as_str(), kind, "{line}");
        assert_eq!(err.starts_with("sg: "), kind.is_some(), "{line}: {err}");
    }
}

#[tokio::test]
async fn a_change_in_doubt_has_a_code_of_its_own() {
    let world = World::start(102).await;
    world.gate.set(Mode::LoseWrite);
    let output = program(&world, "tree set /deadline 3s").await;
    assert_eq!(output.status.code(), Some(i32::from(sg::UNKNOWN)));
    assert!(output.stdout.is_empty());
}

#[tokio::test]
async fn a_signal_in_the_middle_of_a_write_is_answered() {
    let world = World::start(103).await;
    for (mode, code, said) in [
        (Mode::HangBefore, sg::UNKNOWN, "is not known"),
        (Mode::HangAfter, sg::FAILED, "was written as revision 2"),
    ] {
        world.gate.set(mode);
        let child = Command::new(env!("CARGO_BIN_EXE_sg"))
            .args(["tree", "set", "/deadline", "3s", "--store"])
            .arg(world.gate.address.to_string())
            .env_clear()
            .stderr(Stdio::piped())
            .spawn()
            .expect("it starts");
        world.gate.reached().await;
        world.gate.set(Mode::Pass);
        let id = child.id().to_string();
        let kill = Command::new("kill").args(["-INT", &id]).status();
        assert!(kill.expect("it runs").success());
        let output = tokio::task::spawn_blocking(|| child.wait_with_output()).await;
        let output = output.expect("not stopped").expect("it ends");
        let err = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(i32::from(code)), "{err}");
        assert!(err.contains(said), "{err}");
    }
}
