//! Listening for and accepting connections.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::{Async, Timer};

use crate::account::Origin;
use crate::capacity::Capacity;
use crate::connection;
use crate::limits::DrainState;
use crate::message::Handler;
use crate::socket::Socket;

/// Delay after a failed accept, for example when no file descriptors are left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// A listener whose requests go to one handler.
pub struct Server {
    listener: Async<TcpListener>,
    handler: Rc<dyn Handler>,
    drain: Rc<DrainState>,
    capacity: Rc<Capacity>,
    origin: Origin,
}

impl Server {
    /// Binds a listener to an address.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub fn bind(
        addr: SocketAddr,
        handler: Rc<dyn Handler>,
        drain: Rc<DrainState>,
    ) -> io::Result<Server> {
        let listener = Async::<TcpListener>::bind(addr)?;
        Ok(Server {
            listener,
            handler,
            drain,
            capacity: Rc::default(),
            origin: Origin::Callers,
        })
    }

    /// Sets the capacity that it shares with other servers, and whose connections it accepts. Without it, it has
    /// one of its own without bounds.
    pub fn capacity(mut self, capacity: Rc<Capacity>, origin: Origin) -> Server {
        self.capacity = capacity;
        self.origin = origin;
        self
    }

    /// Returns the bound address, with the port that the system assigned.
    ///
    /// # Errors
    ///
    /// Fails if the system call fails.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.get_ref().local_addr()
    }

    /// Accepts connections until dropped; each is served by a task on `executor`.
    pub async fn run(self, executor: Rc<LocalExecutor<'static>>) {
        loop {
            turn::yield_if_over().await;
            let (stream, peer_addr) = match self.listener.accept().await {
                Ok(accepted) => accepted,
                Err(err) => {
                    tracing::warn!(error = %err, "listen: accept failed");
                    Timer::after(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            };
            let Ok(socket) = Socket::new(stream) else {
                continue;
            };
            let Some(seat) = self.capacity.admit(peer_addr.ip(), self.origin).await else {
                connection::refuse(&socket);
                continue;
            };
            if let Some(bytes) = self.capacity.kernel_buffer_bytes() {
                socket.bound_kernel_buffers(bytes);
            }
            let handler = self.handler.clone();
            let drain = self.drain.clone();
            executor
                .spawn(connection::serve(socket, seat, peer_addr, handler, drain))
                .detach();
        }
    }
}
