//! Evidence of revisions.

use sg_entry::evidence::Ring;
use sg_report::Counts;
use sg_types::prelude::*;

fn counts(ran: u64) -> Counts {
    let mut counts = Counts::default();
    counts.accounts.entry("a".into()).or_default().ran = ran;
    counts
}

#[test]
fn windows_end_where_the_next_revision_begins() {
    let name = id::Instance::new("e1").expect("a name");
    let ring = Ring::new(name, Incarnation::new(1));
    let at = |secs| Instant::START + Span::from_secs(secs);
    ring.adopt(Revision::new(1), counts(0), at(0));
    ring.adopt(Revision::new(2), counts(10), at(10));
    ring.adopt(Revision::new(3), counts(15), at(15));
    let explain = |revision| ring.explain(Revision::new(revision), &counts(40), at(30));
    let second = explain(2).expect("known");
    assert_eq!(second.before.expect("seen").counts.accounts["a"].ran, 10);
    assert_eq!(second.after.counts.accounts["a"].ran, 5);
    assert_eq!(second.after.span, Span::from_secs(5));
    let third = explain(3).expect("known");
    assert_eq!(third.after.counts.accounts["a"].ran, 25);
    assert!(explain(9).is_none());
    let expected = (Revision::new(3), Span::from_secs(15));
    assert_eq!(ring.in_force(at(30)), Some(expected));
}
