//! Requests whose route has home regions.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use common::carrier::{RefusingAddr, home};
use common::{Harness, ScriptedEndpoint, Step, answer, error_response, events, route, stream_head};
use kernel::Incarnation;
use limits::ZoneEvacuation;
use member::Member;
use relay::Handler;
use route::{RetrySafety, Route, Table};
use serve::{RolloutStage, RolloutView, View};

fn change(harness: &Harness, change: impl FnOnce(&mut View)) {
    let mut view: View = (**harness.view.load()).clone();
    let regions = [("here", "near"), ("there", "far")];
    view.regions = Arc::new(
        regions
            .map(|(zone, region)| (zone.into(), region.into()))
            .into(),
    );
    change(&mut view);
    harness.view.store(view.into());
}

/// An instance with these endpoints, of which only the first is in the near region.
fn instance(retry_safety: RetrySafety, homes: &[&str], endpoints: &[SocketAddr]) -> Harness {
    let harness = Harness::new(route(retry_safety).homes(homes), endpoints, 10.0);
    change(&harness, |_| ());
    harness
}

fn assert_refused(harness: &Harness) {
    let request = common::request("/x/1", &[]);
    let response = async_io::block_on(harness.pipeline.handle(request));
    let field = |name| response.headers.get(name);
    assert_eq!(
        (response.status, field("x-verdict")),
        (503, Some("not-run"))
    );
    assert_ne!(field("x-retry-after-ms"), Some("0"));
}

/// Guards against attempts outside the homes: first sends, retries and resumed streams, also when no endpoint
/// in a home is listed, in reach or in a zone that is not evacuated and whose region is known.
#[test]
fn no_attempt_leaves_the_homes() {
    let cut = vec![stream_head(90), events(1..=2), Step::Reset];
    let near = ScriptedEndpoint::start(vec![error_response(), answer("near"), cut]);
    let far = ScriptedEndpoint::start(vec![answer("far")]);
    let (both, down) = ([near.addr, far.addr], RefusingAddr::new());
    let harness = instance(RetrySafety::Idempotent, &["near"], &both);
    assert_eq!(harness.send(&[]).body, "near");
    let streaming = instance(RetrySafety::ResumableStream, &["near"], &both);
    assert!(!streaming.send(&[]).is_complete);
    let sends = near.request_count();
    for homes in [&["elsewhere"][..], &[]] {
        let without = instance(RetrySafety::Idempotent, homes, &both);
        assert_refused(&without);
        let counters = without.pipeline.counters();
        assert_eq!(counters.without_home.load(Ordering::Relaxed), 1);
    }
    let down = instance(RetrySafety::Idempotent, &["near"], &[down.addr, far.addr]);
    (0..10).for_each(|_| assert_refused(&down));
    let evacuated = (Arc::from("here"), ZoneEvacuation::complete(5_000, 0));
    change(&harness, |view| {
        view.evacuations = Arc::new([evacuated].into())
    });
    assert_refused(&harness);
    change(&harness, |view| view.regions = Arc::default());
    assert_refused(&harness);
    assert_eq!((near.request_count(), far.request_count()), (sends, 0));
}

/// Guards against sessions without an endpoint of their version in the homes that leave the homes, or that get
/// a version which only other sessions try.
#[test]
fn a_rollout_moves_no_session_out_of_the_homes() {
    for (stage, near_version, is_served) in [
        (RolloutStage::Ramping(0.0), "v2", false),
        (RolloutStage::Withdrawn, "v2", false),
        (RolloutStage::Ramping(0.0), "v1", true),
        (RolloutStage::Done, "v1", true),
        (RolloutStage::Done, "v2", true),
    ] {
        let [near, far] = [(); 2].map(|()| ScriptedEndpoint::start(vec![answer("a"); 3]));
        let far_version = if near_version == "v1" { "v2" } else { "v1" };
        let endpoints = [(near.addr, near_version), (far.addr, far_version)];
        let rollout = RolloutView {
            target: "v2".into(),
            stage,
        };
        let route = route(RetrySafety::Idempotent).homes(&["near"]);
        let harness = Harness::with_versions(route, &endpoints, Some(rollout), 10.0);
        change(&harness, |_| ());
        let status = harness.send(&[]).status;
        let name = format!("{stage:?} {near_version}");
        assert_eq!(status == 200, is_served, "{name}");
        let sent = (near.request_count(), far.request_count());
        assert_eq!(sent, (usize::from(is_served), 0), "{name}");
    }
}

/// Guards against a request body that is handed over to an instance outside the homes.
#[test]
fn peers_outside_the_homes_carry_nothing() {
    let [near, far] = [(); 2].map(|()| ScriptedEndpoint::start(vec![answer("carried")]));
    let route = route(RetrySafety::Idempotent).homes(&["far"]);
    let harness = home(route, RefusingAddr::new().addr, &[near.addr, far.addr]);
    change(&harness, |_| ());
    harness.send(&[]);
    assert_eq!((near.request_count(), far.request_count()), (0, 1));
}

/// Guards against callers that are sent to a region which is neither a home nor theirs while there are others.
#[test]
fn the_directory_prefers_homes_and_the_region_of_the_caller() {
    let member = |name| Member::new(Incarnation::random(), name, name);
    let (all, c) = (["a", "b", "c"].map(member), ["c"].map(member));
    let regions = ["a", "b", "c"].map(|zone| (zone.into(), format!("r-{zone}").into()));
    let [in_a, in_b, in_both]: [&[&str]; 3] = [&["r-a"], &["r-b"], &["r-a", "r-b"]];
    for (homes, members, region, zone, expected) in [
        ([Some(in_a), Some(in_a)], &all[..], "", "a", "a"),
        ([Some(in_a), Some(in_a)], &all, "", "b", "ab"),
        ([Some(in_a), Some(in_a)], &all, "r-c", "b", "ac"),
        ([Some(in_a), Some(in_both)], &all, "", "", "a"),
        ([Some(in_a), Some(in_b)], &all, "", "c", "c"),
        ([Some(in_a), Some(in_b)], &all, "", "", "ab"),
        ([Some(in_a), Some(in_a)], &c, "", "", "c"),
        ([Some(in_a), None], &all, "", "a", "abc"),
    ] {
        let mut view = View::default();
        let mut table = Table::new(1);
        for homes in homes {
            let route = Route::new("r", "h", "/");
            table = table.with_route(homes.map_or(route.clone(), |homes| route.homes(homes)));
        }
        view.table = Some(Arc::new(table));
        view.regions = Arc::new(regions.clone().into());
        let chosen = view.members_for_host(members, "h", region, zone);
        let names: String = chosen.iter().map(|member| &*member.name).collect();
        assert_eq!(names, expected, "{homes:?} {region} {zone}");
    }
}
