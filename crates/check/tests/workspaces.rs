//! Tests of workspaces.

use check::{Config, Workspace};

/// Guards against API keys in logs and panics that print a configuration.
#[test]
fn debug_output_contains_no_key() {
    let workspace = Workspace {
        name: "t".to_owned(),
        keys: vec!["sk-live".to_owned()],
        ..Workspace::default()
    };
    let config = Config {
        workspaces: vec![workspace],
        ..Config::default()
    };
    let text = format!("{config:?}");
    assert!(text.contains("key_count: 1"), "{text}");
    assert!(!text.contains("sk-live"), "{text}");
}
