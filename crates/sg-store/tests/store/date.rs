//! Tests of the text form of dates.

use quickcheck::quickcheck;
use sg_store::head::Date;

/// The cases include leap days, the last millisecond of a day and a year 2100 without a leap day.
#[test]
fn dates_are_formatted_in_utc() {
    let cases = [
        (0, "1970-01-01T00:00:00Z"),
        (951_782_400_000, "2000-02-29T00:00:00Z"),
        (1_709_164_799_999, "2024-02-28T23:59:59Z"),
        (1_796_330_454_000, "2026-12-03T20:40:54Z"),
        (4_107_542_400_000, "2100-03-01T00:00:00Z"),
    ];
    for (millis, text) in cases {
        assert_eq!(Date::from_unix_millis(millis).to_string(), text);
    }
}

quickcheck! {
    fn later_dates_sort_later(a: u32, b: u32) -> bool {
        let text = |secs| Date::from_unix_millis(u64::from(secs) * 1_000).to_string();
        a.cmp(&b) == text(a).cmp(&text(b))
    }
}
