//! Requests with idempotency keys: repeats at one or several instances, keys chosen by callers, and
//! lost claims.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::{Fleet, wait_until};
use http_types::Method;
use kernel::Verdict;
use rustix::process::Signal;
use trial::{BillingRecords, Deployment, HttpClient, HttpResponse};

fn id_prefix(fleet: &Fleet, index: usize) -> String {
    let entry = &fleet.entries[index];
    let incarnation = entry.status()["incarnation"].as_str().unwrap().to_owned();
    let now_ms = kernel::Clock::wall_ms(&kernel::SystemClock::new());
    format!("rl1-{incarnation}-{now_ms:x}-")
}

fn allocate(addr: SocketAddr, key: &str) -> Option<HttpResponse> {
    let headers = [
        ("authorization", "Bearer key-high-holy-days"),
        ("idempotency-key", key),
    ];
    let http = HttpClient::default();
    let call = http.call(
        addr,
        Method::Post,
        "/v1/services/desk/allocation",
        &headers,
        b"{\"seat\":4}".to_vec(),
    );
    smol::block_on(call).ok()
}

fn allocate_concurrently(fleet: &Fleet, indexes: &[usize], key: &str) -> Vec<HttpResponse> {
    let mut threads = Vec::new();
    for index in indexes {
        let addr = fleet.entries[*index].http_addr;
        let key = key.to_owned();
        threads.push(std::thread::spawn(move || allocate(addr, &key).unwrap()));
    }
    threads
        .into_iter()
        .map(|thread| thread.join().unwrap())
        .collect()
}

fn runs(fleet: &Fleet) -> usize {
    fleet.backends.state.runs.all().len()
}

#[test]
fn concurrent_requests_with_one_key_run_once_and_get_the_same_answer() {
    let fleet = Fleet::start(Deployment::Authority, 6, 50);
    for (round, key) in [
        id_prefix(&fleet, 2) + "a",
        "own-key-of-the-caller".to_owned(),
    ]
    .into_iter()
    .enumerate()
    {
        let replies = allocate_concurrently(&fleet, &[0, 1, 2, 3, 4, 5, 2, 2], &key);
        assert_eq!(runs(&fleet), round + 1, "{key}");
        let answered: Vec<&HttpResponse> =
            replies.iter().filter(|reply| reply.status == 200).collect();
        assert!(!answered.is_empty(), "{key}");
        for reply in &replies {
            let other = reply.status != 200 && reply.verdict == Some(Verdict::MayHaveRun);
            assert!(
                other || reply.body == answered[0].body,
                "{key}: {}",
                reply.json()
            );
        }
        let again = allocate(fleet.entries[5].http_addr, &key).unwrap();
        assert_eq!(
            again.body, answered[0].body,
            "{key}: a repeat got another answer"
        );
    }
    assert_eq!(fleet.wait_for_billing(2).receipts.len(), 2);
}

#[test]
fn a_claim_whose_reply_is_lost_is_resolved_by_reading_it_back() {
    let fleet = Fleet::start(Deployment::Authority, 3, 1);
    fleet
        .backends
        .state
        .faults
        .change(|set| set.platform.lose_answers = 1);
    let reply = allocate(fleet.entries[0].http_addr, "lost-claim").unwrap();
    assert_eq!((reply.status, runs(&fleet)), (200, 1), "{}", reply.json());
    let again = allocate(fleet.entries[1].http_addr, "lost-claim").unwrap();
    assert_eq!(
        (again.body == reply.body, runs(&fleet)),
        (true, 1),
        "{}",
        again.json()
    );
}

#[test]
fn caller_chosen_keys_are_refused_as_not_run_in_a_store_outage() {
    let fleet = Fleet::start(Deployment::Authority, 3, 1);
    fleet
        .backends
        .state
        .faults
        .change(|set| set.platform.down = true);
    let refused = allocate(fleet.entries[0].http_addr, "outage").unwrap();
    assert_eq!(
        (refused.status, refused.verdict, runs(&fleet)),
        (503, Some(Verdict::NotRun), 0)
    );
    assert!(refused.json()["error"]["retry_after_ms"].as_u64().is_some());
    let issued = allocate(fleet.entries[0].http_addr, &(id_prefix(&fleet, 0) + "b")).unwrap();
    assert_eq!((issued.status, runs(&fleet)), (200, 1));
    fleet
        .backends
        .state
        .faults
        .change(|set| set.platform.down = false);
    let later = allocate(fleet.entries[1].http_addr, "outage").unwrap();
    assert_eq!((later.status, runs(&fleet)), (200, 2), "{}", later.json());
}

