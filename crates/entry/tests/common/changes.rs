//! Changes of declarations, and single calls to check their effect.

use std::net::SocketAddr;

use http_types::Method;
use kernel::{Priority, Verdict};
use serde_json::{Value, json};
use store::Precondition;
use trial::{CallKind, CallSpec};

use super::Fleet;

pub fn spec(kind: CallKind, target: &str) -> CallSpec {
    CallSpec {
        kind,
        workspace: "bir-hospital".into(),
        target: target.to_owned(),
        priority: Priority::Normal,
        class: "default",
        keyed: false,
        session: None,
    }
}

pub fn edit(fleet: &Fleet, path: &str, change: impl FnOnce(&mut Value)) -> u64 {
    let object = fleet.backends.state.objects.get(path).unwrap();
    let mut value = object.value.unwrap();
    change(&mut value);
    fleet
        .backends
        .state
        .objects
        .put(path, value, Precondition::Revision(object.revision))
        .unwrap()
}

pub fn withdraw(fleet: &Fleet, version: &str) -> u64 {
    edit(fleet, &format!("config/spec/version/{version}"), |value| {
        value["state"] = "withdrawn".into()
    })
}

pub fn last_run_ms(fleet: &Fleet, target: &str) -> u64 {
    let runs = fleet.backends.state.runs.all();
    runs.iter()
        .filter(|run| run.target == target)
        .map(|run| run.started_ms)
        .max()
        .unwrap_or(0)
}

/// Sends one chat request to an instance and returns the status and the verdict.
pub fn send_chat(addr: SocketAddr) -> (u16, Option<Verdict>) {
    let body = json!({ "model": "visitor", "messages": [{ "role": "user", "content": "x" }] });
    let headers = [("authorization", "Bearer key-bir-hospital")];
    let http = trial::HttpClient::default();
    let body = body.to_string().into_bytes();
    let call = http.call(addr, Method::Post, "/v1/chat/completions", &headers, body);
    let reply = smol::block_on(call).unwrap();
    (reply.status, reply.verdict)
}
