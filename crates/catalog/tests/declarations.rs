//! Errors of invalid declarations, listed in a data file, and parsing of arbitrary text.

use catalog::Declarations;
use proptest::prelude::*;
use serde::Deserialize;

const CASES: &str = include_str!("data/faults.toml");

#[derive(Debug, Deserialize)]
struct Cases {
    case: Vec<Case>,
}

#[derive(Debug, Deserialize)]
struct Case {
    name: String,
    text: String,
    expect: Vec<String>,
}

#[test]
fn each_error_names_file_resource_field_and_expected_value() {
    let cases: Cases = toml::from_str(CASES).unwrap();
    for case in cases.case {
        let problems = match Declarations::parse("f.toml", &case.text) {
            Ok(declared) => declared.validate(),
            Err(problems) => problems,
        };
        let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
        assert_eq!(lines, case.expect, "{}", case.name);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 5_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn arbitrary_text_is_parsed_or_rejected(text in "(\\[\\[(model|pool|x)\\]\\]\n|[a-z_]{1,8} = (1|\"a\"|\\[\\]|\\{\\})\n|.{0,20}\n){0,8}") {
        match Declarations::parse("f.toml", &text) {
            Ok(declared) => drop(declared.validate()),
            Err(problems) => prop_assert!(!problems.is_empty()),
        }
    }
}
