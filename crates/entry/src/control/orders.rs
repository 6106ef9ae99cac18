//! Orders to endpoints: load a version before its roll-out begins.
//!
//! An order carries a fencing number, the revision of the configuration that it comes from. Endpoints
//! that check it refuse older orders. What protects those that do not: an order only adds a version,
//! sending it twice or late changes nothing more, and no order routes a request. Requests follow the
//! configuration alone.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use catalog::{Pool, Snapshot, Version};
use futures_lite::FutureExt;
use http_types::{Method, Request, Url};
use serde::Serialize;
use smol::Timer;
use store::WeightStore;
use web::ConnectionReuse;

use crate::control::state::Control;

/// How long an endpoint may take to answer an order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

/// The largest answer to an order, in bytes.
const MAX_ANSWER_BYTES: u64 = 64 << 10;

/// An order.
#[derive(Debug, Serialize)]
struct Order<'a> {
    order: &'static str,
    version: &'a str,
    fencing: u64,
}

/// Orders the endpoints of a version's pool to load it, and returns whether at least one did.
///
/// Nothing is ordered while the weight store does not know the version.
pub(super) async fn load(control: &Control, snapshot: &Snapshot, version: &Version) -> bool {
    if let Err(err) = control.shared.platform.weights(&version.name).await {
        tracing::warn!("order: no weights of {} yet, {err}", version.name);
        return false;
    }
    let Some(pool) = snapshot.pools.get(&version.pool) else {
        return false;
    };
    let mut accepted = 0;
    for addr in addresses(pool) {
        let order = Order {
            order: "load",
            version: &version.name,
            fencing: snapshot.revision,
        };
        accepted += usize::from(send(control, addr, &order).await);
    }
    tracing::info!(
        "order: load {} accepted by {accepted} of {}",
        version.name,
        pool.endpoints.len()
    );
    accepted > 0
}

fn addresses(pool: &Arc<Pool>) -> Vec<SocketAddr> {
    let serving = pool.endpoints.iter().filter(|endpoint| !endpoint.draining);
    serving
        .filter_map(|endpoint| endpoint.addr.parse().ok())
        .collect()
}

async fn send(control: &Control, addr: SocketAddr, order: &Order<'_>) -> bool {
    let Ok(url) = Url::parse(&format!("http://{addr}/orders")) else {
        return false;
    };
    let mut request = Request::new(Method::Post, url);
    request.set_body(serde_json::to_vec(order).unwrap_or_default());
    let exchange = async {
        let mut reply = control
            .shared
            .http_client
            .send(addr, request, ConnectionReuse::Never)
            .await
            .ok()?;
        reply.read_body(MAX_ANSWER_BYTES).await.ok()?;
        Some(reply.status() == 200)
    };
    let expire = async {
        Timer::after(ORDER_TIMEOUT).await;
        None
    };
    exchange.or(expire).await.unwrap_or(false)
}
