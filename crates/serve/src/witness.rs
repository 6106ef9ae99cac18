//! Idle connections to endpoints, on which only the runs that accepted them can answer.

use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_lite::FutureExt;
use relay::{LocalFuture, Socket};

use crate::endpoint::Endpoint;
use crate::endpoint_state::EndpointState;
use crate::placement::max_connections;
use crate::reach;
use crate::request_context::RequestContext;

/// How long a run that answers requests may take to accept a connection. Until then the connection may go to
/// a later run that takes over the listener.
pub(crate) const ACCEPT_TIME: Duration = Duration::from_millis(50);

/// How long a witness is kept that no answer needs.
const KEPT_TIME: Duration = Duration::from_secs(10);

/// Pause after a witness was refused.
const REFUSED_PAUSE: Duration = Duration::from_millis(500);

/// How often it is checked whether a witness is open.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// A witness that closes within this time before an answer ends has ended with it.
const SAME_TIME: Duration = Duration::from_millis(500);

/// The fewest connections that this instance may have to an endpoint, if one of them is to be idle.
const MIN_CONNECTIONS: u32 = 8;

/// An idle connection to an endpoint.
#[derive(Debug)]
struct Witness {
    socket: Socket,
    established_at: Instant,
    /// When it was last known to be open.
    open_at: Instant,
    wanted_at: Instant,
}

/// What the witness of an endpoint shows when an answer ends.
#[derive(Debug)]
pub(crate) enum Testimony {
    /// A connection established at a time is open. Only the run that accepted it can answer on it.
    Open(Socket, Instant),
    /// The connection closed when the answer ended: the run has ended, or the path to it was cut.
    Closed,
    /// There is no witness.
    None,
}

/// The place of the witness of one endpoint.
#[derive(Debug, Default)]
pub(crate) struct WitnessSlot {
    witness: RefCell<Option<Witness>>,
    is_opening: Cell<bool>,
    refused_at: Cell<Option<Instant>>,
}

impl WitnessSlot {
    /// Takes the witness for a question after the end of an answer.
    pub(crate) fn take(&self) -> Testimony {
        let Some(witness) = self.witness.take() else {
            return Testimony::None;
        };
        if witness.socket.check_silent().is_ok() {
            return Testimony::Open(witness.socket, witness.established_at);
        }
        if witness.open_at.elapsed() < SAME_TIME {
            return Testimony::Closed;
        }
        Testimony::None
    }

    /// Drops a witness that was closed before, or that no answer has needed for a while.
    pub(crate) fn drop_unused(&self) {
        let mut witness = self.witness.borrow_mut();
        if witness
            .as_ref()
            .is_some_and(|witness| witness.wanted_at.elapsed() >= KEPT_TIME)
        {
            *witness = None;
        }
    }

    /// Returns whether a witness is to be opened, and drops one that has closed while an answer goes on.
    fn is_wanted(&self) -> bool {
        if let Some(witness) = &mut *self.witness.borrow_mut() {
            let now = Instant::now();
            witness.wanted_at = now;
            if now < witness.open_at + CHECK_INTERVAL {
                return false;
            }
            if witness.socket.check_silent().is_ok() {
                witness.open_at = now;
                return false;
            }
        }
        self.witness.replace(None);
        let is_refused = self
            .refused_at
            .get()
            .is_some_and(|at| at.elapsed() < REFUSED_PAUSE);
        !is_refused && !self.is_opening.get()
    }

    /// Sets the witness to a connection that is established now, or records that none is.
    pub(crate) fn set(&self, opened: io::Result<Socket>) {
        let now = Instant::now();
        match opened {
            Ok(socket) => {
                self.refused_at.set(None);
                self.witness.replace(Some(Witness {
                    socket,
                    established_at: now,
                    open_at: now,
                    wanted_at: now,
                }));
            }
            Err(err) => {
                tracing::debug!(error = %err, "life: no idle connection");
                self.refused_at.set(Some(now));
            }
        }
    }
}

/// Opens a witness of an endpoint while an answer of it is read.
#[derive(Default)]
pub(crate) struct Witnessing {
    opening: Option<LocalFuture<'static, ()>>,
}

/// Marks a slot as free for another attempt if opening is given up.
struct Opening {
    state: Rc<EndpointState>,
}

impl Drop for Opening {
    fn drop(&mut self) {
        self.state.witness.is_opening.set(false);
    }
}

impl Witnessing {
    /// Reads, and opens a witness meanwhile if there is none.
    pub(crate) async fn while_reading<T>(
        &mut self,
        context: &Rc<RequestContext>,
        endpoint: &Endpoint,
        state: &Rc<EndpointState>,
        read: impl Future<Output = T>,
    ) -> T {
        if self.opening.is_none() && state.witness.is_wanted() && has_room(context, endpoint, state)
        {
            state.witness.is_opening.set(true);
            let opening = Opening {
                state: state.clone(),
            };
            self.opening = Some(Box::pin(open(context.clone(), endpoint.clone(), opening)));
        }
        let opening = async {
            if let Some(opening) = &mut self.opening {
                opening.await;
            }
            self.opening = None;
            std::future::pending().await
        };
        read.or(opening).await
    }
}

async fn open(context: Rc<RequestContext>, endpoint: Endpoint, opening: Opening) {
    let state = &opening.state;
    let opened = reach::connect(&context, &endpoint, state).await;
    state.witness.set(opened);
}

/// Returns whether the endpoint has room for an idle connection of each instance.
fn has_room(context: &RequestContext, endpoint: &Endpoint, state: &EndpointState) -> bool {
    let view = context.view();
    let service = view
        .table
        .as_ref()
        .and_then(|table| table.service(&endpoint.service));
    let share = service.map_or(0, |service| {
        max_connections(service.max_connections, view.instance_count)
    });
    share >= MIN_CONNECTIONS
        && state.connections() < share
        && state.wanted_pause_ms(context.now_ms()) == 0
        && !state.is_leaving()
}
