//! Requests whose route or workspace has home regions.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;

use common::carrier::{RefusingAddr, home};
use common::{Harness, ScriptedEndpoint, Step, answer, error_response, route};
use kernel::Incarnation;
use member::Member;
use relay::Handler;
use route::{RetrySafety, Route, Table, Target};
use serve::View;

const REGIONS: [(&str, &str); 2] = [("here", "near"), ("there", "far")];

/// Changes the view of an instance that knows the regions of both zones.
fn change(harness: &Harness, change: impl FnOnce(&mut View)) {
    let mut view: View = (**harness.view.load()).clone();
    view.regions = Arc::new(
        REGIONS
            .map(|(zone, region)| (zone.into(), region.into()))
            .into(),
    );
    change(&mut view);
    view.generation += 1;
    harness.view.store(view.into());
}

/// An instance in the near region with these endpoints, of which only the first is near.
fn instance(homes: &[&str], endpoints: &[SocketAddr]) -> Harness {
    let route = route(RetrySafety::Idempotent).homes(homes);
    let harness = Harness::new(route, endpoints, 10.0);
    change(&harness, |_| ());
    harness
}

/// Sends a request and returns whether it was refused as not run, with a retry-after.
fn is_refused(harness: &Harness) -> bool {
    let request = common::request("/x/1", &[]);
    let response = async_io::block_on(harness.pipeline.handle(request));
    let field = |name| response.headers.get(name);
    response.status == 503
        && field("x-verdict") == Some("not-run")
        && field("x-retry-after-ms") != Some("0")
}

/// Guards against first sends and retries outside the homes, also when no endpoint in a home is listed, in
/// reach or in a zone with a known region.
#[test]
fn no_attempt_leaves_the_homes() {
    let near = ScriptedEndpoint::start(vec![error_response(), answer("near")]);
    let far = ScriptedEndpoint::start(vec![answer("far")]);
    let harness = instance(&["near"], &[near.addr, far.addr]);
    assert_eq!(harness.send(&[]).body, "near");
    assert_eq!((near.request_count(), far.request_count()), (2, 0));

    let down = RefusingAddr::new();
    let cut = instance(&["near"], &[down.addr, far.addr]);
    for homes in [&["elsewhere"][..], &[]] {
        assert!(is_refused(&instance(homes, &[near.addr, far.addr])));
    }
    for _ in 0..10 {
        assert!(is_refused(&cut));
    }
    change(&harness, |view| view.regions = Arc::default());
    assert!(is_refused(&harness));
    assert_eq!((near.request_count(), far.request_count()), (2, 0));
}

/// Guards against a stream that is resumed outside the homes.
#[test]
fn a_stream_is_not_resumed_outside_the_homes() {
    let begun = vec![common::stream_head(90), common::events(1..=2), Step::Reset];
    let near = ScriptedEndpoint::start(vec![begun]);
    let far = ScriptedEndpoint::start(vec![answer("far")]);
    let route = route(RetrySafety::ResumableStream).homes(&["near"]);
    let harness = Harness::new(route, &[near.addr, far.addr], 10.0);
    change(&harness, |_| ());
    assert!(!harness.send(&[]).is_complete);
    assert_eq!(far.request_count(), 0);
}

/// Guards against a request body that is handed over to an instance outside the homes.
#[test]
fn peers_outside_the_homes_carry_nothing() {
    let unreached = RefusingAddr::new();
    let near = ScriptedEndpoint::start(vec![answer("near")]);
    let far = ScriptedEndpoint::start(vec![answer("far")]);
    let route = route(RetrySafety::Idempotent).homes(&["far"]);
    let harness = home(route, unreached.addr, &[near.addr, far.addr]);
    change(&harness, |_| ());
    harness.send(&[]);
    assert_eq!(near.request_count(), 0);
    assert!(far.request_count() > 0, "a peer in a home is asked");
}

/// Guards against callers that are sent to a region which is neither a home nor theirs while there are others.
#[test]
fn the_directory_prefers_homes_and_the_region_of_the_caller() {
    let member = |(name, zone): (&str, &str)| Member::new(Incarnation::random(), name, zone);
    let all = [("a1", "a"), ("b1", "b"), ("c1", "c")].map(member);
    let regions = ["a", "b", "c"].map(|zone| (Arc::from(zone), format!("r-{zone}").into()));
    let names = |homes: [Option<&[&str]>; 2], members: &[Member], region: &str, zone: &str| {
        let mut table = Table::new(1);
        for (prefix, homes) in ["/1/", "/2/"].into_iter().zip(homes) {
            let route = Route::new(prefix, "h", prefix).with_target(Target::new("app", 1));
            table = table.with_route(match homes {
                Some(homes) => route.homes(homes),
                None => route,
            });
        }
        let view = View {
            table: Some(Arc::new(table)),
            regions: Arc::new(regions.clone().into()),
            ..View::default()
        };
        let chosen = view.members_for_host(members, "h", region, zone);
        let chosen: Vec<&str> = chosen.iter().map(|member| &*member.name).collect();
        chosen.join(" ")
    };
    let (in_a, in_b) = (Some(&["r-a"][..]), Some(&["r-b"][..]));
    let in_both = Some(&["r-a", "r-b"][..]);
    assert_eq!(names([in_a, in_a], &all, "", "a"), "a1");
    assert_eq!(names([in_a, in_a], &all, "", "b"), "a1 b1");
    assert_eq!(names([in_a, in_a], &all, "r-c", "b"), "a1 c1");
    assert_eq!(names([in_a, in_both], &all, "", ""), "a1");
    assert_eq!(names([in_a, in_b], &all, "", "c"), "c1");
    assert_eq!(names([in_a, in_b], &all, "", ""), "a1 b1");
    assert_eq!(names([in_a, in_a], &all[2..], "", ""), "c1");
    assert_eq!(names([in_a, None], &all, "", "a"), "a1 b1 c1");
}
