//! The targets under test: the endpoint, the pass-through proxy and two entry processes with a fake
//! platform.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::Duration;

use catalog::Declarations;
use fakes::{FakeBackends, FakeBackendsConfig};
use smol::Executor;
use store::Precondition;

use crate::load::{Shape, request};
use crate::{endpoint, passthrough};

/// The size of a memory page, the unit of `/proc/PID/statm`.
const PAGE_BYTES: u64 = 4096;

/// How long to wait for the instances to find each other, and for memory use to become stable.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);

/// The targets of the load; entry processes are killed when it is dropped.
pub struct Testbed {
    pub endpoint: SocketAddr,
    pub passthrough: SocketAddr,
    pub entry: SocketAddr,
    children: Vec<Child>,
    _backends: FakeBackends,
}

impl Testbed {
    pub fn start() -> Testbed {
        let endpoint = endpoint::start();
        let backends = start_platform(endpoint);
        let mut children = Vec::new();
        let mut addrs = Vec::new();
        let mut peers = String::new();
        for zone in ["one", "two"] {
            let (child, http, peer) = spawn_entry(zone, backends.platform_addr, &peers);
            children.push(child);
            addrs.push(http);
            peers = format!("\"{peer}\"");
        }
        std::thread::sleep(SETTLE_TIME);
        let passthrough = passthrough::start(endpoint);
        Testbed {
            endpoint,
            passthrough,
            entry: addrs[0],
            children,
            _backends: backends,
        }
    }

    /// Opens `count` streams and returns the mean memory that each takes, in KiB.
    pub fn stream_kb(&self, count: usize) -> f64 {
        let before = self.resident_bytes();
        let mut open = Vec::new();
        for _ in 0..count {
            let mut stream = TcpStream::connect(self.entry).unwrap();
            stream
                .set_read_timeout(Some(Duration::from_secs(10)))
                .unwrap();
            stream.write_all(&request(Shape::Stream, 50)).unwrap();
            let mut chunk = [0; 512];
            let got = stream.read(&mut chunk).unwrap();
            assert!(
                chunk[..got].starts_with(b"HTTP/1.1 200"),
                "{}",
                String::from_utf8_lossy(&chunk[..got])
            );
            open.push(stream);
        }
        std::thread::sleep(SETTLE_TIME);
        let after = self.resident_bytes();
        after.saturating_sub(before) as f64 / count as f64 / 1024.0
    }

    fn resident_bytes(&self) -> u64 {
        let statm =
            std::fs::read_to_string(format!("/proc/{}/statm", self.children[0].id())).unwrap();
        let pages: u64 = statm.split_whitespace().nth(1).unwrap().parse().unwrap();
        pages * PAGE_BYTES
    }
}

impl Drop for Testbed {
    fn drop(&mut self) {
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Starts a fake platform that declares one workspace and one version on `endpoint`.
fn start_platform(endpoint: SocketAddr) -> FakeBackends {
    let key = catalog::key_hash("key-bench");
    let text = format!(
        r#"
[[model]]
name = "bench"
[[pool]]
name = "bench"
kind = "engine"
endpoints = [{{ name = "e1", addr = "{endpoint}", zone = "one", slots = 5000 }}]
[[version]]
name = "bench-1"
model = "bench"
pool = "bench"
state = "proven"
quality_prior = 0.9
cost_prompt_micros = 10
cost_completion_micros = 20
[[policy]]
name = "target"
plugin = "cheapest-to-target"
sample_share = 0.01
[[workspace]]
name = "bench"
key_sha256 = "{key}"
versions = ["bench-1"]
policy = "target"
quality_target = 0.5
quota_per_s = 10000000.0
objective = {{ first_token_ms = 100, total_ms = 1000, share = 0.95 }}
"#
    );
    let declarations = Declarations::parse("bench.toml", &text).unwrap();
    let executor = Arc::new(Executor::new());
    let plan = FakeBackendsConfig {
        declarations: Declarations::default(),
        platform_addr: SocketAddr::from(([127, 0, 0, 1], 0)),
        free_ports: true,
        token_ms: 0,
    };
    let backends = FakeBackends::start(plan, &executor).unwrap();
    for item in &declarations.items {
        backends
            .state
            .objects
            .put(&item.path(), item.value.clone(), Precondition::Any)
            .unwrap();
    }
    std::thread::spawn(move || smol::block_on(executor.run(std::future::pending::<()>())));
    backends
}

fn spawn_entry(zone: &str, platform: SocketAddr, peers: &str) -> (Child, SocketAddr, SocketAddr) {
    let settings = format!(
        "name = \"entry-{zone}\"\nzone = \"{zone}\"\nlisten = \"127.0.0.1:0\"\npeer_listen = \"127.0.0.1:0\"\n\
         platform = \"{platform}\"\npeers = [{peers}]\ntraffic_threads = 1\ngossip_interval_ms = 200\n"
    );
    let file =
        std::env::temp_dir().join(format!("rosemary-bench-{}-{zone}.toml", std::process::id()));
    std::fs::write(&file, settings).unwrap();
    let mut child = Command::new(env!("CARGO_BIN_EXE_rosemary-entry"))
        .arg("--settings")
        .arg(&file)
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    let mut line = String::new();
    BufReader::new(child.stdout.take().unwrap())
        .read_line(&mut line)
        .unwrap();
    let words: Vec<&str> = line.split_whitespace().collect();
    let addrs = (words[1].parse().unwrap(), words[3].parse().unwrap());
    std::fs::remove_file(&file).unwrap();
    (child, addrs.0, addrs.1)
}
