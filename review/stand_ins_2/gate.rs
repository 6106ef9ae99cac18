//! The system's own processes, started by the command of the deploy file.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::Channel;
use crate::wire::wire;

const SETTINGS: &str = include_str!("settings.toml");
const DEPLOY_FILE: &str = "deploy/system.toml";

pub struct Gate {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    process: Child,
}

/// Ports that are free, which stay reserved until this is dropped.
struct FreePorts {
    held: Vec<TcpListener>,
}

impl FreePorts {
    fn next(&mut self) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let addr = listener.local_addr()?;
        self.held.push(listener);
        Ok(addr)
    }
}

/// A temporary folder, which is removed when this is dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> std::io::Result<Folder> {
        let path = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&path)?;
        Ok(Folder(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

/// Starts some gates that know each other, and waits until all are ready.
pub fn start(count: usize, store: SocketAddr, folder: &Path) -> std::io::Result<Vec<Gate>> {
    let deploy = fs::read_to_string(DEPLOY_FILE)?;
    let command = deploy
        .lines()
        .find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"'))
        .ok_or(std::io::ErrorKind::NotFound)?;
    let mut words = command.split(' ');
    let program = words.next().unwrap_or_default();
    let arguments: Vec<&str> = words.collect();
    let mut ports = FreePorts { held: Vec::new() };
    let mut listens = Vec::new();
    for _ in 0..count {
        let mut listen = Vec::new();
        for _ in 0..6 {
            listen.push(ports.next()?);
        }
        listens.push(listen);
    }
    let peers: Vec<String> = listens.iter().map(|listen| format!("\"{}\"", listen[2])).collect();
    drop(ports);
    let mut gates = Vec::new();
    for (index, listen) in listens.iter().enumerate() {
        let name = format!("front-{}", index + 1);
        let settings = SETTINGS
            .replace("@name", &name)
            .replace("@peers", &peers.join(","))
            .replace("@store", &store.to_string())
            .replace("@metrics", &listen[5].port().to_string())
            .replace("@callers", &listen[0].to_string())
            .replace("@ready", &listen[1].to_string())
            .replace("@control", &listen[2].to_string())
            .replace("@directory", &listen[3].to_string())
            .replace("@carried", &listen[4].to_string());
        let path = folder.join(format!("{name}.toml"));
        fs::write(&path, settings)?;
        let log = File::create(folder.join(format!("{name}.log")))?;
        let mut process = Command::new(program);
        process
            .args(&arguments)
            .env_clear()
            .env("PATH", "/usr/bin:/bin")
            .env("LANG", "C")
            .env(wire("settings-variable"), &path)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log);
        gates.push(Gate {
            name,
            callers: listen[0],
            ready: listen[1],
            process: process.spawn()?,
        });
    }
    let until = Instant::now() + Duration::from_secs(15);
    for gate in &gates {
        while !gate.is_ready(Duration::from_millis(500)) {
            if Instant::now() > until {
                return Err(std::io::ErrorKind::TimedOut.into());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    }
    Ok(gates)
}

impl Gate {
    /// Asks like the platform whether the gate is ready.
    pub fn is_ready(&self, time: Duration) -> bool {
        is_ready(self.ready, time)
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.process.try_wait(), Ok(None))
    }
}

/// Asks like the platform whether the gate at an address is ready.
pub fn is_ready(addr: SocketAddr, time: Duration) -> bool {
    let deadline = Instant::now() + time;
    let Ok(stream) = TcpStream::connect_timeout(&addr, time) else {
        return false;
    };
    let mut channel = Channel::new(stream);
    let request = format!("GET {} HTTP/1.1\r\nHost: platform\r\n\r\n", wire("ready-path"));
    if channel.send(request.as_bytes()).is_err() {
        return false;
    }
    channel
        .read_head(deadline)
        .is_ok_and(|head| head.status() == 200)
}

impl Drop for Gate {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}
