//! Lookup of routes, targets and API keys.

use std::sync::Arc;

use route::{KeyError, Route, Table, Target, Workspace, common_homes};

fn workspace() -> Workspace {
    Workspace {
        name: "hospital".into(),
        priority: Some(1),
        homes: None,
    }
}

fn table() -> Table {
    Table::new(3)
        .with_route(
            Route::new("wide", "kiosk.example", "/badge/").with_target(Target::new("app", 1)),
        )
        .with_route(
            Route::new("narrow", "kiosk.example", "/badge/print/")
                .with_target(Target::new("app", 1)),
        )
        .with_route(Route::new("open", "open.example", "/").public(true))
        .with_workspace(workspace(), &[Arc::from("key-1")])
}

#[test]
fn the_longest_matching_prefix_of_the_host_wins() {
    let cases = [
        ("kiosk.example", "/badge/print/7", Some("narrow")),
        ("kiosk.example", "/badge/7", Some("wide")),
        ("kiosk.example", "/badge", None),
        ("kiosk.example", "/badges/7", None),
        ("other.example", "/badge/7", None),
    ];
    let table = table();
    for (host, path, expected) in cases {
        let found = table.find(host, path).map(|route| &*route.name);
        assert_eq!(found, expected, "{host}{path}");
    }
}

#[test]
fn keys_are_required_unless_the_route_is_public() {
    let table = table();
    let closed = table.find("kiosk.example", "/badge/1").unwrap();
    let open = table.find("open.example", "/x").unwrap();
    let name = |found: Option<&Arc<Workspace>>| found.map(|workspace| workspace.name.to_string());
    assert_eq!(
        table.workspace(closed, Some("key-1")).map(name),
        Ok(Some("hospital".to_owned()))
    );
    assert_eq!(table.workspace(closed, None), Err(KeyError::Missing));
    assert_eq!(table.workspace(closed, Some("old")), Err(KeyError::Unknown));
    assert_eq!(table.workspace(open, None), Ok(None));
}

#[test]
fn targets_are_chosen_by_weight() {
    let route = Route::new("split", "h", "/")
        .with_target(Target::new("a", 90))
        .with_target(Target::new("b", 10));
    let chosen = |uniform| route.choose_target(uniform).map(|target| &*target.service);
    assert_eq!(chosen(0.0), Some("a"));
    assert_eq!(chosen(0.899), Some("a"));
    assert_eq!(chosen(0.9), Some("b"));
    assert_eq!(chosen(0.999), Some("b"));
}

/// A large deployment adds thousands of routes to one host.
#[test]
fn the_longest_prefix_wins_in_whatever_order_routes_are_added() {
    let prefixes = ["/", "/a/b/c/", "/a/", "/a/b/", "/a/x/", "/aa/"];
    let mut random = fastrand::Rng::with_seed(7);
    for _ in 0..50 {
        let mut order = prefixes;
        random.shuffle(&mut order);
        let mut table = Table::new(1);
        for prefix in order {
            table = table.with_route(Route::new(prefix, "h", prefix));
        }
        for (path, expected) in [("/a/b/c/1", "/a/b/c/"), ("/a/b/1", "/a/b/"), ("/aab", "/")] {
            let found = table.find("h", path).map(|route| &*route.name);
            assert_eq!(found, Some(expected), "{order:?}");
        }
    }
}

/// Guards against a request that runs where only one of its route and its workspace permits it.
#[test]
fn the_homes_of_route_and_workspace_both_apply() {
    let list = |homes: &[&str]| Some(homes.iter().map(|home| Arc::from(*home)).collect());
    for (of_route, of_workspace, expected) in [
        (None, None, None),
        (list(&["a", "b"]), None, list(&["a", "b"])),
        (None, list(&["c"]), list(&["c"])),
        (list(&["a", "b"]), list(&["c", "b"]), list(&["b"])),
        (list(&["a"]), list(&["c"]), list(&[])),
    ] {
        let (mut route, mut workspace) = (Route::new("r", "h", "/"), workspace());
        (route.homes, workspace.homes) = (of_route, of_workspace);
        assert_eq!(common_homes(&route, Some(&workspace)), expected);
    }
}
