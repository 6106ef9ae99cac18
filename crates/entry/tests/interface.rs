//! The HTTP API: invalid input, keep-alive, pipelining and disconnected callers.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

use http_types::Method;
use kernel::Verdict;
use serde::Deserialize;
use serde_json::{Value, json};
use store::Precondition;
use trial::{Deployment, HttpClient, TestCluster};

const CASES: &str = include_str!("data/bad_input.toml");

#[derive(Debug, Deserialize)]
struct Cases {
    case: Vec<Case>,
    raw: Vec<Raw>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Case {
    name: String,
    #[serde(default = "default_key")]
    key: String,
    path: String,
    #[serde(default)]
    headers: BTreeMap<String, String>,
    #[serde(default)]
    body: String,
    #[serde(default)]
    body_bytes: usize,
    status: u16,
    reason: String,
    says: String,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Raw {
    name: String,
    bytes: String,
    #[serde(default)]
    flood_headers: usize,
    #[serde(default)]
    shut_write: bool,
    #[serde(default)]
    piece_bytes: usize,
    status: u16,
    #[serde(default)]
    closes: bool,
    #[serde(default)]
    answers: usize,
}

fn default_key() -> String {
    "key-bir-hospital".to_owned()
}

fn cases() -> Cases {
    toml::from_str(CASES).unwrap()
}

/// Starts one instance, with two more workspaces and a withdrawn version.
fn cluster() -> TestCluster {
    let mut cluster = TestCluster::start(Deployment::Shrestha, 0, 0).unwrap();
    let objects = &cluster.backends.state.objects;
    let mut workspace = objects
        .get("config/spec/workspace/hotel-1")
        .unwrap()
        .value
        .unwrap();
    let mut old = objects
        .get("config/spec/version/visitor-s1")
        .unwrap()
        .value
        .unwrap();
    old["name"] = "visitor-old".into();
    old["state"] = "withdrawn".into();
    objects
        .put("config/spec/version/visitor-old", old, Precondition::Absent)
        .unwrap();
    for (name, versions, services) in [
        ("narrow", json!(["visitor-s1"]), json!(["gate"])),
        ("barred", json!([]), json!([])),
    ] {
        workspace["name"] = name.into();
        workspace["versions"] = versions;
        workspace["services"] = services;
        workspace["key_sha256"] = catalog::key_hash(&format!("key-{name}")).into();
        objects
            .put(
                &format!("config/spec/workspace/{name}"),
                workspace.clone(),
                Precondition::Absent,
            )
            .unwrap();
    }
    let mut settings = cluster.settings(0);
    settings.max_body_bytes = 65_536;
    cluster
        .instances
        .push(entry::Instance::start(settings).unwrap());
    cluster.wait_ready().unwrap();
    cluster
}

#[test]
fn bad_input_is_refused_as_not_run() {
    let cluster = cluster();
    let http = HttpClient::default();
    for case in cases().case {
        let bearer = format!("Bearer {}", case.key);
        let mut headers: Vec<(&str, &str)> = case
            .headers
            .iter()
            .map(|(name, value)| (&**name, &**value))
            .collect();
        if !case.key.is_empty() {
            headers.push(("authorization", &bearer));
        }
        let body = if case.body_bytes > 0 {
            vec![b' '; case.body_bytes]
        } else {
            case.body.into_bytes()
        };
        let addr = cluster.instances[0].http_addr();
        let reply =
            smol::block_on(http.call(addr, Method::Post, &case.path, &headers, body)).unwrap();
        let value = reply.json();
        assert_eq!(reply.status, case.status, "{}: {value}", case.name);
        assert_eq!(
            value["error"]["type"], case.reason,
            "{}: {value}",
            case.name
        );
        assert_eq!(
            reply.verdict,
            Some(Verdict::NotRun),
            "{}: {value}",
            case.name
        );
        let message = value["error"]["message"].as_str().unwrap();
        assert!(message.contains(&case.says), "{}: {message}", case.name);
    }
    assert_eq!(cluster.runs().all(), vec![], "a refused request ran");
}

/// Sends raw bytes and reads until the connection closes, the expected answers arrive or a read
/// times out. Returns the text and whether the connection was closed.
fn exchange(cluster: &TestCluster, raw: &Raw) -> (String, bool) {
    let mut stream = TcpStream::connect(cluster.instances[0].http_addr()).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(2)))
        .unwrap();
    let mut bytes = raw.bytes.clone().into_bytes();
    for index in 0..raw.flood_headers {
        bytes.extend_from_slice(format!("x-flood-{index}: {}\r\n", "y".repeat(60)).as_bytes());
    }
    if raw.flood_headers > 0 {
        bytes.extend_from_slice(b"\r\n");
    }
    let piece = if raw.piece_bytes > 0 {
        raw.piece_bytes
    } else {
        bytes.len()
    };
    for chunk in bytes.chunks(piece) {
        // The server may close before it has read everything; only its answer is checked.
        if stream.write_all(chunk).is_err() {
            break;
        }
        if raw.piece_bytes > 0 {
            std::thread::sleep(Duration::from_millis(1));
        }
    }
    if raw.shut_write {
        stream.shutdown(Shutdown::Write).unwrap();
    }
    let mut text = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        match stream.read(&mut chunk) {
            Ok(0) => return (String::from_utf8_lossy(&text).into_owned(), true),
            Ok(count) => text.extend_from_slice(&chunk[..count]),
            Err(err) if err.kind() == std::io::ErrorKind::ConnectionReset => {
                return (String::from_utf8_lossy(&text).into_owned(), true);
            }
            Err(_) => return (String::from_utf8_lossy(&text).into_owned(), false),
        }
        let seen = String::from_utf8_lossy(&text).matches("HTTP/1.1 ").count();
        if raw.answers > 0 && seen >= raw.answers {
            return (String::from_utf8_lossy(&text).into_owned(), false);
        }
    }
}

