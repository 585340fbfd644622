//! Shows that what is remembered of a request reads as text.

use sg_report::why::Knowledge;

const SAMPLE: &str = r#"{"instance":"e1","record":{
    "request":"r-1","revision":7,"service":"desk","route":"book","account":"a",
    "attempts":[{"target":"t1","region":"north","started":"1.2ms","end":"shed"},
                {"target":"t2","region":"north","started":"5.2ms","end":"answered"}],
    "waited":"1.2ms","took":"12.3ms","outcome":"ran","reason":"answered"}}"#;

#[test]
fn a_record_reads_as_text() {
    let known: Knowledge = serde_json::from_str(SAMPLE).expect("reads");
    let text = known.to_string();
    for part in [
        "e1: request r-1: ran, reason 'answered', after 12.3 ms, under revision 7",
        "route 'book' of service 'desk', client account 'a'",
        "waited 1.2 ms",
        "attempt 2: from 5.2 ms on target 't2' in region 'north', ended 'answered'",
    ] {
        assert!(text.contains(part), "{part}: {text}");
    }
}

#[test]
fn a_request_without_an_attempt_says_so() {
    let text = r#"{"instance":"e1","record":{"request":"r-1","revision":7,"service":null,
        "route":null,"account":null,"attempts":[],"waited":"1ms","took":"1ms",
        "outcome":"not-run","reason":"over-rate"}}"#;
    let known: Knowledge = serde_json::from_str(text).expect("reads");
    let text = known.to_string();
    assert!(text.contains("not-run, reason 'over-rate'"), "{text}");
    assert!(
        text.contains("no route took it, no client account"),
        "{text}"
    );
    assert!(text.contains("no attempt was made"), "{text}");
}