#[test]
fn requests_of_a_killed_or_paused_home_run_only_once() {
    let mut fleet = Fleet::start(Deployment::Authority, 4, 400);
    let (paused, killed) = (id_prefix(&fleet, 0) + "p", id_prefix(&fleet, 1) + "k");
    let homes = [fleet.entries[0].http_addr, fleet.entries[1].http_addr];
    let keys = [paused.clone(), killed.clone()];
    let mut threads = Vec::new();
    for (home, key) in homes.into_iter().zip(keys) {
        threads.push(std::thread::spawn(move || allocate(home, &key)));
    }
    wait_until("both calls run", || runs(&fleet) == 2);
    fleet.entries[0].signal(Signal::STOP);
    fleet.entries[1].kill();
    fleet.entries.remove(1);
    for entry in &fleet.entries[1..] {
        let reply = allocate(entry.http_addr, &killed).unwrap();
        assert_eq!(reply.verdict, Some(Verdict::MayHaveRun), "{}", reply.json());
    }
    let pending = std::thread::spawn({
        let addr = fleet.entries[1].http_addr;
        let key = paused.clone();
        move || allocate(addr, &key)
    });
    std::thread::sleep(Duration::from_millis(1_500));
    fleet.entries[0].signal(Signal::CONT);
    let reply = pending.join().unwrap().unwrap();
    let settled = reply.status == 200 || reply.verdict == Some(Verdict::MayHaveRun);
    assert!(settled, "{}", reply.json());
    fleet.wait_converged();
    let again = allocate(fleet.entries[2].http_addr, &paused).unwrap();
    assert_eq!(
        again.status,
        200,
        "the home instance lost the answer: {}",
        again.json()
    );
    assert_eq!(runs(&fleet), 2, "a request ran twice");
    for thread in threads {
        drop(thread.join());
    }
}

#[test]
fn a_repeated_request_after_settlement_is_not_billed_again() {
    let fleet = Fleet::start(Deployment::Authority, 3, 1);
    let key = id_prefix(&fleet, 0) + "s";
    let first = allocate(fleet.entries[0].http_addr, &key).unwrap();
    fleet.wait_for_billing(1);
    for entry in &fleet.entries {
        assert_eq!(allocate(entry.http_addr, &key).unwrap().body, first.body);
    }
    std::thread::sleep(Duration::from_millis(600));
    let billing = BillingRecords::read(&fleet.backends.state.objects);
    assert_eq!(
        (billing.receipts.len(), billing.is_balanced(), runs(&fleet)),
        (1, true, 1)
    );
}

#[test]
fn ids_of_unknown_future_and_expired_prefixes_get_their_verdicts() {
    let fleet = Fleet::start(Deployment::Authority, 2, 1);
    let addr = fleet.entries[0].http_addr;
    let unknown = allocate(addr, "rl1-00000000000000aa-1-x").unwrap();
    assert_eq!(
        unknown.verdict,
        Some(Verdict::MayHaveRun),
        "{}",
        unknown.json()
    );
    let incarnation = fleet.entries[0].status()["incarnation"]
        .as_str()
        .unwrap()
        .to_owned();
    let future = allocate(addr, &format!("rl1-{incarnation}-ffffffffffff-x")).unwrap();
    assert_eq!(future.verdict, Some(Verdict::NotRun), "{}", future.json());
    let old = allocate(addr, &format!("rl1-{incarnation}-1-x")).unwrap();
    assert_eq!(old.verdict, Some(Verdict::MayHaveRun), "{}", old.json());
    assert_eq!(runs(&fleet), 0);
}
