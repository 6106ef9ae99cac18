//! Requests while zones are evacuated.

mod common;

use common::{Harness, Received, ScriptedEndpoint, answer, route};
use route::RetrySafety;
use serve::View;

fn is_refused_as_not_run(received: &Received) -> bool {
    received.status == 503 && received.verdict.as_deref() == Some("not-run")
}

/// Guards against requests and retries to an evacuated zone, also if it is the only one left, and against
/// requests that are held until their deadline then.
#[test]
fn neither_requests_nor_retries_reach_an_evacuated_zone() {
    let near = ScriptedEndpoint::start(vec![answer("near")]);
    let far = ScriptedEndpoint::start(vec![answer("far")]);
    let harness = Harness::new(route(RetrySafety::Idempotent), &[near.addr, far.addr], 10.0);
    harness.evacuate(&["here"]);
    for _ in 0..20 {
        assert_eq!(harness.send(&[]).status, 200);
    }
    assert_eq!((near.request_count(), far.request_count()), (0, 20));
    harness.evacuate(&["here", "there"]);
    assert!(is_refused_as_not_run(&harness.send(&[])));
    assert_eq!((near.request_count(), far.request_count()), (0, 20));
    harness.evacuate(&[]);
    assert_eq!(harness.send(&[]).status, 200);
}

/// Guards against requests that an instance serves before it knows which zones are evacuated.
#[test]
fn requests_are_refused_until_evacuations_are_known() {
    let endpoint = ScriptedEndpoint::start(vec![answer("a")]);
    let harness = Harness::new(route(RetrySafety::Idempotent), &[endpoint.addr], 10.0);
    let mut view: View = (**harness.view.load()).clone();
    view.awaits_evacuations = true;
    harness.view.store(view.into());
    assert!(is_refused_as_not_run(&harness.send(&[])));
    assert_eq!(endpoint.request_count(), 0);
}
