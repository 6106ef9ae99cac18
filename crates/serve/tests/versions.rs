//! A conversation stays on its version, and a withdrawn version gets nothing.

mod common;

use common::{Rig, Scripted, answer, route};
use route::Repeat;
use serve::{Shift, Stage};

fn on_new(stage: Stage, sessions: u32) -> usize {
    let old = Scripted::start(vec![answer("old")]);
    let new = Scripted::start(vec![answer("new")]);
    let shift = Shift {
        target: "v2".into(),
        stage,
    };
    let endpoints = [(old.addr, "v1"), (new.addr, "v2")];
    let rig = Rig::with_versions(route(Repeat::Once), &endpoints, Some(shift), 10.0);
    for session in 0..sessions {
        let session = session.to_string();
        let bodies = [(); 2].map(|()| rig.send(&[("x-session", &session)]).body);
        assert_eq!(bodies[0], bodies[1], "conversation {session}");
    }
    new.arrivals() / 2
}

#[test]
fn shares_are_of_conversations() {
    assert_eq!(on_new(Stage::Withdrawn, 20), 0);
    assert_eq!(on_new(Stage::Done, 20), 20);
    assert_eq!(on_new(Stage::Moving(1.0), 20), 20);
    let half = on_new(Stage::Moving(0.5), 100);
    assert!((30..=70).contains(&half), "{half}");
    let few = on_new(Stage::Trial(0.05), 100);
    assert!((1..=15).contains(&few), "{few}");
}

#[test]
fn a_withdrawn_version_gets_nothing_even_when_it_is_all_there_is() {
    let new = Scripted::start(vec![answer("new")]);
    let shift = Shift {
        target: "v2".into(),
        stage: Stage::Withdrawn,
    };
    let rig = Rig::with_versions(route(Repeat::Once), &[(new.addr, "v2")], Some(shift), 10.0);
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
    let shift = Shift {
        target: "v2".into(),
        stage: Stage::Trial(0.1),
    };
    let rig = Rig::with_versions(route(Repeat::Once), &endpoints, Some(shift), 10.0);
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
