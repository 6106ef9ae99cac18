//! Sessions and permissions under changes of the declarations.

mod common;

use common::Fleet;
use common::changes::{edit, spec, withdraw};
use kernel::Verdict;
use serde_json::json;
use store::Precondition;
use trial::{CallKind, CallOutcome, CallSpec, Deployment};

#[test]
fn a_revoked_permission_applies_to_open_sessions() {
    let fleet = Fleet::start(Deployment::Shrestha, 3, 1);
    let caller = fleet.caller(0);
    let (token, version) = smol::block_on(caller.open_session("bir-hospital", "visitor")).unwrap();
    let call = CallSpec {
        session: Some(token),
        ..spec(CallKind::Chat, "visitor")
    };
    let before = smol::block_on(caller.call(call.clone()));
    assert_eq!(
        (&before.outcome, &before.version),
        (&CallOutcome::Answered, &version)
    );
    let kept: Vec<&str> = ["visitor-s1", "visitor-s2", "visitor-l1"]
        .into_iter()
        .filter(|name| *name != version)
        .collect();
    let revision = edit(&fleet, "config/spec/workspace/bir-hospital", |value| {
        value["versions"] = json!(kept)
    });
    fleet.wait_revision(revision);
    let after = smol::block_on(caller.call(call));
    assert!(
        matches!(after.outcome, CallOutcome::Failed(Verdict::NotRun, _)),
        "{after:?}"
    );
}

#[test]
fn a_session_keeps_its_version_across_kills_key_rotation_and_roll_outs() {
    let mut fleet = Fleet::start(Deployment::Authority, 6, 1);
    let caller = fleet.caller(0);
    let (token, version) =
        smol::block_on(caller.open_session("yahrzeit-office", "seating")).unwrap();
    let call = CallSpec {
        workspace: "yahrzeit-office".into(),
        session: Some(token),
        ..spec(CallKind::Stream, "seating")
    };
    let rotate = |fleet: &Fleet| {
        edit(fleet, "config/system/keys", |value| {
            let newer = json!({ "id": "k2", "secret_hex": "0123456789abcdef" });
            value["keys"].as_array_mut().unwrap().insert(0, newer);
        })
    };
    for step in ["kill", "rotate", "advance roll-out", "add"] {
        match step {
            "kill" => fleet.entries.remove(0).kill(),
            "rotate" => fleet.wait_revision(rotate(&fleet)),
            "advance roll-out" => {
                let status =
                    json!({ "phase": "running", "step": 2, "reason": "test", "changed_ms": 0 });
                let put = fleet.backends.state.objects.put(
                    "config/status/rollout/seating-s2",
                    status,
                    Precondition::Any,
                );
                fleet.wait_revision(put.unwrap());
            }
            _ => fleet.add(),
        }
        for zone in 0..3 {
            let record = smol::block_on(fleet.caller(zone).call(call.clone()));
            assert_eq!(
                (&record.outcome, &record.version),
                (&CallOutcome::Answered, &version),
                "{step}: {record:?}"
            );
        }
    }
    fleet.wait_revision(withdraw(&fleet, &version));
    let record = smol::block_on(fleet.caller(1).call(call.clone()));
    assert!(
        matches!(record.outcome, CallOutcome::Failed(Verdict::NotRun, _)),
        "the session moved or ran: {record:?}"
    );
    let forged = CallSpec {
        session: call.session.map(|token| token.replace("rs1.", "rs1.x")),
        ..spec(CallKind::Chat, "seating")
    };
    let forged = CallSpec {
        workspace: "yahrzeit-office".into(),
        ..forged
    };
    let record = smol::block_on(fleet.caller(1).call(forged));
    assert!(
        matches!(record.outcome, CallOutcome::Failed(Verdict::NotRun, _)),
        "{record:?}"
    );
}
