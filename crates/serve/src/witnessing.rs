//! Keeping idle connections to the endpoints whose answers are read.

use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use async_io::Timer;
use bytes::Bytes;
use futures_lite::FutureExt;
use relay::{Exchange, LocalFuture};

use crate::endpoint::Endpoint;
use crate::endpoint_state::EndpointState;
use crate::placement::max_connections;
use crate::reach;
use crate::request_context::RequestContext;
use crate::witness::CHECK_INTERVAL;

/// The fewest connections that this instance may have to an endpoint, if one of them is to be idle.
const MIN_CONNECTIONS: u32 = 8;

/// Watches the witness of an endpoint while an answer of it is read.
#[derive(Default)]
pub(crate) struct Witnessing {
    watching: Option<LocalFuture<'static, ()>>,
}

impl Witnessing {
    /// Reads, and keeps a witness meanwhile.
    pub(crate) async fn while_reading<T>(
        &mut self,
        context: &Rc<RequestContext>,
        endpoint: &Arc<Endpoint>,
        state: &Rc<EndpointState>,
        read: impl Future<Output = T>,
    ) -> T {
        let watching = self.watching.get_or_insert_with(|| {
            Box::pin(watch(context.clone(), endpoint.clone(), state.clone()))
        });
        let watching = async {
            watching.await;
            std::future::pending().await
        };
        read.or(watching).await
    }
}

/// Reads a whole body, and has a witness of its endpoint meanwhile if only the end of the connection ends it.
///
/// # Errors
///
/// Fails if the body is truncated, malformed or too large.
pub(crate) async fn read_to_end(
    context: &Rc<RequestContext>,
    endpoint: &Arc<Endpoint>,
    state: &Rc<EndpointState>,
    exchange: &mut Exchange,
) -> io::Result<Bytes> {
    let ends_with_connection = exchange.ends_with_connection();
    let reading = context.buffered_bytes.read_to_end(exchange);
    if !ends_with_connection {
        return reading.await;
    }
    Witnessing::default()
        .while_reading(context, endpoint, state, reading)
        .await
}

/// Opens witnesses of an endpoint, and notices when they close.
async fn watch(context: Rc<RequestContext>, endpoint: Arc<Endpoint>, state: Rc<EndpointState>) {
    let began_at = Instant::now();
    loop {
        state.witness.record_going_on(began_at);
        let is_wanted = state.witness.is_wanted();
        if is_wanted && !has_room(&context, &endpoint, &state) {
            state.witness.drop_aged();
        } else if is_wanted {
            let _opening = state.witness.begin_opening();
            let opened = reach::connect(&context, &endpoint, &state).await;
            state.witness.set(opened);
        }
        Timer::after(CHECK_INTERVAL).await;
    }
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
