//! The cost of each part of the control plane at the target size, with synthetic peers and objects.

use std::time::Instant;

use catalog::{Object, Replica, Snapshot};
use kernel::{Incarnation, Priority};
use member::{Member, MemberTable, MemberTableSettings};
use receipt::{Outcome, ReceiptDraft, ReceiptOutbox, RequestUsage, Statement};
use serde_json::{Value, json};
use upstream::PoolMap;
use wire::{Ack, Body, ConfigDigest, Demand, Envelope, MemberInfo, Ping};

/// The target size: instances here, then the endpoints, versions and workspaces that they serve.
const INSTANCES: u64 = 410;
const ENDPOINTS: usize = 600;
const VERSIONS: usize = 22;
const WORKSPACES: usize = 100;

/// The number of runs that a mean is taken over.
const RUNS: u32 = 200;

/// Receipts of one instance in ten seconds at the peak: 5,300 requests a second over 410.
const SEGMENT_RECEIPTS: usize = 130;

fn mean_us(mut run: impl FnMut()) -> f64 {
    let start = Instant::now();
    for _ in 0..RUNS {
        run();
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(RUNS)
}

/// Measures the time in microseconds and the size in bytes of each part.
pub fn measure() -> Value {
    let (replica, config_bytes) = replica();
    let snapshot = Snapshot::build(&replica, &Snapshot::default());
    let mut table = member_table();
    let mut random = fastrand::Rng::with_seed(1);
    let mut outbox = ReceiptOutbox::new(Incarnation::from_u64(1));
    for index in 0..SEGMENT_RECEIPTS {
        outbox.add(draft(index));
    }
    let segment = outbox.next_segment().unwrap();
    let segment_bytes = serde_json::to_vec(&segment).unwrap().len();
    let mut statement = Statement::default();
    statement.apply(&segment.receipts, 2_000_000);
    json!({
        "snapshot_build_us": mean_us(|| drop(Snapshot::build(&replica, &snapshot))),
        "pools_build_us": mean_us(|| drop(PoolMap::build(&snapshot, &PoolMap::default(), "entry-1", 32))),
        "config_bytes": config_bytes,
        "table_round_us": mean_us(|| {
            table.tick(1_000);
            let _ = table.probe_targets(1, &mut random);
            let _ = table.take_updates(8);
            let _ = table.digest();
        }),
        "ping_bytes": ping(8).encode_frame().len(),
        "ack_bytes": Envelope::new(1, Body::Ack(Ack { update: member_update(8) })).encode_frame().len(),
        "table_answer_bytes": ping(INSTANCES as usize).encode_frame().len(),
        "receipt_bytes": segment_bytes / SEGMENT_RECEIPTS,
        "segment_bytes": segment_bytes,
        "fold_us_per_receipt": mean_us(|| {
            let mut fresh = Statement::default();
            fresh.apply(&segment.receipts, 2_000_000);
        }) / SEGMENT_RECEIPTS as f64,
        "statement_bytes": serde_json::to_vec(&statement).unwrap().len(),
    })
}

fn replica() -> (Replica, usize) {
    let mut replica = Replica::default();
    let mut revision = 0;
    let mut bytes = 0;
    let mut put = |path: String, value: Value| {
        revision += 1;
        bytes += value.to_string().len();
        replica.apply(
            0,
            Object {
                path: path.into(),
                revision,
                value: Some(value),
            },
        );
    };
    for index in 0..VERSIONS {
        let count = ENDPOINTS / VERSIONS;
        let endpoint = |number: usize| {
            let addr = format!("10.0.{index}.{}:8000", number + 1);
            json!({ "name": format!("runner-{index}-{number}"), "addr": addr, "zone": "zone-1", "slots": 16 })
        };
        let endpoints: Vec<Value> = (0..count).map(endpoint).collect();
        let pool = json!({ "name": format!("p{index}"), "kind": "engine", "endpoints": endpoints });
        put(format!("config/spec/pool/p{index}"), pool);
        let version = json!({
            "name": format!("v{index}"), "model": format!("m{}", index / 3), "pool": format!("p{index}"),
            "state": "proven", "quality_prior": 0.9, "cost_prompt_micros": 60, "cost_completion_micros": 180,
        });
        put(format!("config/spec/version/v{index}"), version);
    }
    for index in 0..WORKSPACES {
        let versions: Vec<String> = (0..VERSIONS).map(|version| format!("v{version}")).collect();
        let workspace = json!({
            "name": format!("w{index}"), "key_sha256": format!("{index:064x}"), "versions": versions,
            "policy": "target", "quality_target": 0.9, "classes": ["default"], "quota_per_s": 100.0,
            "objective": { "first_token_ms": 630, "total_ms": 5000, "share": 0.95 },
        });
        put(format!("config/spec/workspace/w{index}"), workspace);
    }
    (replica, bytes)
}

fn member(index: u64) -> Member {
    Member::new(
        Incarnation::from_u64(index),
        &format!("entry-{index}"),
        "zone-1",
    )
    .with_addresses("10.1.2.3:7001", &format!("10.1.2.{}:7501", index % 250))
    .with_started_ms(1)
}

fn member_table() -> MemberTable {
    let mut table = MemberTable::new(member(1), MemberTableSettings::default());
    for index in 2..=INSTANCES {
        table.merge(member(index), 0);
    }
    table
}

fn member_update(members: usize) -> Option<Ping> {
    let info = MemberInfo {
        incarnation: 1,
        name: "entry-123".to_owned(),
        zone: "lakes-east-1".to_owned(),
        http_addr: "10.1.2.3:7001".to_owned(),
        peer_addr: "10.1.2.3:7501".to_owned(),
        carry_addr: String::new(),
        started_ms: 1_796_334_435_998,
        version: 1,
        status: 0,
        leaving: false,
        lost_store: false,
    };
    let demand = Demand {
        workspace: "bir-hospital".to_owned(),
        mean_per_s: 1.5,
    };
    Some(Ping {
        members: vec![info; members],
        table_digest: 1,
        config: Some(ConfigDigest {
            count: 144,
            max_revision: 9_000,
            hash: 7,
            complete_revision: 9_000,
            ..ConfigDigest::default()
        }),
        demands: vec![demand; 16],
        leaving: Vec::new(),
        wants_table: false,
        versions: Vec::new(),
        ..Ping::default()
    })
}

fn ping(members: usize) -> Envelope {
    Envelope::new(1, Body::Ping(member_update(members).unwrap_or_default()))
}

fn draft(index: usize) -> ReceiptDraft {
    let usage = RequestUsage {
        version: format!("v{}", index % VERSIONS).into(),
        class: "default".into(),
        priority: Priority::Normal,
        outcome: Outcome::Answered,
        prompt_tokens: 200,
        completion_tokens: 264,
        cost_micros: 900,
        first_token_ms: 200,
        total_ms: 3_000,
        unproven: false,
        in_objective: true,
        arm: None,
    };
    let request = format!("rl1-ff471821b9728853-1a23da95028-{index:016x}");
    ReceiptDraft {
        workspace: "bir-hospital".into(),
        request: request.into(),
        ended_ms: 1_500_000,
        usage,
    }
}
