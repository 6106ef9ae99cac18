//! A link of limited bandwidth in front of an instance.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How many bytes are forwarded at once.
const CHUNK_BYTES: usize = 8 << 10;

/// The time at which a link has sent all that was handed to it.
#[derive(Clone)]
struct Link {
    bytes_per_s: f64,
    free_at: Arc<Mutex<Instant>>,
}

impl Link {
    fn new(bytes_per_s: f64) -> Link {
        Link {
            bytes_per_s,
            free_at: Arc::new(Mutex::new(Instant::now())),
        }
    }

    /// Waits until the link has sent some bytes, behind those of other connections.
    fn send(&self, bytes: usize) {
        let duration = Duration::from_secs_f64(bytes as f64 / self.bytes_per_s);
        let until = {
            let mut free_at = self.free_at.lock().unwrap();
            *free_at = (*free_at).max(Instant::now()) + duration;
            *free_at
        };
        thread::sleep(until.saturating_duration_since(Instant::now()));
    }
}

/// Listens on an address of its own and forwards connections to `target`. All bytes that the target
/// sends share the bandwidth.
pub fn start(target: SocketAddr, bytes_per_s: f64) -> SocketAddr {
    let link = Link::new(bytes_per_s);
    forward(target, move || link.clone())
}

/// Like [`start`], but each connection has the bandwidth for itself, as on a link that loses packets.
pub fn start_lossy(target: SocketAddr, bytes_per_s: f64) -> SocketAddr {
    forward(target, move || Link::new(bytes_per_s))
}

fn forward(target: SocketAddr, link: impl Fn() -> Link + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let Ok(server) = TcpStream::connect(target) else {
                continue;
            };
            let (client_in, server_out) =
                (client.try_clone().unwrap(), server.try_clone().unwrap());
            thread::spawn(move || copy(client_in, server_out, None));
            let link = link();
            thread::spawn(move || copy(server, client, Some(link)));
        }
    });
    addr
}

fn copy(mut from: TcpStream, mut to: TcpStream, link: Option<Link>) {
    let mut chunk = [0; CHUNK_BYTES];
    loop {
        let count = match from.read(&mut chunk) {
            Ok(0) | Err(_) => break,
            Ok(count) => count,
        };
        if let Some(link) = &link {
            link.send(count);
        }
        if to.write_all(&chunk[..count]).is_err() {
            break;
        }
    }
    // The other direction may have closed the sockets already.
    let _ = to.shutdown(Shutdown::Write);
    let _ = from.shutdown(Shutdown::Read);
}