#[test]
fn raw_requests_get_the_expected_status() {
    let cluster = cluster();
    for raw in cases().raw {
        let (text, closed) = exchange(&cluster, &raw);
        let status = format!("HTTP/1.1 {} ", raw.status);
        assert!(text.starts_with(&status), "{}: {text}", raw.name);
        assert_eq!(closed, raw.closes, "{}: {text}", raw.name);
        if raw.answers > 0 {
            assert_eq!(
                text.matches(&status).count(),
                raw.answers,
                "{}: {text}",
                raw.name
            );
        }
    }
}

#[test]
fn idempotency_keys_are_scoped_to_their_workspace() {
    let cluster = TestCluster::start(Deployment::Shrestha, 2, 0).unwrap();
    let addr = cluster.instances[0].http_addr();
    let http = HttpClient::default();
    let get = smol::block_on(http.call(
        addr,
        Method::Get,
        "/v1/addresses?zone=thamel",
        &[],
        Vec::new(),
    ));
    let prefix = get.unwrap().json()["addresses"][0]["id_prefix"]
        .as_str()
        .unwrap()
        .to_owned();
    let id = format!("{prefix}shared");
    let mut answers = Vec::new();
    for workspace in ["bir-hospital", "hotel-1", "bir-hospital"] {
        let bearer = format!("Bearer key-{workspace}");
        let headers = [
            ("authorization", bearer.as_str()),
            ("idempotency-key", id.as_str()),
        ];
        let body = json!({ "for": workspace });
        let body = body.to_string().into_bytes();
        let reply = smol::block_on(http.call(
            addr,
            Method::Post,
            "/v1/services/gate/clearance",
            &headers,
            body,
        ));
        answers.push(reply.unwrap().json());
    }
    assert_eq!(answers[0]["echo"], json!({ "for": "bir-hospital" }));
    assert_eq!(answers[1]["echo"], json!({ "for": "hotel-1" }));
    assert_eq!(
        answers[0], answers[2],
        "a repeated request got another answer"
    );
    assert_eq!(cluster.runs().all().len(), 2);
    let bearer = [
        ("authorization", "Bearer key-bir-hospital"),
        ("idempotency-key", id.as_str()),
    ];
    let other = smol::block_on(http.call(
        addr,
        Method::Post,
        "/v1/services/gate/clearance",
        &bearer,
        b"{}".to_vec(),
    ));
    let other = other.unwrap();
    assert_eq!(
        (other.status, other.verdict),
        (400, Some(Verdict::NotRun)),
        "{}",
        other.json()
    );
}

