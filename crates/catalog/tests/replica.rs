//! Replica merges with objects and listings that arrive reordered, duplicated or not at all.

use catalog::{Object, Position, Replica, Snapshot};
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

fn position(era: u64, revision: u64) -> Position {
    Position { era, revision }
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
            ordered.apply(0, object.clone());
        }
        let mut reordered = Replica::default();
        for index in &order {
            reordered.apply(0, history[index.index(history.len())].clone());
        }
        for object in history.iter().rev() {
            reordered.apply(0, object.clone());
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
                replica.apply_listing("config/", position(0, at as u64 + 1), live);
            } else {
                replica.apply(0, history[at].clone());
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
        replica.apply(
            0,
            Object {
                path: PATHS[0].into(),
                revision,
                value: Some(value),
            },
        );
    }
    let snapshot = Snapshot::build(&replica, &Snapshot::default());
    assert_eq!(
        snapshot.versions["a"].state,
        catalog::VersionState::Withdrawn
    );
}

fn object(path: &str, revision: u64) -> Object {
    Object {
        path: path.into(),
        revision,
        value: Some(json!({ "revision": revision })),
    }
}

/// Issue 59, CONFIG: objects of before a store's older copy, with higher revisions than those given out
/// since, shut out all later changes.
#[test]
fn an_era_replaces_the_objects_of_all_earlier_ones() {
    let mut replica = Replica::default();
    replica.apply_listing("config/", position(1, 30), vec![object("config/main", 30)]);
    replica.apply(1, object("servers/a", 31));
    let listing = vec![object("config/main", 20)];
    assert!(replica.apply_listing("config/", position(2, 20), listing));
    assert_eq!(replica.digest_of("config").max_revision, 20);
    // News, listings and objects of the earlier era come late.
    assert!(!replica.apply(1, object("config/main", 31)));
    let late = vec![object("config/main", 32)];
    assert!(!replica.apply_listing("config/", position(1, 32), late));
    assert!(replica.apply(2, object("config/main", 21)));
    assert_eq!(replica.get("config/main").unwrap().revision, 21);
    assert_eq!(
        (replica.era_of("config"), replica.era_of("servers")),
        (2, 0)
    );
}

/// Guards against objects of a later era among those of an earlier one, whose revisions may be higher.
#[test]
fn a_later_era_begins_with_a_listing() {
    let mut replica = Replica::default();
    replica.apply_listing("config/", position(1, 30), vec![object("config/main", 30)]);
    assert!(!replica.apply(2, object("config/main", 40)));
    let listing = vec![object("config/main", 40)];
    assert!(replica.apply_listing("config/", position(2, 40), listing));
}
