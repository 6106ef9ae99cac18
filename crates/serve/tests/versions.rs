//! A conversation stays on its version, and a withdrawn version gets nothing.

mod common;

use common::{Rig, Scripted, Step, answer, events, own_failure, route, stream_end, stream_head};
use route::RetrySafety;
use serve::{RolloutStage, RolloutView};

fn on_new(stage: RolloutStage, sessions: u32) -> usize {
    let old = Scripted::start(vec![answer("old")]);
    let new = Scripted::start(vec![answer("new")]);
    let rollout = RolloutView {
        target: "v2".into(),
        stage,
    };
    let endpoints = [(old.addr, "v1"), (new.addr, "v2")];
    let rig = Rig::with_versions(
        route(RetrySafety::NonIdempotent),
        &endpoints,
        Some(rollout),
        10.0,
    );
    for session in 0..sessions {
        let session = session.to_string();
        let bodies = [(); 2].map(|()| rig.send(&[("x-session", &session)]).body);
        assert_eq!(bodies[0], bodies[1], "conversation {session}");
    }
    new.arrivals() / 2
}

#[test]
fn shares_are_of_conversations() {
    assert_eq!(on_new(RolloutStage::Withdrawn, 20), 0);
    assert_eq!(on_new(RolloutStage::Done, 20), 20);
    assert_eq!(on_new(RolloutStage::Ramping(1.0), 20), 20);
    let half = on_new(RolloutStage::Ramping(0.5), 100);
    assert!((30..=70).contains(&half), "{half}");
    let few = on_new(RolloutStage::Trial(0.05), 100);
    assert!((1..=15).contains(&few), "{few}");
}

#[test]
fn a_withdrawn_version_gets_nothing_even_when_it_is_all_there_is() {
    let new = Scripted::start(vec![answer("new")]);
    let rollout = RolloutView {
        target: "v2".into(),
        stage: RolloutStage::Withdrawn,
    };
    let rig = Rig::with_versions(
        route(RetrySafety::NonIdempotent),
        &[(new.addr, "v2")],
        Some(rollout),
        10.0,
    );
    assert_eq!(rig.send(&[]).status, 503);
    assert_eq!(new.arrivals(), 0);
}

/// Own day bad-under-load: a version that fails only under load was spread so thin that it showed
/// nothing before it had everything.
#[test]
fn a_trial_loads_few_endpoints_as_they_will_be_loaded_in_the_end() {
    let old = Scripted::start(vec![answer("old")]);
    let new: Vec<Scripted> = (0..10)
        .map(|_| Scripted::start(vec![answer("new")]))
        .collect();
    let mut endpoints = vec![(old.addr, "v1")];
    endpoints.extend(new.iter().map(|endpoint| (endpoint.addr, "v2")));
    let rollout = RolloutView {
        target: "v2".into(),
        stage: RolloutStage::Trial(0.1),
    };
    let rig = Rig::with_versions(
        route(RetrySafety::NonIdempotent),
        &endpoints,
        Some(rollout),
        10.0,
    );
    for session in 0..200_u32 {
        rig.send(&[("x-session", &session.to_string())]);
    }
    let loaded: Vec<usize> = new
        .iter()
        .map(Scripted::arrivals)
        .filter(|count| *count > 0)
        .collect();
    assert_eq!(loaded.len(), 1, "{loaded:?}");
    assert!((5..=40).contains(&loaded[0]), "{loaded:?}");
}

/// Seats scale-2: one crash ended three calls on a good version's only loaded endpoint, and the
/// version was withdrawn.
#[test]
fn only_answers_are_evidence_on_a_version() {
    let cut = vec![
        Step::Write("HTTP/1.1 200 OK\r\nx-id: 1\r\nx-seal: s\r\nContent-Length: 9\r\n\r\n".into()),
        Step::Reset,
    ];
    let broken_stream = vec![stream_head(90), events(1..=2), Step::Reset];
    let slow = |pause_ms| {
        let mut script = vec![stream_head(90)];
        for id in 1..=6 {
            script.push(events(id..=id));
            script.push(Step::Sleep(pause_ms));
        }
        script.push(stream_end());
        script
    };
    let cases = [
        (
            "an answer",
            RetrySafety::NonIdempotent,
            vec![answer("new")],
            [1, 0, 0],
        ),
        (
            "its own failure",
            RetrySafety::NonIdempotent,
            vec![own_failure()],
            [0, 1, 0],
        ),
        (
            "a reset before the answer",
            RetrySafety::NonIdempotent,
            vec![vec![Step::Reset]],
            [0, 0, 0],
        ),
        (
            "a cut answer",
            RetrySafety::NonIdempotent,
            vec![cut],
            [0, 0, 0],
        ),
        (
            "a broken stream",
            RetrySafety::NonIdempotentStream,
            vec![broken_stream],
            [0, 0, 0],
        ),
        (
            "a slow stream",
            RetrySafety::NonIdempotentStream,
            vec![slow(4), slow(4), slow(40)],
            [3, 0, 1],
        ),
    ];
    for (name, retry_safety, scripts, expected) in cases {
        let calls = scripts.len();
        let endpoint = Scripted::start(scripts);
        let endpoints = [(endpoint.addr, "v2")];
        let rig = Rig::with_versions(route(retry_safety), &endpoints, None, 10.0);
        for _ in 0..calls {
            rig.send(&[]);
        }
        let evidence = rig
            .pipeline
            .version_counters()
            .evidence(&"app".into(), &"v2".into());
        let seen = evidence.total();
        assert_eq!([seen.answered, seen.failed, seen.slow], expected, "{name}");
    }
}
