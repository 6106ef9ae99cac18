//! Listening for and accepting connections.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::{Async, Timer};

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
        })
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
            let handler = self.handler.clone();
            let drain = self.drain.clone();
            executor
                .spawn(connection::serve(socket, peer_addr, handler, drain))
                .detach();
        }
    }
}
