//! Endpoints that refuse, break off, repeat or mix up their answers, or never answer.

use std::net::SocketAddr;

use fakes::{EndpointFault, EndpointFaults};
use http_types::Method;
use kernel::Verdict;
use serde::Deserialize;
use serde_json::json;
use trial::{BillingRecords, Deployment, HttpClient, HttpResponse, TestCluster};

const CASES: &str = include_str!("data/endpoint_faults.toml");

#[derive(Debug, Deserialize)]
struct Cases {
    case: Vec<Case>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Case {
    fault: EndpointFault,
    kind: String,
    #[serde(default)]
    everywhere: bool,
    #[serde(default)]
    deadline_ms: u64,
    ending: String,
    runs: usize,
}

fn pool(kind: &str) -> (&'static str, usize) {
    if kind == "service" {
        ("gate", 3)
    } else {
        ("runners-small", 6)
    }
}

/// Returns an instance's address and a new request id with the prefix that it issued.
fn new_request_id(cluster: &TestCluster) -> (SocketAddr, String) {
    let addr = cluster.instances[0].http_addr();
    let path = "/v1/addresses?zone=thamel";
    let get = smol::block_on(HttpClient::default().call(addr, Method::Get, path, &[], Vec::new()));
    let row = &get.unwrap().json()["addresses"][0];
    let id = format!(
        "{}{:x}",
        row["id_prefix"].as_str().unwrap(),
        fastrand::u64(..)
    );
    (row["address"].as_str().unwrap().parse().unwrap(), id)
}

/// Sends one request without retries by the caller; only the router retries.
fn send(addr: SocketAddr, id: &str, kind: &str, deadline_ms: u64) -> HttpResponse {
    let deadline = deadline_ms.to_string();
    let mut headers = vec![
        ("authorization", "Bearer key-bir-hospital"),
        ("idempotency-key", id),
    ];
    if deadline_ms > 0 {
        headers.push(("x-rosemary-deadline-ms", &deadline));
    }
    let chat = json!({
        "model": "visitor-s1",
        "stream": kind == "stream",
        "messages": [{ "role": "user", "content": id }],
    });
    let (path, body) = match kind {
        "service" => ("/v1/services/gate/clearance", json!({})),
        _ => ("/v1/chat/completions", chat),
    };
    let body = body.to_string().into_bytes();
    smol::block_on(HttpClient::default().call(addr, Method::Post, path, &headers, body)).unwrap()
}

fn outcome(reply: &HttpResponse) -> String {
    let text = String::from_utf8_lossy(&reply.body);
    match (reply.status, reply.verdict) {
        (200, _) if text.contains("\"verdict\":\"may-have-run\"") && !text.contains("[DONE]") => {
            "cut".to_owned()
        }
        (200, _) => "answered".to_owned(),
        (_, Some(verdict)) => verdict.as_str().to_owned(),
        (_, None) => "no verdict".to_owned(),
    }
}

#[test]
fn each_endpoint_fault_ends_as_expected() {
    let cases: Cases = toml::from_str(CASES).unwrap();
    for case in cases.case {
        let cluster = TestCluster::start(Deployment::Shrestha, 2, 0).unwrap();
        let (pool, count) = pool(&case.kind);
        // Unless the case is `everywhere`, one endpoint fails once. All are armed until the first
        // failure, so that the call reaches an armed one.
        cluster.backends.state.faults.change(|set| {
            for index in 1..=count {
                let faults = EndpointFaults {
                    fault: case.fault,
                    calls: 0,
                    slow_ms: 0,
                };
                set.endpoints.insert(format!("{pool}-{index}"), faults);
            }
        });
        if !case.everywhere {
            cluster.backends.state.faults.limit_to_next_call();
        }
        let (addr, id) = new_request_id(&cluster);
        let reply = send(addr, &id, &case.kind, case.deadline_ms);
        let name = format!("{:?} at {}", case.fault, case.kind);
        assert_eq!(
            outcome(&reply),
            case.ending,
            "{name}: {}",
            String::from_utf8_lossy(&reply.body)
        );
        let runs = cluster.runs().all();
        assert_eq!(runs.len(), case.runs, "{name}: {runs:?}");
        if reply.verdict == Some(Verdict::NotRun) {
            assert!(runs.is_empty(), "{name}: refused as not run, but ran");
            assert!(
                reply.json()["error"]["retry_after_ms"].as_u64().is_some(),
                "{name}: no retry_after_ms"
            );
        }
        if case.kind == "service" && reply.verdict == Some(Verdict::MayHaveRun) {
            cluster
                .backends
                .state
                .faults
                .change(|set| set.endpoints.clear());
            let again = send(addr, &id, &case.kind, 0);
            assert_eq!(
                again.verdict,
                Some(Verdict::MayHaveRun),
                "{name}, sent again"
            );
            assert_eq!(cluster.runs().all().len(), case.runs, "{name}: ran again");
        }
        if reply.status == 200 {
            let billing = cluster.wait_for_billing(1);
            assert_eq!(billing.receipts.len(), 1, "{name}: billed other than once");
        }
    }
}

#[test]
fn a_connection_with_an_unfinished_answer_is_never_reused() {
    let cluster = TestCluster::start(Deployment::Shrestha, 2, 0).unwrap();
    for round in 0..40 {
        let fault = match round % 4 {
            0 => EndpointFault::Twice,
            1 => EndpointFault::CutHalf,
            2 => EndpointFault::WrongId,
            _ => EndpointFault::None,
        };
        cluster.backends.state.faults.change(|set| {
            for index in 1..=6 {
                let faults = EndpointFaults {
                    fault,
                    calls: 1,
                    slow_ms: 0,
                };
                set.endpoints
                    .insert(format!("runners-small-{index}"), faults);
            }
        });
        for kind in ["chat", "stream"] {
            let (addr, id) = new_request_id(&cluster);
            let reply = send(addr, &id, kind, 0);
            if reply.status != 200 || outcome(&reply) == "cut" {
                continue;
            }
            let text = String::from_utf8_lossy(&reply.body).into_owned();
            let answered = text.matches("chatcmpl-").count();
            let own = text.matches(&format!("chatcmpl-{id}/")).count();
            assert!(
                own > 0 && own == answered,
                "answer to another request than {id}: {text}"
            );
        }
    }
    let billing: BillingRecords = cluster.wait_for_billing(1);
    assert!(billing.is_balanced());
}

#[test]
fn a_refused_retry_after_an_executed_attempt_is_not_reported_as_not_run() {
    for kind in ["chat", "stream"] {
        let cluster = TestCluster::start(Deployment::Shrestha, 2, 0).unwrap();
        // One endpoint runs the call and then fails; all others refuse without running it.
        cluster.backends.state.faults.change(|set| {
            for index in 1..=6 {
                let fault = match (index, kind) {
                    (1, "chat") => EndpointFault::CutHalf,
                    (1, _) => EndpointFault::ResetAfterRun,
                    _ => EndpointFault::Refuse,
                };
                set.endpoints.insert(
                    format!("runners-small-{index}"),
                    EndpointFaults {
                        fault,
                        calls: 0,
                        slow_ms: 0,
                    },
                );
            }
        });
        for _ in 0..60 {
            let (addr, id) = new_request_id(&cluster);
            let reply = send(addr, &id, kind, 0);
            let runs = cluster
                .runs()
                .all()
                .iter()
                .filter(|run| run.request.starts_with(&id))
                .count();
            let reported_not_run = reply.verdict == Some(Verdict::NotRun);
            assert!(
                !reported_not_run || runs == 0,
                "{kind}: ran {runs} times, but: {}",
                reply.json()
            );
        }
    }
}

#[test]
fn a_cascade_whose_second_step_is_refused_bills_the_first_version() {
    let cluster = TestCluster::start(Deployment::Shrestha, 2, 0).unwrap();
    let path = "config/spec/policy/target";
    let mut policy = cluster
        .backends
        .state
        .objects
        .get(path)
        .unwrap()
        .value
        .unwrap();
    policy["plugin"] = "fixed-cascade".into();
    // With the declared roll-out in place, some calls would go to its unproven version.
    let rollout = "config/spec/rollout/visitor-s2";
    cluster
        .backends
        .state
        .objects
        .delete(rollout, store::Precondition::Any)
        .unwrap();
    let revision = cluster
        .backends
        .state
        .objects
        .put(path, policy, store::Precondition::Any)
        .unwrap();
    let status = || {
        let addr = cluster.instances[0].http_addr();
        let get = HttpClient::default();
        smol::block_on(get.call(addr, Method::Get, "/v1/status", &[], Vec::new()))
            .unwrap()
            .json()
    };
    while status()["revision"].as_u64() < Some(revision) {
        std::thread::sleep(std::time::Duration::from_millis(20));
    }
    cluster.backends.state.faults.change(|set| {
        for index in 1..=3 {
            let faults = EndpointFaults {
                fault: EndpointFault::Refuse,
                calls: 0,
                slow_ms: 0,
            };
            set.endpoints
                .insert(format!("runners-large-{index}"), faults);
        }
    });
    let addr = cluster.instances[0].http_addr();
    let headers = [("authorization", "Bearer key-bir-hospital")];
    for index in 0..30 {
        let body = json!({ "model": "visitor", "messages": [{ "role": "user", "content": format!("{index}") }] });
        let body = body.to_string().into_bytes();
        let call = HttpClient::default();
        let reply =
            smol::block_on(call.call(addr, Method::Post, "/v1/chat/completions", &headers, body))
                .unwrap();
        assert_eq!(
            (reply.status, reply.version.as_str()),
            (200, "visitor-s1"),
            "{}",
            reply.json()
        );
    }
    for receipt in cluster.wait_for_billing(30).receipts {
        assert_eq!(
            &*receipt.usage.version, "visitor-s1",
            "billed on a version that did not answer"
        );
    }
}
