//! Accepting connections.

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

/// How long accepting pauses after it failed, for instance because no descriptor was left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// A listener with the handler of its requests.
pub struct Server {
    listener: Async<TcpListener>,
    handler: Rc<dyn Handler>,
    drain: Rc<DrainState>,
}

impl Server {
    /// Listens on an address.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
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

    /// Returns the address.
    ///
    /// # Errors
    ///
    /// Fails when the system does not tell.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.get_ref().local_addr()
    }

    /// Accepts connections for as long as the future is polled.
    pub async fn run(self, executor: Rc<LocalExecutor<'static>>) {
        loop {
            let (stream, peer) = match self.listener.accept().await {
                Ok(accepted) => accepted,
                Err(err) => {
                    tracing::warn!(error = %err, "listen: accept failed");
                    Timer::after(ACCEPT_PAUSE).await;
                    continue;
                }
            };
            let Ok(socket) = Socket::new(stream) else {
                continue;
            };
            let handler = self.handler.clone();
            let drain = self.drain.clone();
            executor
                .spawn(connection::serve(socket, peer, handler, drain))
                .detach();
        }
    }
}
