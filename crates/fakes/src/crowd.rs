//! Callers that hold many connections to a process at once, and what the process uses meanwhile.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// How often memory and descriptors are read.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// What a caller sends on its connection, which it then holds.
pub type CrowdCaller = fn(&mut TcpStream) -> io::Result<()>;

/// The most that a process has used, as seen from `/proc`.
#[derive(Debug, Default)]
pub struct Peak {
    /// Resident memory, in KB.
    pub resident_kb: u64,
    /// Open descriptors.
    pub fds: u64,
}

impl Peak {
    fn sample(&mut self, process: u32) {
        let status = std::fs::read_to_string(format!("/proc/{process}/status"));
        let status = status.unwrap_or_default();
        let mut lines = status.lines();
        let resident = lines.find_map(|line| line.strip_prefix("VmRSS:"));
        let resident = resident.and_then(|text| text.trim().trim_end_matches(" kB").parse().ok());
        self.resident_kb = self.resident_kb.max(resident.unwrap_or_default());
        let fds = std::fs::read_dir(format!("/proc/{process}/fd"));
        let fds = fds.map_or(0, |entries| entries.count() as u64);
        self.fds = self.fds.max(fds);
    }
}

/// Runs this many of each kind of caller against a process for a time, however they are treated, and returns
/// the most that the process uses meanwhile.
///
/// # Panics
///
/// Panics if a thread does.
pub fn peak_with_crowd(
    process: u32,
    addr: SocketAddr,
    hold: Duration,
    members: &[(usize, CrowdCaller)],
) -> Peak {
    let is_over = AtomicBool::new(false);
    thread::scope(|scope| {
        let sampler = scope.spawn(|| {
            let mut peak = Peak::default();
            while !is_over.load(Ordering::SeqCst) {
                peak.sample(process);
                thread::sleep(SAMPLE_INTERVAL);
            }
            peak
        });
        run_crowd(addr, hold, members);
        is_over.store(true, Ordering::SeqCst);
        sampler.join().unwrap()
    })
}

fn run_crowd(addr: SocketAddr, hold: Duration, members: &[(usize, CrowdCaller)]) {
    let ends_at = Instant::now() + hold;
    thread::scope(|scope| {
        for (count, caller) in members {
            for _ in 0..*count {
                scope.spawn(move || {
                    let Ok(mut stream) = TcpStream::connect(addr) else {
                        return;
                    };
                    stream.set_write_timeout(Some(hold)).unwrap();
                    stream.set_read_timeout(Some(hold)).unwrap();
                    // The process may close or refuse the connection.
                    let _ = caller(&mut stream);
                    thread::sleep(ends_at.saturating_duration_since(Instant::now()));
                });
            }
        }
    });
}
