//! The paths between gates and endpoints, which can be cut for one gate.

use std::net::TcpStream;
use std::os::fd::AsRawFd;
use std::sync::Mutex;
use std::time::Duration;

/// The process whose paths are cut.
static CUT: Mutex<Option<u32>> = Mutex::new(None);

/// How long a path takes to reset a connection that it accepted.
const RESET_TIME: Duration = Duration::from_millis(2);

unsafe extern "C" {
    fn setsockopt(socket: i32, level: i32, option: i32, value: *const i32, length: u32) -> i32;
}

/// Cuts the paths of a process, or heals them.
pub fn set_cut(process: Option<u32>) {
    *CUT.lock().unwrap() = process;
}

/// Returns whether a connection is of the process whose paths are cut.
pub fn is_cut(stream: &TcpStream) -> bool {
    let Some(process) = *CUT.lock().unwrap() else {
        return false;
    };
    let Ok(port) = stream.peer_addr().map(|addr| addr.port()) else {
        return false;
    };
    inode_of(port).is_some_and(|inode| has_socket(process, &inode))
}

/// Returns the inode of the socket with this local port on the loopback interface.
fn inode_of(port: u16) -> Option<String> {
    let table = std::fs::read_to_string("/proc/self/net/tcp").ok()?;
    let local = format!("0100007F:{port:04X}");
    let mut found = table.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
    let found = found.find(|fields| fields.get(1) == Some(&&*local) && fields.get(9) != Some(&"0"))?;
    found.get(9).map(|inode| inode.to_string())
}

fn has_socket(process: u32, inode: &str) -> bool {
    let Ok(entries) = std::fs::read_dir(format!("/proc/{process}/fd")) else {
        return false;
    };
    let name = format!("socket:[{inode}]");
    let mut targets = entries.flatten().map(|entry| std::fs::read_link(entry.path()));
    targets.any(|target| target.is_ok_and(|target| target.to_string_lossy() == name))
}

/// Resets a connection when it is dropped, after the time of the path.
pub fn reset(stream: &TcpStream) {
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    std::thread::sleep(RESET_TIME);
    let linger = [1, 0];
    let set = unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, linger.as_ptr(), 8) };
    assert_eq!(set, 0);
}
