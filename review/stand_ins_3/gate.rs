//! Gate processes, started with the command of the deploy file.

use std::fs::File;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::store::Store;
use crate::wire::name;

/// The processes that were started.
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes that were started and this one after a time, in case that a script hangs.
pub fn end_after(limit: Duration) {
    std::thread::spawn(move || {
        std::thread::sleep(limit);
        crate::note("could not run: the time is up");
        for child in CHILDREN.lock().unwrap().iter() {
            let _ = Command::new("kill").args(["-KILL", &child.to_string()]).status();
        }
        std::process::exit(2);
    });
}

/// Listeners of one gate.
#[derive(Debug, Clone, Copy)]
pub struct Addrs {
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub peers: SocketAddr,
    pub directory: SocketAddr,
    pub carried: SocketAddr,
    metrics: u16,
}

/// A gate, which is killed when it is dropped.
#[derive(Debug)]
pub struct Gate {
    pub name: String,
    pub addrs: Addrs,
    pub child: Child,
    log: PathBuf,
}

/// Ports below the usual range of outgoing connections, which could take a port before a gate listens there.
const PORTS: std::ops::Range<u16> = 12_000..32_000;

/// The next port to try. Scripts that run side by side begin at different ports.
static NEXT_PORT: Mutex<Option<u16>> = Mutex::new(None);

fn free() -> SocketAddr {
    let mut next = NEXT_PORT.lock().unwrap();
    let mut port = next.unwrap_or_else(|| {
        let span = u32::from(PORTS.end - PORTS.start);
        PORTS.start + (std::process::id().wrapping_mul(97) % span) as u16
    });
    for _ in PORTS {
        let addr = SocketAddr::from(([127, 0, 0, 1], port));
        port = if port + 1 < PORTS.end { port + 1 } else { PORTS.start };
        if TcpListener::bind(addr).is_ok() {
            *next = Some(port);
            return addr;
        }
    }
    panic!("no port is free");
}

impl Addrs {
    fn free() -> Addrs {
        Addrs {
            callers: free(),
            ready: free(),
            peers: free(),
            directory: free(),
            carried: free(),
            metrics: free().port(),
        }
    }
}

/// A temporary folder, which is removed when it is dropped.
#[derive(Debug)]
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Folder {
        let path = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}

/// Starts some gates as one fleet and waits until they accept callers.
pub fn start(store: &Store, count: usize, folder: &Folder) -> Result<Vec<Gate>, String> {
    let addrs: Vec<Addrs> = (0..count).map(|_| Addrs::free()).collect();
    let peers: Vec<String> = addrs.iter().map(|addrs| format!("\"{}\"", addrs.peers)).collect();
    let mut gates = Vec::new();
    for (index, addrs) in addrs.into_iter().enumerate() {
        gates.push(launch(store, &format!("gate-{index}"), addrs, &peers.join(","), folder)?);
    }
    for gate in &mut gates {
        gate.wait_until_ready()?;
    }
    Ok(gates)
}

fn launch(
    store: &Store,
    gate: &str,
    addrs: Addrs,
    peers: &str,
    folder: &Folder,
) -> Result<Gate, String> {
    let text = include_str!("settings.toml")
        .replace("OWN_PEERS", &addrs.peers.to_string())
        .replace("NAME", gate)
        .replace("ZONE", "hall")
        .replace("PEERS", peers)
        .replace("STORE", &store.addr.to_string())
        .replace("METRICS", &addrs.metrics.to_string())
        .replace("CALLERS", &addrs.callers.to_string())
        .replace("READY", &addrs.ready.to_string())
        .replace("DIRECTORY", &addrs.directory.to_string())
        .replace("CARRIED", &addrs.carried.to_string());
    let file = folder.0.join(format!("{gate}.toml"));
    std::fs::write(&file, text).map_err(|err| err.to_string())?;
    let log_file = folder.0.join(format!("{gate}.log"));
    let log = File::create(&log_file).map_err(|err| err.to_string())?;
    let errors = log.try_clone().map_err(|err| err.to_string())?;
    // The command of the deploy file, in the repository root.
    let child = Command::new("target/release/rosemary-gate")
        .env(name("settings"), &file)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(errors)
        .spawn()
        .map_err(|err| err.to_string())?;
    CHILDREN.lock().unwrap().push(child.id());
    Ok(Gate {
        name: gate.to_owned(),
        addrs,
        child,
        log: log_file,
    })
}

impl Gate {
    pub fn wait_until_ready(&mut self) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            if self.has_ended() {
                let log = std::fs::read_to_string(&self.log).unwrap_or_default();
                let last = log.lines().last().unwrap_or("");
                return Err(format!("{} ended at its start: {last}", self.name));
            }
            if is_ready(self.addrs.ready) {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Err(format!("{} is not ready", self.name))
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

fn is_ready(addr: SocketAddr) -> bool {
    use std::io::Write;
    let Ok(mut stream) = TcpStream::connect_timeout(&addr, Duration::from_secs(1)) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    let _ = write!(stream, "GET {} HTTP/1.1\r\nHost: gate\r\n\r\n", name("ready"));
    crate::wire::read_head(&stream, Vec::new(), 1024).is_ok_and(|head| head.status() == 200)
}

impl Drop for Gate {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
