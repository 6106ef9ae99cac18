//! Runs entry instances as processes, with fakes of the platform and the endpoints in the test's
//! own process.

#![allow(dead_code, reason = "no test file uses all helpers")]

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

/// The timeout of every wait in a test.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// The delay before a clean audit is repeated: several settlement intervals.
pub const RECHECK_DELAY: Duration = Duration::from_secs(1);

/// How often conditions are polled.
pub const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// An entry instance in a process of its own, killed when dropped.
pub struct EntryProcess {
    child: Child,
    pub name: String,
    pub zone: String,
    pub http_addr: SocketAddr,
    pub peer_addr: SocketAddr,
}

impl EntryProcess {
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id() as i32).unwrap();
        kill_process(pid, signal).unwrap();
    }

    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Waits for the process to exit and returns whether it succeeded.
    pub fn wait(&mut self) -> bool {
        let end = Instant::now() + WAIT_TIMEOUT;
        while Instant::now() < end {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.success();
            }
            std::thread::sleep(POLL_INTERVAL);
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

/// The fakes and the entry processes of one deployment.
pub struct Fleet {
    pub deployment: Deployment,
    pub backends: FakeBackends,
    pub entries: Vec<EntryProcess>,
    started: usize,
    /// Lines added to the settings of each process.
    settings: &'static str,
}

impl Fleet {
    pub fn start(deployment: Deployment, entries: usize, token_ms: u64) -> Fleet {
        Fleet::start_with(deployment, entries, token_ms, "")
    }

    /// Starts a fleet with further settings.
    pub fn start_with(
        deployment: Deployment,
        entries: usize,
        token_ms: u64,
        settings: &'static str,
    ) -> Fleet {
        let backends = TestCluster::start_backends(deployment, token_ms).unwrap();
        let mut fleet = Fleet {
            deployment,
            backends,
            entries: Vec::new(),
            started: 0,
            settings,
        };
        for _ in 0..entries {
            fleet.add();
        }
        fleet.wait_converged();
        fleet
    }

    /// Starts one more entry process and adds it to the platform's instance list.
    pub fn add(&mut self) {
        self.add_at(SocketAddr::from(([127, 0, 0, 1], 0)));
    }

    /// Like [`Fleet::add`], with a given address for peers.
    pub fn add_at(&mut self, peer_listen: SocketAddr) {
        let zone = self.deployment.zones()[self.started % 3];
        self.started += 1;
        let name = format!("entry-{}", self.started);
        let peers: Vec<String> = self
            .entries
            .iter()
            .map(|entry| format!("\"{}\"", entry.peer_addr))
            .collect();
        // Each fleet has a platform of its own, whose address also names the fleet.
        let platform = self.backends.platform_addr;
        let settings = format!(
            "name = \"{name}\"\nfleet = \"{platform}\"\nzone = \"{zone}\"\nlisten = \"127.0.0.1:0\"\npeer_listen = \"{peer_listen}\"\n\
             platform = \"{platform}\"\npeers = [{}]\ngossip_interval_ms = 150\ngossip_timeout_ms = 300\nsuspect_ms = 1000\n\
             receipt_flush_ms = 150\nsettle_interval_ms = 200\naddress_lifetime_ms = 700\nplatform_timeout_ms = 1000\n\
             list_interval_ms = 300\ncut_off_ms = 2500\nplatform_reads_per_s = 200.0\nplatform_writes_per_s = 200.0\n{}",
            peers.join(", "),
            self.settings,
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
                std::env::var("RUST_LOG").unwrap_or_else(|_| "warn".to_owned()),
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

    /// Replaces the platform's instance list by the processes of the fleet.
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
        self.backends.state.set_instances(list);
    }

    /// Waits until every process serves and lists all processes of the fleet and no other.
    pub fn wait_converged(&self) {
        let count = self.entries.len();
        wait_until("all instances serve and list each other as members", || {
            self.entries.iter().all(|entry| {
                let status = entry.status();
                status["serving"] == true
                    && status["members"].as_array().map_or(0, Vec::len) == count
            })
        });
    }

    /// Waits until a configuration revision is in force at every process.
    pub fn wait_revision(&self, revision: u64) {
        wait_until("the configuration is in force everywhere", || {
            self.entries
                .iter()
                .all(|entry| entry.status()["revision"].as_u64() >= Some(revision))
        });
    }

    pub fn caller(&self, zone: usize) -> Caller {
        let seeds = self.entries.iter().map(|entry| entry.http_addr).collect();
        Caller::new(seeds, self.deployment.zones()[zone % 3])
    }

    /// Sends the calls of `load` from another thread while `during` runs in this one.
    pub fn calls_during(&mut self, load: Load, during: impl FnOnce(&mut Fleet)) -> Vec<CallRecord> {
        let callers: Vec<Arc<Caller>> = (0..3).map(|zone| Arc::new(self.caller(zone))).collect();
        let deployment = self.deployment;
        let thread =
            std::thread::spawn(move || smol::block_on(make_calls(deployment, load, callers)));
        during(self);
        thread.join().unwrap()
    }

    /// Waits until the billing records balance and hold `receipts` receipts or more, or the timeout.
    pub fn wait_for_billing(&self, receipts: usize) -> BillingRecords {
        let end = Instant::now() + WAIT_TIMEOUT;
        loop {
            let billing = BillingRecords::read(&self.backends.state.objects);
            if (billing.receipts.len() >= receipts && billing.is_balanced()) || Instant::now() > end
            {
                return billing;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Audits all calls of a run, once their receipts are settled.
    ///
    /// Receipts of a killed instance are written by a peer only after the failure is detected, so
    /// the audit is repeated until it is clean, and once more later to catch late duplicates.
    pub fn audit(&self, records: &[CallRecord]) -> Audit {
        let check = || {
            let billing = BillingRecords::read(&self.backends.state.objects);
            Audit::check(records, &self.backends.state.runs.all(), &billing)
        };
        let end = Instant::now() + WAIT_TIMEOUT;
        while !check().is_clean() && Instant::now() < end {
            std::thread::sleep(POLL_INTERVAL);
        }
        std::thread::sleep(RECHECK_DELAY);
        check()
    }
}

/// A sequence of random calls, determined by its seed.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    pub seed: u64,
    pub calls: usize,
    /// The pause between the starts of two calls.
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
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !holds() {
        assert!(
            Instant::now() < end,
            "timed out after {WAIT_TIMEOUT:?}: {what}"
        );
        std::thread::sleep(POLL_INTERVAL);
    }
}
