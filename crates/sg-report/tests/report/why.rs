//! Tests of the text of a request record.

use sg_report::why::InstanceRecord;

const SAMPLE: &str = r#"{"instance":"e1","record":{
    "request":"r-1","revision":7,"service":"desk","route":"book","account":"a",
    "attempts":[{"target":"t1","region":"north","started":"1.2ms","end":"shed"},
                {"target":"t2","region":"north","started":"5.2ms","end":"answered"}],
    "waited":"1.2ms","took":"12.3ms","outcome":"ran","reason":"answered"}}"#;

#[test]
fn record_text_shows_decisions_and_attempts() {
    let record: InstanceRecord = serde_json::from_str(SAMPLE).expect("record deserializes");
    let text = record.to_string();
    for expected in [
        "e1: request r-1: ran, reason 'answered', after 12.3 ms, under revision 7",
        "route 'book' of service 'desk', client account 'a'",
        "waited 1.2 ms",
        "attempt 2: from 5.2 ms on target 't2' in region 'north', ended 'answered'",
    ] {
        assert!(text.contains(expected), "{expected}: {text}");
    }
}

#[test]
fn record_text_of_request_without_attempt() {
    let text = r#"{"instance":"e1","record":{"request":"r-1","revision":7,"service":null,
        "route":null,"account":null,"attempts":[],"waited":"1ms","took":"1ms",
        "outcome":"not-run","reason":"over-rate"}}"#;
    let record: InstanceRecord = serde_json::from_str(text).expect("record deserializes");
    let text = record.to_string();
    assert!(text.contains("not-run, reason 'over-rate'"), "{text}");
    assert!(
        text.contains("no route took it, no client account"),
        "{text}"
    );
    assert!(text.contains("no attempt was made"), "{text}");
}
