//! The pool of idle client connections.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

use relay::Socket;

/// Maximum number of idle connections kept per address.
const MAX_IDLE_PER_ADDR: usize = 64;

/// The idle connections of a client, by address.
#[derive(Default)]
pub(crate) struct Pool {
    idle: Mutex<HashMap<SocketAddr, Vec<Socket>>>,
}

impl Pool {
    /// Removes and returns a reusable connection; drops the others that it finds.
    pub(crate) fn take(&self, addr: SocketAddr) -> Option<Socket> {
        while let Some(socket) = self.pop(addr) {
            if is_reusable(&socket) {
                return Some(socket);
            }
        }
        None
    }

    /// Adds an idle connection, or drops it if the pool has enough for the address.
    pub(crate) fn put(&self, addr: SocketAddr, socket: Socket) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let sockets = idle.entry(addr).or_default();
        if sockets.len() < MAX_IDLE_PER_ADDR {
            sockets.push(socket);
        }
    }

    fn pop(&self, addr: SocketAddr) -> Option<Socket> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.get_mut(&addr)?.pop()
    }
}

/// Returns whether the connection is open and has no unread bytes, which would be taken for the
/// response to the next request.
fn is_reusable(socket: &Socket) -> bool {
    socket.buffered().is_empty() && socket.check_silent().is_ok()
}
