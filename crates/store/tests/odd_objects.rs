//! Listings in which one object of another writer cannot be decoded.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;

use serde_json::Value;
use store::{HttpPlatformClient, InstanceList, ObjectApi, RateLimits, RatingService};

const TIMEOUT_MS: u64 = 2_000;

/// Answers one call with a body.
fn serve(body: impl Into<Vec<u8>>) -> SocketAddr {
    let body = body.into();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = [0; 4_096];
        let _ = stream.read(&mut request).unwrap();
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        stream.write_all(head.as_bytes()).unwrap();
        stream.write_all(&body).unwrap();
    });
    addr
}

fn client(addr: SocketAddr) -> HttpPlatformClient {
    let limits = RateLimits {
        reads_per_s: 10.0,
        writes_per_s: 10.0,
    };
    HttpPlatformClient::new(addr, TIMEOUT_MS, limits)
}

#[test]
fn an_odd_object_does_not_hide_those_beside_it() {
    let nested = format!("{}1{}", "[".repeat(300), "]".repeat(300));
    for value in [&*nested, "1e400", &"9".repeat(400), r#""\ud800""#] {
        let objects = format!(
            r#"{{"path": "a", "revision": 3, "value": {{}}}},
               {{"path": "odd", "revision": 5, "value": {value}}},
               {{"path": "gone", "revision": 6, "value": null}}, 7"#
        );
        let body = format!(r#"{{"revision": 9, "objects": [{objects}]}}"#);
        let listing = smol::block_on(client(serve(body)).list("")).unwrap();
        let mut found = Vec::new();
        for object in &listing.objects {
            found.push((&*object.path, object.value.clone()));
        }
        let expected = [
            ("a", Some(serde_json::json!({}))),
            ("odd", Some(Value::Null)),
            ("gone", None),
        ];
        assert_eq!(found, expected, "{value:.20}");
    }
}

#[test]
fn an_object_that_is_not_utf_8_does_not_hide_those_beside_it() {
    let mut body = br#"{"revision": 9, "objects": [
        {"path": "a", "revision": 3, "value": {}},
        {"path": "odd", "revision": 5, "value": "?"}]}"#
        .to_vec();
    let position = body.iter().position(|byte| *byte == b'?').unwrap();
    body[position] = 0xff;
    let listing = smol::block_on(client(serve(body)).list("")).unwrap();
    let paths: Vec<&str> = listing.objects.iter().map(|object| &*object.path).collect();
    assert_eq!(paths, ["a", "odd"]);
}

#[test]
fn an_odd_instance_does_not_hide_those_beside_it() {
    let sound = |name| {
        format!(r#"{{"name": "{name}", "addr": "127.0.0.1:1", "zone": "z", "state": "live"}}"#)
    };
    for odd in ["7", "null", "{}", r#"{"name": "x", "state": "resting"}"#] {
        let body = format!("[{}, {odd}, {}]", sound("a"), sound("b"));
        let listed = smol::block_on(client(serve(body)).instances());
        let names: Result<Vec<_>, _> =
            listed.map(|listed| listed.into_iter().map(|instance| instance.name).collect());
        assert_eq!(names, Ok(vec!["a".into(), "b".into()]), "{odd}");
    }
}

#[test]
fn an_odd_rating_does_not_hide_those_beside_it() {
    let body =
        r#"[{"id": "a", "good": true}, {"id": "b", "good": "yes"}, {"id": "c", "good": false}]"#;
    let rated = smol::block_on(client(serve(body)).ratings(&[])).unwrap();
    let ids: Vec<&str> = rated.iter().map(|rating| &*rating.id).collect();
    assert_eq!(ids, ["a", "c"]);
}
