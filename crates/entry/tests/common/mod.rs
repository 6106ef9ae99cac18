//! Entry instances as processes, beside stand-ins in the test's own process.

#![allow(dead_code, reason = "each test file uses a part")]

pub mod changes;

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use fakes::FakeBackends;
use http_types::Method;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use smol::Executor;
use store::{InstanceState, ListedInstance};
use trial::{
    Audit, BillingRecords, CallRecord, CallSpec, Caller, Deployment, HttpClient, TestCluster,
    TrafficMix, random_call,
};

/// How long anything may take before a test gives up.
pub const PATIENCE: Duration = Duration::from_secs(30);

/// How long after a clean record it is looked at once more: several rounds of settlement.
pub const SECOND_LOOK: Duration = Duration::from_secs(1);

/// How often things are looked at.
pub const TICK: Duration = Duration::from_millis(20);

/// One entry instance as a process.
pub struct EntryProcess {
    child: Child,
    pub name: String,
    pub zone: String,
    pub http_addr: SocketAddr,
    pub peer_addr: SocketAddr,
}

impl EntryProcess {
    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id() as i32).unwrap();
        kill_process(pid, signal).unwrap();
    }

    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Waits for the process to end by itself.
    pub fn wait(&mut self) -> bool {
        let end = Instant::now() + PATIENCE;
        while Instant::now() < end {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.success();
            }
            std::thread::sleep(TICK);
        }
        false
    }

    pub fn status(&self) -> Value {
        let call = HttpClient::default();
        let reply =
            smol::block_on(call.call(self.http_addr, Method::Get, "/v1/status", &[], Vec::new()));
        reply.map_or(Value::Null, |reply| reply.json())
    }
}

impl Drop for EntryProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Stand-ins and processes.
pub struct Fleet {
    pub deployment: Deployment,
    pub farm: FakeBackends,
    pub entries: Vec<EntryProcess>,
    started: usize,
}

impl Fleet {
    pub fn start(deployment: Deployment, entries: usize, token_ms: u64) -> Fleet {
        let farm = TestCluster::start_backends(deployment, token_ms).unwrap();
        let mut fleet = Fleet {
            deployment,
            farm,
            entries: Vec::new(),
            started: 0,
        };
        for _ in 0..entries {
            fleet.add();
        }
        fleet.wait_converged();
        fleet
    }

    /// Starts one more process.
    pub fn add(&mut self) {
        let zone = self.deployment.zones()[self.started % 3];
        self.started += 1;
        let name = format!("entry-{}", self.started);
        let peers: Vec<String> = self
            .entries
            .iter()
            .map(|entry| format!("\"{}\"", entry.peer_addr))
            .collect();
        let settings = format!(
            "name = \"{name}\"\nzone = \"{zone}\"\nlisten = \"127.0.0.1:0\"\npeer_listen = \"127.0.0.1:0\"\n\
             platform = \"{}\"\npeers = [{}]\ngossip_interval_ms = 150\ngossip_timeout_ms = 300\nsuspect_ms = 1000\n\
             receipt_flush_ms = 150\nsettle_interval_ms = 200\naddress_lifetime_ms = 700\nplatform_timeout_ms = 1000\n\
             list_interval_ms = 300\ncut_off_ms = 2500\nplatform_reads_per_s = 200.0\nplatform_writes_per_s = 200.0\n",
            self.farm.platform_addr,
            peers.join(", "),
        );
        let dir = std::env::temp_dir().join(format!(
            "rosemary-{}-{:x}",
            std::process::id(),
            fastrand::u64(..)
        ));
        std::fs::create_dir(&dir).unwrap();
        let file = dir.join("entry.toml");
        std::fs::write(&file, settings).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_rosemary-entry"))
            .arg("--settings")
            .arg(&file)
            .env(
                "RUST_LOG",
                std::env::var("RUST_LOG").unwrap_or_else(|_| "error".to_owned()),
            )
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut line = String::new();
        BufReader::new(child.stdout.take().unwrap())
            .read_line(&mut line)
            .unwrap();
        let words: Vec<&str> = line.split_whitespace().collect();
        std::fs::remove_dir_all(&dir).unwrap();
        self.entries.push(EntryProcess {
            child,
            name,
            zone: zone.to_owned(),
            http_addr: words[1].parse().unwrap(),
            peer_addr: words[3].parse().unwrap(),
        });
        self.list();
    }

