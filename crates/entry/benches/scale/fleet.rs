//! Many idle entry processes beside one stand-in platform.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use fakes::FakeBackends;
use http_types::Method;
use serde_json::{Value, json};
use store::Precondition;
use trial::{Deployment, HttpClient, TestCluster};

/// Clock ticks in a second, as `/proc` counts processor time.
const TICKS_PER_S: f64 = 100.0;

/// The bytes of a page of memory.
const PAGE_BYTES: f64 = 4096.0;

/// How often instances are asked whether a change is in force.
const TICK: Duration = Duration::from_millis(10);

/// How long a change may take.
const PATIENCE: Duration = Duration::from_secs(60);

/// What one instance uses, as the mean over all.
#[derive(Debug, Clone, Copy)]
pub struct Usage {
    pub cpu_percent: f64,
    pub rss_mb: f64,
    pub peer_kb_per_s: f64,
    /// Over all instances.
    pub reads_per_s: f64,
    /// Over all instances.
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

    fn proc(&self, file: &str) -> String {
        std::fs::read_to_string(format!("/proc/{}/{file}", self.child.id())).unwrap_or_default()
    }

    fn cpu_s(&self) -> f64 {
        let stat = self.proc("stat");
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
            .proc("statm")
            .split_whitespace()
            .nth(1)
            .and_then(|field| field.parse::<f64>().ok());
        pages.unwrap_or(0.0) * PAGE_BYTES / (1 << 20) as f64
    }
}

/// The processes.
pub struct Fleet {
    farm: FakeBackends,
    processes: Vec<Process>,
    http: HttpClient,
}

impl Fleet {
    pub fn start(size: usize) -> Fleet {
        let farm = TestCluster::start_backends(Deployment::Shrestha, 0).unwrap();
        let mut fleet = Fleet {
            farm,
            processes: Vec::new(),
            http: HttpClient::default(),
        };
        let mut first_peer = String::new();
        for index in 0..size {
            let settings = format!(
                "name = \"entry-{index}\"\nzone = \"zone-{}\"\nlisten = \"127.0.0.1:0\"\npeer_listen = \"127.0.0.1:0\"\n\
                 platform = \"{}\"\npeers = [{first_peer}]\ntraffic_threads = 1\n",
                index % 3,
                fleet.farm.platform_addr,
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
        fleet.wait(|status| status["members"].as_array().map_or(0, Vec::len) == size);
        fleet
    }

    fn wait(&self, holds: impl Fn(&Value) -> bool) {
        let end = Instant::now() + PATIENCE;
        for process in &self.processes {
            while !holds(&process.status(&self.http)) {
                assert!(Instant::now() < end, "the fleet does not settle");
                std::thread::sleep(TICK);
            }
        }
    }

    fn sum(&self, pointer: &str) -> f64 {
        let read = |process: &Process| {
            process
                .status(&self.http)
                .pointer(pointer)
                .and_then(Value::as_f64)
        };
        self.processes.iter().filter_map(read).sum()
    }

    /// Measures idle instances for a while.
    pub fn usage(&self, slice: Duration) -> Usage {
        let sums = || {
            let cpu: f64 = self.processes.iter().map(Process::cpu_s).sum();
            [
                cpu,
                self.sum("/peer_bytes"),
                self.sum("/platform/reads"),
                self.sum("/platform/writes"),
            ]
        };
        let start = Instant::now();
        let before = sums();
        std::thread::sleep(slice);
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

    /// Changes the configuration and returns how long it takes to be in force everywhere.
    pub fn change(&self) -> Duration {
        let path = "config/spec/policy/target";
        let mut value = self.farm.state.objects.get(path).unwrap().value.unwrap();
        value["sample_share"] = json!(fastrand::f64());
        let start = Instant::now();
        let revision = self
            .farm
            .state
            .objects
            .put(path, value, Precondition::Any)
            .unwrap();
        self.wait(|status| status["revision"].as_u64() >= Some(revision));
        start.elapsed()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for process in &mut self.processes {
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
        self.farm.stop();
    }
}
