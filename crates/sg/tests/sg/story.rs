//! Shows what `sg why` tells out of logs.

use std::{
    io::{Cursor, Write},
    process::{Command, Stdio},
};

use sg::story::Story;
use sg_types::prelude::*;

/// Lines as instances write them, one with a prefix of a collector and one that is cut.
const FRONT_A: &str = r#"{"event":"configuration read","instance":"a","level":"INFO","revision":3,"time":1000,"version":7}
{"event":"target read","instance":"a","level":"INFO","target_id":"i-1","draining":false,"time":1500}
{"event":"target gone","instance":"a","level":"INFO","target_id":"i-9","time":1600}
  12.5 a {"event":"answered","instance":"a","request":"85944a5883936d12","outcome":"not-run","reason":"shed","sent":"i-1@0ms:shed:warm:first:expected=387ms","status":503,"time":5300,"took_ms":100}
{"event":"target gone","instance":"a","level":"INFO","target_id":"i-1","time":5250}
{"event":"answered","instance":"a","request":"ffff4a5883936d12","sent":"","time":5300}
"#;
const FRONT_B: &str = r#"{"event":"store lost","instance":"b","level":"WARN","prefix":"config","time":4000}
{"event":"answered","instance":"b","request":"85944a5883936d12","outcome":"ran","reason":"answered","sent":"i-1@0ms:answered:warm:first:expected=300ms","status":200,"time":5000}
{"event":"answered","inst
"#;

fn request() -> id::Request {
    "85944a5883936d12".parse().expect("an id")
}

fn log(text: &'static str) -> Box<dyn std::io::BufRead> {
    Box::new(Cursor::new(text))
}

#[test]
fn a_story_stands_in_order_across_instances_with_what_they_knew() {
    let story = Story::read(&request(), [log(FRONT_A), log(FRONT_B)]).expect("reads");
    assert_eq!((story.read, story.foreign), (9, 1));
    let steps = story.steps.iter().map(|step| {
        let known = step.known.iter().map(|line| line.event.as_str());
        (step.line.instance.as_str(), known.collect::<Vec<_>>())
    });
    let told: Vec<_> = steps.collect();
    let expected = [
        ("b", vec!["store lost"]),
        // What came while it was in hand is not told.
        ("a", vec!["configuration read", "target read"]),
    ];
    assert_eq!(told, expected);
    let text = story.to_string();
    assert!(text.starts_with("+0 ms b: answered"), "{text}");
    assert!(text.contains("+200 ms a: answered"), "{text}");
    assert!(
        text.contains("known for 3700 ms: target read draining=false target_id=i-1"),
        "{text}"
    );
}

#[test]
fn the_program_reads_logs_from_standard_input() {
    let run = |id: &str| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_sg"));
        command.args(["why", id, "-"]).env_clear();
        let pipes = command.stdin(Stdio::piped()).stdout(Stdio::piped());
        let mut child = pipes.stderr(Stdio::piped()).spawn().expect("it runs");
        let mut input = child.stdin.take().expect("a pipe");
        input.write_all(FRONT_A.as_bytes()).expect("is read");
        drop(input);
        child.wait_with_output().expect("it ends")
    };
    let known = run("85944a5883936d12");
    let text = String::from_utf8_lossy(&known.stdout).into_owned();
    assert!(
        known.status.success() && text.contains("reason=shed"),
        "{text}"
    );
    let unknown = run("00004a5883936d12");
    assert_eq!(unknown.status.code(), Some(i32::from(sg::REFUSED)));
    let error = String::from_utf8_lossy(&unknown.stderr).into_owned();
    assert!(error.contains("none of the 6 lines"), "{error}");
}