/// How long the engine is silent between tokens.
const TOKEN_MS: u64 = 6_000;

#[test]
fn a_disconnected_caller_cancels_the_stream_of_a_silent_engine() {
    let cluster = TestCluster::start(Deployment::Shrestha, 2, TOKEN_MS).unwrap();
    let addr = cluster.instances[0].http_addr();
    let body = json!({
        "model": "visitor-s1",
        "stream": true,
        "max_tokens": 50,
        "messages": [{ "role": "user", "content": "x" }],
    });
    let body = body.to_string();
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer key-bir-hospital\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut stream = TcpStream::connect(addr).unwrap();
    stream.write_all(head.as_bytes()).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_millis(TOKEN_MS * 3)))
        .unwrap();
    let mut chunk = [0; 256];
    let count = stream.read(&mut chunk).unwrap();
    assert!(count > 0);
    drop(stream);
    let disconnected = Instant::now();
    let receipts = cluster.wait_for_billing(1).receipts;
    // Writing the next token would be the first chance to notice the disconnect by a write error.
    assert!(
        disconnected.elapsed() < Duration::from_millis(TOKEN_MS),
        "the disconnect was noticed only by a failed write"
    );
    assert_eq!(receipts.len(), 1, "a cancelled request was not billed once");
    assert_eq!(json!(receipts[0].usage.outcome), json!("cancelled"));
    let runs = cluster.runs().all();
    assert_eq!(runs.len(), 1);
    assert!(!runs[0].finished, "the engine was not cancelled");
}

#[test]
fn models_health_and_status_respond() {
    let cluster = cluster();
    let http = HttpClient::default();
    let addr = cluster.instances[0].http_addr();
    let get = |path: &str, key: &str| -> Value {
        let bearer = format!("Bearer {key}");
        let headers = [("authorization", bearer.as_str())];
        smol::block_on(http.call(addr, Method::Get, path, &headers, Vec::new()))
            .unwrap()
            .json()
    };
    let expected = json!([{ "id": "visitor", "object": "model", "owned_by": "rosemarylift", "versions": ["visitor-s1"] }]);
    assert_eq!(get("/v1/models", "key-narrow")["data"], expected);
    assert_eq!(get("/v1/models", "key-barred")["data"], json!([]));
    assert_eq!(get("/healthz", ""), json!({ "running": true }));
    assert_eq!(get("/readyz", ""), json!({ "ready": true }));
    let status = get("/v1/status", "");
    assert_eq!(status["serving"], true);
    assert_eq!(status["rejected"], json!([]));
}

#[test]
fn a_changed_quota_is_in_force_with_its_revision() {
    let mut cluster = TestCluster::start(Deployment::Shrestha, 0, 0).unwrap();
    let mut settings = cluster.settings(0);
    // The change must be in force before the next probe, which is far away.
    settings.gossip_interval_ms = 4_000;
    cluster
        .instances
        .push(entry::Instance::start(settings).unwrap());
    cluster.wait_ready().unwrap();
    let http = HttpClient::default();
    let addr = cluster.instances[0].http_addr();
    let body =
        json!({ "model": "visitor", "messages": [{ "role": "user", "content": "x" }] }).to_string();
    let send_chat = || {
        let headers = [("authorization", "Bearer key-bir-hospital")];
        let body = body.clone().into_bytes();
        smol::block_on(http.call(addr, Method::Post, "/v1/chat/completions", &headers, body))
            .unwrap()
            .status
    };
    assert_eq!(send_chat(), 200);
    let path = "config/spec/workspace/bir-hospital";
    let objects = &cluster.backends.state.objects;
    let mut workspace = objects.get(path).unwrap().value.unwrap();
    for (quota, status) in [(0.0, 429), (50_000.0, 200), (0.0, 429)] {
        workspace["quota_per_s"] = json!(quota);
        let revision = objects
            .put(path, workspace.clone(), Precondition::Any)
            .unwrap();
        let in_force = || {
            let get = http.call(addr, Method::Get, "/v1/status", &[], Vec::new());
            smol::block_on(get).unwrap().json()["revision"].as_u64() >= Some(revision)
        };
        while !in_force() {
            std::thread::sleep(Duration::from_millis(5));
        }
        assert_eq!(send_chat(), status, "quota {quota}");
    }
}