    /// Puts the processes into the platform's list.
    pub fn list(&self) {
        let mut list = Vec::new();
        for entry in &self.entries {
            list.push(ListedInstance {
                name: entry.name.as_str().into(),
                addr: entry.peer_addr.to_string().into(),
                zone: entry.zone.as_str().into(),
                state: InstanceState::Live,
            });
        }
        self.farm.state.set_instances(list);
    }

    /// Waits until every process serves and knows just the others.
    pub fn wait_converged(&self) {
        let count = self.entries.len();
        until("all instances serve and know each other", || {
            self.entries.iter().all(|entry| {
                let status = entry.status();
                status["serving"] == true
                    && status["members"].as_array().map_or(0, Vec::len) == count
            })
        });
    }

    /// Waits until every process has a revision in force.
    pub fn wait_revision(&self, revision: u64) {
        until("the configuration is in force everywhere", || {
            self.entries
                .iter()
                .all(|entry| entry.status()["revision"].as_u64() >= Some(revision))
        });
    }

    pub fn caller(&self, zone: usize) -> Caller {
        let seeds = self.entries.iter().map(|entry| entry.http_addr).collect();
        Caller::new(seeds, self.deployment.zones()[zone % 3])
    }

    /// Makes seeded calls at a pace, some at a time, while `during` runs in this thread.
    pub fn calls_during(&mut self, load: Load, during: impl FnOnce(&mut Fleet)) -> Vec<CallRecord> {
        let callers: Vec<Arc<Caller>> = (0..3).map(|zone| Arc::new(self.caller(zone))).collect();
        let deployment = self.deployment;
        let thread =
            std::thread::spawn(move || smol::block_on(make_calls(deployment, load, callers)));
        during(self);
        thread.join().unwrap()
    }

    /// Waits until the books balance and hold as many receipts as asked, or patience ends.
    pub fn settled_books(&self, receipts: usize) -> BillingRecords {
        let end = Instant::now() + PATIENCE;
        loop {
            let books = BillingRecords::read(&self.farm.state.objects);
            if (books.receipts.len() >= receipts && books.is_balanced()) || Instant::now() > end {
                return books;
            }
            std::thread::sleep(TICK);
        }
    }

    /// Checks the whole record of a run, once it is settled.
    ///
    /// Receipts of a killed home come in when its death is found, so the check waits for a clean
    /// record, and then looks once more, so that nothing that comes later is passed over.
    pub fn audit(&self, records: &[CallRecord]) -> Audit {
        let check = || {
            let books = BillingRecords::read(&self.farm.state.objects);
            Audit::check(records, &self.farm.state.runs.all(), &books)
        };
        let end = Instant::now() + PATIENCE;
        while !check().is_clean() && Instant::now() < end {
            std::thread::sleep(TICK);
        }
        std::thread::sleep(SECOND_LOOK);
        check()
    }
}

/// A seeded stream of calls.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    pub seed: u64,
    pub calls: usize,
    /// The pause between two calls, in milliseconds.
    pub pause_ms: u64,
    pub mix: TrafficMix,
}

async fn make_calls(
    deployment: Deployment,
    load: Load,
    callers: Vec<Arc<Caller>>,
) -> Vec<CallRecord> {
    let executor = Executor::new();
    let mut random = fastrand::Rng::with_seed(load.seed);
    let work = async {
        let mut tasks = Vec::new();
        for index in 0..load.calls {
            let spec: CallSpec = random_call(deployment, load.mix, &mut random);
            let caller = callers[index % callers.len()].clone();
            tasks.push(executor.spawn(async move { caller.call(spec).await }));
            smol::Timer::after(Duration::from_millis(load.pause_ms)).await;
        }
        let mut records = Vec::new();
        for task in tasks {
            records.push(task.await);
        }
        records
    };
    executor.run(work).await
}

/// Waits until a condition holds.
pub fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < end, "not in time: {what}");
        std::thread::sleep(TICK);
    }
}
