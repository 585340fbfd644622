//! Tests that the text form of each type parses back to the same value, and that error messages say
//! how to write a valid value.

use quickcheck::quickcheck;
use sg_types::{outcome::Outcome, prelude::*};

quickcheck! {
    fn span_round_trips(nanos: u32) -> bool {
        let span = Span::from_nanos(u64::from(nanos));
        span.to_string().parse() == Ok(span)
    }

    fn rate_round_trips(micros: u32) -> bool {
        let rate = Rate::from_micros(u64::from(micros));
        rate.to_string().parse() == Ok(rate)
    }

    fn size_round_trips(bytes: u32) -> bool {
        let bytes = Bytes::new(u64::from(bytes));
        bytes.to_string().parse() == Ok(bytes)
    }

    fn bandwidth_round_trips(bits: u32) -> bool {
        let bandwidth = Bandwidth::from_bits(u64::from(bits));
        bandwidth.to_string().parse() == Ok(bandwidth)
    }

    fn percent_round_trips(ppm: u32) -> bool {
        let percent = Percent::from_ppm(ppm);
        percent.to_string().parse() == Ok(percent)
    }

    fn account_name_is_kept_or_rejected_with_a_remedy(text: String) -> bool {
        match id::Account::new(&text) {
            Ok(account) => account.as_str() == text,
            Err(error) => error.to_string().contains("use 1 to 64"),
        }
    }
}

#[test]
fn reasons_and_outcomes_round_trip() {
    for reason in Reason::ALL {
        assert_eq!(reason.as_str().parse(), Ok(*reason));
    }
    for outcome in [Outcome::Ran, Outcome::NotRun, Outcome::Unknown] {
        assert_eq!(outcome.as_str().parse(), Ok(outcome));
    }
}

#[test]
fn errors_show_the_expected_unit() {
    let error = "50".parse::<Rate>().unwrap_err();
    assert!(error.to_string().contains("50/s"), "{error}");
    assert!("101%".parse::<Percent>().is_err());
    assert!("280Mbit".parse::<Bandwidth>().is_err());
    assert!("".parse::<Span>().is_err());
}
