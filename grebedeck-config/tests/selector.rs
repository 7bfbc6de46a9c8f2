//! Syntax and matching of selectors.

use grebedeck_config::{Labels, Selector};
use proptest::prelude::*;

fn labels(pairs: &[(&str, &str)]) -> Labels {
    pairs.iter().map(|(k, v)| (k.to_string(), v.to_string())).collect()
}

#[test]
fn requirements_match_labels() {
    let gold = labels(&[("tier", "gold"), ("hall", "a")]);

    for (text, expected) in [
        ("", true),
        ("tier in (gold, silver), hall=a, !canary", true),
        ("tier notin (gold)", false),
        ("other notin (x)", true),
        ("tier==gold", true),
        ("tier!=gold", false),
        ("other!=gold", true),
        ("hall", true),
        ("!hall", false),
        ("hall=b", false),
    ] {
        let selector = Selector::parse(text).unwrap();
        assert_eq!(selector.matches(&gold), expected, "{text}");
    }
}

#[test]
fn invalid_selectors_report_the_reason() {
    for (text, expected) in [
        ("tier in (gold", "not closed"),
        ("tier) x", "without"),
        ("tier like (a)", "expected `in` or `notin`"),
        ("a, , b", "not a label's key"),
        ("a=b c", "not a label's value"),
        ("tier in (a) b", "after `)`"),
    ] {
        let error = Selector::parse(text).unwrap_err();
        assert!(error.contains(expected), "{text}: {error}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(3), ..ProptestConfig::default() })]

    #[test]
    fn parser_never_panics(text in "[a-c!=,() in]{0,40}") {
        if let Ok(selector) = Selector::parse(&text) {
            let parsed_again = Selector::parse(&text).unwrap();
            prop_assert_eq!(selector, parsed_again);
        }
    }
}
