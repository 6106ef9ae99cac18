//! Faulty declarations, driven by a data file, and any text at all.

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
fn each_fault_names_file_resource_field_and_what_was_expected() {
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
    fn any_text_is_read_or_refused(text in "(\\[\\[(model|pool|x)\\]\\]\n|[a-z_]{1,8} = (1|\"a\"|\\[\\]|\\{\\})\n|.{0,20}\n){0,8}") {
        match Declarations::parse("f.toml", &text) {
            Ok(declared) => drop(declared.validate()),
            Err(problems) => prop_assert!(!problems.is_empty()),
        }
    }
}
