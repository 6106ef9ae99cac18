//! Runs the `rosemaryctl` binary against a fake platform.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use fakes::FakeBackends;
use serde_json::{Value, json};
use store::Precondition;
use trial::{Deployment, TestCluster};

fn examples() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/shrestha")
}

fn start_backends() -> FakeBackends {
    TestCluster::start_backends(Deployment::Shrestha, 0).unwrap()
}

fn ctl(backends: &FakeBackends, args: &[&str]) -> Output {
    let platform = backends.platform_addr.to_string();
    Command::new(env!("CARGO_BIN_EXE_rosemaryctl"))
        .args(["--platform", &platform])
        .args(args)
        .output()
        .unwrap()
}

fn code(output: &Output) -> i32 {
    output.status.code().unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Copies the examples to a temporary directory so that a test can edit them.
fn copy_examples() -> PathBuf {
    let dir = std::env::temp_dir().join(format!(
        "rosemaryctl-{}-{:x}",
        std::process::id(),
        fastrand::u64(..)
    ));
    std::fs::create_dir(&dir).unwrap();
    for entry in std::fs::read_dir(examples()).unwrap().flatten() {
        std::fs::copy(entry.path(), dir.join(entry.file_name())).unwrap();
    }
    dir
}

fn replace(dir: &Path, file: &str, from: &str, to: &str) {
    let path = dir.join(file);
    let content = std::fs::read_to_string(&path).unwrap();
    assert!(content.contains(from), "{from}");
    std::fs::write(path, content.replacen(from, to, 1)).unwrap();
}

#[test]
fn apply_is_idempotent() {
    let backends = start_backends();
    let dir = examples();
    let dir = dir.to_str().unwrap();
    let first = ctl(&backends, &["apply", "-f", dir]);
    assert_eq!(code(&first), 0, "{}", text(&first.stderr));
    let before = backends.state.objects.list("config/");
    let again = ctl(&backends, &["apply", "-f", dir]);
    assert_eq!(
        (code(&again), text(&again.stdout).trim()),
        (0, "nothing to change")
    );
    assert_eq!(backends.state.objects.list("config/"), before);
    let diff = ctl(&backends, &["-o", "json", "diff", "-f", dir]);
    assert_eq!(
        serde_json::from_slice::<Value>(&diff.stdout).unwrap(),
        json!([])
    );
}

#[test]
fn invalid_declarations_name_the_field_and_change_nothing() {
    let backends = start_backends();
    let before = backends.state.objects.list("config/");
    let dir = copy_examples();
    replace(
        &dir,
        "workspaces.toml",
        "quota_per_s = 400.0",
        "quota_per_s = -4.0",
    );
    for command in ["validate", "diff", "apply"] {
        let output = ctl(&backends, &[command, "-f", dir.to_str().unwrap()]);
        let message = text(&output.stderr);
        assert_eq!(code(&output), 2, "{command}: {message}");
        assert!(
            message.contains("workspaces.toml: workspace/bir-hospital: field 'quota_per_s'"),
            "{message}"
        );
    }
    assert_eq!(backends.state.objects.list("config/"), before);
    std::fs::remove_dir_all(dir).unwrap();
}

#[test]
fn concurrent_change_by_another_operator_shows_both_sides() {
    let backends = start_backends();
    let dir = copy_examples();
    replace(
        &dir,
        "policies.toml",
        "sample_share = 0.2",
        "sample_share = 0.4",
    );
    let path = "config/spec/policy/target";
    // Slow platform calls leave time for another operator's write between the read and the write of
    // `apply`.
    backends
        .state
        .faults
        .change(|set| set.platform.slow_ms = 300);
    let child = std::thread::spawn({
        let platform = backends.platform_addr.to_string();
        let dir = dir.clone();
        move || {
            let args = [
                "--platform",
                &platform,
                "apply",
                "-f",
                dir.to_str().unwrap(),
            ];
            Command::new(env!("CARGO_BIN_EXE_rosemaryctl"))
                .args(args)
                .output()
                .unwrap()
        }
    });
    let start = std::time::Instant::now();
    let mut value = backends.state.objects.get(path).unwrap().value.unwrap();
    // Write repeatedly until `apply` has ended, so that one write falls between its read and write.
    let mut share = 0.5;
    while !child.is_finished() && start.elapsed().as_secs() < 20 {
        share += 0.0001;
        value["sample_share"] = json!(share);
        backends
            .state
            .objects
            .put(path, value.clone(), Precondition::Any)
            .unwrap();
        std::thread::sleep(std::time::Duration::from_millis(20));
    }
    let output = child.join().unwrap();
    let message = text(&output.stderr);
    assert_eq!(code(&output), 3, "{message}");
    assert!(
        message.contains("yours:")
            && message.contains("theirs:")
            && message.contains("sample_share"),
        "{message}"
    );
    std::fs::remove_dir_all(dir).unwrap();
}

#[test]
fn write_with_lost_response_is_not_a_conflict() {
    let backends = start_backends();
    let dir = copy_examples();
    replace(
        &dir,
        "policies.toml",
        "sample_share = 0.2",
        "sample_share = 0.4",
    );
    backends
        .state
        .faults
        .change(|set| set.platform.lose_answers = 1);
    let output = ctl(&backends, &["apply", "-f", dir.to_str().unwrap()]);
    assert_eq!(code(&output), 0, "{}", text(&output.stderr));
    let policy = backends
        .state
        .objects
        .get("config/spec/policy/target")
        .unwrap()
        .value
        .unwrap();
    assert_eq!(policy["sample_share"], 0.4);
    std::fs::remove_dir_all(dir).unwrap();
}

#[test]
fn withdrawn_version_cannot_be_reactivated() {
    let backends = start_backends();
    let dir = examples();
    assert_eq!(
        code(&ctl(&backends, &["apply", "-f", dir.to_str().unwrap()])),
        0
    );
    assert_eq!(
        code(&ctl(&backends, &["rollout", "withdraw", "visitor-s2"])),
        0
    );
    let again = ctl(&backends, &["withdraw", "visitor-s2"]);
    assert!(text(&again.stdout).contains("nothing to change"));
    let output = ctl(&backends, &["apply", "-f", dir.to_str().unwrap()]);
    assert_eq!(code(&output), 2);
    assert!(
        text(&output.stderr).contains("a withdrawn version stays withdrawn"),
        "{}",
        text(&output.stderr)
    );
}

#[test]
fn commands_report_their_result_and_exit_status() {
    let backends = start_backends();
    for (args, expected) in [
        (vec!["rollout", "pause", "visitor-s2"], "paused at revision"),
        (
            vec!["rollout", "resume", "visitor-s2"],
            "resumed at revision",
        ),
        (vec!["drain", "gate/gate-1"], "drains at revision"),
        (vec!["rotate-keys"], "rotated at revision"),
        (vec!["get", "version", "visitor-s1"], "proven of visitor"),
        (vec!["statements"], "WORKSPACE"),
    ] {
        let output = ctl(&backends, &args);
        assert_eq!(code(&output), 0, "{args:?}: {}", text(&output.stderr));
        assert!(
            text(&output.stdout).contains(expected),
            "{args:?}: {}",
            text(&output.stdout)
        );
    }
    let keys = backends
        .state
        .objects
        .get("config/system/keys")
        .unwrap()
        .value
        .unwrap();
    assert_eq!(keys["keys"].as_array().unwrap().len(), 2);
    for (args, expected) in [
        (vec!["drain", "gate/gate-9"], 1),
        (vec!["drain", "gate"], 2),
        (vec!["rollout", "stop", "visitor-s2"], 2),
        (vec!["get", "versions"], 2),
        (vec!["get", "version", "nothing"], 1),
    ] {
        assert_eq!(code(&ctl(&backends, &args)), expected, "{args:?}");
    }
}
