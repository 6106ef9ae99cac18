//! The forward-only merge, over random orders, repeats and losses.

use catalog::{Object, Replica, Snapshot};
use proptest::prelude::*;
use serde_json::json;

const PATHS: [&str; 4] = [
    "config/spec/version/a",
    "config/spec/version/b",
    "config/spec/model/m",
    "config/spec/policy/p",
];

/// Makes the store's history: each write has the next revision.
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

fn state(replica: &Replica) -> Vec<(String, u64)> {
    PATHS
        .iter()
        .filter_map(|path| replica.get(path))
        .map(|object| (object.path.to_string(), object.revision))
        .collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn any_order_with_repeats_ends_in_the_latest(
        writes in prop::collection::vec((0usize..4, 0u8..12), 1..30),
        order in prop::collection::vec(any::<prop::sample::Index>(), 0..60),
    ) {
        let history = history(&writes);
        let mut straight = Replica::default();
        for object in &history {
            straight.apply(object.clone());
        }
        let mut mixed = Replica::default();
        for index in &order {
            mixed.apply(history[index.index(history.len())].clone());
        }
        for object in history.iter().rev() {
            mixed.apply(object.clone());
        }
        prop_assert_eq!(state(&straight), state(&mixed));
        prop_assert_eq!(straight.digest(), mixed.digest());
    }

    #[test]
    fn no_path_ever_goes_back_and_withdrawal_stays(
        writes in prop::collection::vec((0usize..4, 0u8..12), 1..30),
        steps in prop::collection::vec((any::<prop::sample::Index>(), any::<bool>()), 1..40),
    ) {
        let history = history(&writes);
        let mut replica = Replica::default();
        let mut gone = Vec::new();
        for (index, listing) in steps {
            let before = state(&replica);
            let at = index.index(history.len());
            if listing {
                // A listing as of an earlier revision: stale, but consistent.
                let mut then = std::collections::BTreeMap::new();
                for object in &history[..=at] {
                    then.insert(object.path.clone(), object.clone());
                }
                let live = then.into_values().filter(|object| object.value.is_some()).collect();
                replica.apply_listing("config/", at as u64 + 1, live);
            } else {
                replica.apply(history[at].clone());
            }
            for (path, revision) in before {
                prop_assert!(replica.get(&path).unwrap().revision >= revision, "{path} went back");
            }
            for name in ["a", "b"] {
                let withdrawn = replica.is_withdrawn(name);
                prop_assert!(withdrawn || !gone.contains(&name), "{name} came back");
                if withdrawn && !gone.contains(&name) {
                    gone.push(name);
                }
            }
        }
    }
}

#[test]
fn a_withdrawn_version_stays_so_when_a_later_write_says_otherwise() {
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
