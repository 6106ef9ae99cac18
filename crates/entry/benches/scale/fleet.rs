//! Idle entry processes with one fake platform.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use fakes::FakeBackends;
use http_types::Method;
use serde_json::{Value, json};
use store::Precondition;
use trial::{Deployment, HttpClient, TestCluster};

/// The unit of processor time in `/proc/PID/stat`.
const TICKS_PER_S: f64 = 100.0;

/// The size of a memory page, the unit of `/proc/PID/statm`.
const PAGE_BYTES: f64 = 4096.0;

/// How often the instances' status is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The timeout for a change to reach all instances.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Resource use, as the mean per instance if not said otherwise.
#[derive(Debug, Clone, Copy)]
pub struct Usage {
    pub cpu_percent: f64,
    pub rss_mb: f64,
    pub peer_kb_per_s: f64,
    /// Platform reads of all instances together.
    pub reads_per_s: f64,
    /// Platform writes of all instances together.
    pub writes_per_s: f64,
}

struct Process {
    child: Child,
    http_addr: SocketAddr,
}

impl Process {
    fn status(&self, http: &HttpClient) -> Value {
        let call = http.call(self.http_addr, Method::Get, "/v1/status", &[], Vec::new());
        smol::block_on(call).map_or(Value::Null, |reply| reply.json())
    }

    fn read_proc(&self, file: &str) -> String {
        std::fs::read_to_string(format!("/proc/{}/{file}", self.child.id())).unwrap_or_default()
    }

    fn cpu_s(&self) -> f64 {
        let stat = self.read_proc("stat");
        let fields: Vec<&str> = stat
            .rsplit(')')
            .next()
            .unwrap_or_default()
            .split_whitespace()
            .collect();
        let ticks = |index: usize| {
            fields
                .get(index)
                .and_then(|field| field.parse::<f64>().ok())
                .unwrap_or(0.0)
        };
        (ticks(11) + ticks(12)) / TICKS_PER_S
    }

    fn rss_mb(&self) -> f64 {
        let pages = self
            .read_proc("statm")
            .split_whitespace()
            .nth(1)
            .and_then(|field| field.parse::<f64>().ok());
        pages.unwrap_or(0.0) * PAGE_BYTES / (1 << 20) as f64
    }
}

/// The entry processes and their platform; killed when dropped.
pub struct Fleet {
    backends: FakeBackends,
    processes: Vec<Process>,
    http: HttpClient,
}

impl Fleet {
    pub fn start(size: usize) -> Fleet {
        let backends = TestCluster::start_backends(Deployment::Shrestha, 0).unwrap();
        let mut fleet = Fleet {
            backends,
            processes: Vec::new(),
            http: HttpClient::default(),
        };
        let mut first_peer = String::new();
        for index in 0..size {
            let settings = format!(
                "name = \"entry-{index}\"\nzone = \"zone-{}\"\nlisten = \"127.0.0.1:0\"\npeer_listen = \"127.0.0.1:0\"\n\
                 platform = \"{}\"\npeers = [{first_peer}]\ntraffic_threads = 1\n",
                index % 3,
                fleet.backends.platform_addr,
            );
            let file = std::env::temp_dir().join(format!(
                "rosemary-scale-{}-{index}.toml",
                std::process::id()
            ));
            std::fs::write(&file, settings).unwrap();
            let mut child = Command::new(env!("CARGO_BIN_EXE_rosemary-entry"))
                .arg("--settings")
                .arg(&file)
                .env("RUST_LOG", "error")
                .stdout(Stdio::piped())
                .spawn()
                .unwrap();
            let mut line = String::new();
            BufReader::new(child.stdout.take().unwrap())
                .read_line(&mut line)
                .unwrap();
            std::fs::remove_file(&file).unwrap();
            let words: Vec<&str> = line.split_whitespace().collect();
            if index == 0 {
                first_peer = format!("\"{}\"", words[3]);
            }
            fleet.processes.push(Process {
                child,
                http_addr: words[1].parse().unwrap(),
            });
        }
        fleet.wait_until(|status| status["members"].as_array().map_or(0, Vec::len) == size);
        fleet
    }

    fn wait_until(&self, holds: impl Fn(&Value) -> bool) {
        let end = Instant::now() + WAIT_TIMEOUT;
        for process in &self.processes {
            while !holds(&process.status(&self.http)) {
                assert!(
                    Instant::now() < end,
                    "not all instances reached the expected state within {WAIT_TIMEOUT:?}"
                );
                std::thread::sleep(POLL_INTERVAL);
            }
        }
    }

    fn sum_status(&self, pointer: &str) -> f64 {
        let read = |process: &Process| {
            process
                .status(&self.http)
                .pointer(pointer)
                .and_then(Value::as_f64)
        };
        self.processes.iter().filter_map(read).sum()
    }

    /// Measures the idle instances for `duration`.
    pub fn usage(&self, duration: Duration) -> Usage {
        let sums = || {
            let cpu: f64 = self.processes.iter().map(Process::cpu_s).sum();
            [
                cpu,
                self.sum_status("/peer_bytes"),
                self.sum_status("/platform/reads"),
                self.sum_status("/platform/writes"),
            ]
        };
        let start = Instant::now();
        let before = sums();
        std::thread::sleep(duration);
        let after = sums();
        let elapsed_s = start.elapsed().as_secs_f64();
        let rate = |index: usize| (after[index] - before[index]) / elapsed_s;
        let count = self.processes.len() as f64;
        let rss: f64 = self.processes.iter().map(Process::rss_mb).sum();
        Usage {
            cpu_percent: rate(0) / count * 100.0,
            rss_mb: rss / count,
            peer_kb_per_s: rate(1) / count / 1024.0,
            reads_per_s: rate(2),
            writes_per_s: rate(3),
        }
    }

    /// Changes the configuration and returns the time until the change is in force everywhere.
    pub fn time_change(&self) -> Duration {
        let path = "config/spec/policy/target";
        let mut value = self
            .backends
            .state
            .objects
            .get(path)
            .unwrap()
            .value
            .unwrap();
        value["sample_share"] = json!(fastrand::f64());
        let start = Instant::now();
        let revision = self
            .backends
            .state
            .objects
            .put(path, value, Precondition::Any)
            .unwrap();
        self.wait_until(|status| status["revision"].as_u64() >= Some(revision));
        start.elapsed()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for process in &mut self.processes {
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
        self.backends.stop();
    }
}
