//! Replica merges with objects and listings that arrive reordered, duplicated or not at all.

use catalog::{Object, Replica, Snapshot};
use proptest::prelude::*;
use serde_json::json;

const PATHS: [&str; 4] = [
    "config/spec/version/a",
    "config/spec/version/b",
    "config/spec/model/m",
    "config/spec/policy/p",
];

/// Returns the objects written by a sequence of writes, with revisions counted from 1.
fn history(writes: &[(usize, u8)]) -> Vec<Object> {
    let mut objects = Vec::new();
    for (index, (path, kind)) in writes.iter().enumerate() {
        let state = ["proven", "unproven", "withdrawn"][usize::from(kind % 3)];
        let value = (*kind < 9).then(|| json!({ "name": "x", "state": state }));
        objects.push(Object {
            path: PATHS[path % 4].into(),
            revision: index as u64 + 1,
            value,
        });
    }
    objects
}

fn revisions(replica: &Replica) -> Vec<(String, u64)> {
    PATHS
        .iter()
        .filter_map(|path| replica.get(path))
        .map(|object| (object.path.to_string(), object.revision))
        .collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn reordered_and_duplicated_objects_converge_to_the_latest_revisions(
        writes in prop::collection::vec((0usize..4, 0u8..12), 1..30),
        order in prop::collection::vec(any::<prop::sample::Index>(), 0..60),
    ) {
        let history = history(&writes);
        let mut ordered = Replica::default();
        for object in &history {
            ordered.apply(object.clone());
        }
        let mut reordered = Replica::default();
        for index in &order {
            reordered.apply(history[index.index(history.len())].clone());
        }
        for object in history.iter().rev() {
            reordered.apply(object.clone());
        }
        prop_assert_eq!(revisions(&ordered), revisions(&reordered));
        prop_assert_eq!(ordered.digest(), reordered.digest());
    }

    #[test]
    fn revisions_never_decrease_and_withdrawal_is_permanent(
        writes in prop::collection::vec((0usize..4, 0u8..12), 1..30),
        steps in prop::collection::vec((any::<prop::sample::Index>(), any::<bool>()), 1..40),
    ) {
        let history = history(&writes);
        let mut replica = Replica::default();
        let mut withdrawn = Vec::new();
        for (index, listing) in steps {
            let before = revisions(&replica);
            let at = index.index(history.len());
            if listing {
                // A listing as of an earlier revision: outdated, but consistent.
                let mut listed = std::collections::BTreeMap::new();
                for object in &history[..=at] {
                    listed.insert(object.path.clone(), object.clone());
                }
                let live = listed.into_values().filter(|object| object.value.is_some()).collect();
                replica.apply_listing("config/", at as u64 + 1, live);
            } else {
                replica.apply(history[at].clone());
            }
            for (path, revision) in before {
                prop_assert!(replica.get(&path).unwrap().revision >= revision, "{path} is older");
            }
            for name in ["a", "b"] {
                let is_withdrawn = replica.is_withdrawn(name);
                prop_assert!(is_withdrawn || !withdrawn.contains(&name), "{name} is not withdrawn");
                if is_withdrawn && !withdrawn.contains(&name) {
                    withdrawn.push(name);
                }
            }
        }
    }
}

#[test]
fn a_withdrawn_version_stays_withdrawn_after_a_later_write_as_proven() {
    let mut replica = Replica::default();
    for (revision, state) in [(1, "withdrawn"), (2, "proven")] {
        let value = json!({
            "name": "a", "model": "m", "pool": "p", "state": state,
            "quality_prior": 0.9, "cost_prompt_micros": 1, "cost_completion_micros": 1,
        });
        replica.apply(Object {
            path: PATHS[0].into(),
            revision,
            value: Some(value),
        });
    }
    let snapshot = Snapshot::build(&replica, &Snapshot::default());
    assert_eq!(
        snapshot.versions["a"].state,
        catalog::VersionState::Withdrawn
    );
}
