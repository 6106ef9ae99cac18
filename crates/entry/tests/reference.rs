//! Compares the reference pages with the code, and checks the errors and layers of settings.

use entry::{Layer, METRICS, Settings};
use expect_test::{expect, expect_file};

#[test]
fn the_settings_page_matches_the_code() {
    let mut page = "# Settings of rosemary-entry\n\nSettings come from TOML files, later ones over earlier ones, \
                    then from flags. `--check` checks them, `--print-effective` prints those in force.\n\n\
                    | key | default | unit | meaning |\n|---|---|---|---|\n"
        .to_owned();
    for row in Settings::reference() {
        page += &format!(
            "| `{}` | `{}` | {} | {} |\n",
            row.key, row.default, row.unit, row.description
        );
    }
    expect_file!["../../../docs/SETTINGS.md"].assert_eq(&page);
}

#[test]
fn the_metrics_page_matches_the_code() {
    let mut page = "# Metrics of rosemary-entry\n\nSent as statsd over UDP to `metrics_addr`, below the prefix \
                    `rosemary.`. No name is one that callers choose.\n\n| name | unit | meaning |\n|---|---|---|\n"
        .to_owned();
    for metric in METRICS {
        page += &format!(
            "| `{}` | {} | {} |\n",
            metric.name, metric.unit, metric.description
        );
    }
    expect_file!["../../../docs/METRICS.md"].assert_eq(&page);
}

fn parse_error(text: &str) -> String {
    Layer::parse("entry.toml", text).unwrap_err().to_string()
}

#[test]
fn invalid_settings_are_reported_with_file_line_and_key() {
    expect!["entry.toml:2: unknown key 'zonne', did you mean 'zone'?"]
        .assert_eq(&parse_error("name = \"a\"\nzonne = \"b\""));
    expect![[r#"entry.toml:1: invalid type: string "x", expected u64"#]]
        .assert_eq(&parse_error("list_interval_ms = \"x\""));
    expect!["entry.toml:1: invalid socket address syntax"]
        .assert_eq(&parse_error("listen = \"nowhere\""));
    assert!(parse_error("name = ").starts_with("entry.toml:1: "));
    let settings = Settings {
        traffic_threads: 0,
        log_format: "xml".to_owned(),
        ..Settings::default()
    };
    expect![[r#"
        [
            "traffic_threads: expected 1 to 64",
            "log_format: expected 'text' or 'json'",
        ]
    "#]]
    .assert_debug_eq(&settings.check().unwrap_err());
}

#[test]
fn later_layers_override_earlier_ones() {
    let first = Layer::parse("a", "name = \"a\"\nzone = \"z\"").unwrap();
    let second = Layer::parse("b", "name = \"b\"").unwrap();
    let settings = Settings::default().overlay(first).overlay(second);
    assert_eq!((settings.name.as_str(), settings.zone.as_str()), ("b", "z"));
}
