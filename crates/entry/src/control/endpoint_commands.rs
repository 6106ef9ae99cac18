//! Commands to endpoints: load a version before its roll-out begins.
//!
//! A command carries a fencing number, the revision of the configuration that it comes from.
//! Endpoints that check it refuse older commands. Endpoints that do not are still safe: a command
//! only adds a version, a repeated or late one changes nothing more, and commands never route
//! requests. Routing follows the configuration alone.

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

use crate::control::state::ControlState;

/// The timeout of one command to one endpoint.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(2);

/// The maximum size of the response to a command.
const MAX_RESPONSE_BYTES: u64 = 64 << 10;

/// The body of a command.
#[derive(Debug, Serialize)]
struct Command<'a> {
    #[serde(rename = "order")]
    command: &'static str,
    version: &'a str,
    fencing: u64,
}

/// Tells the endpoints of a version's pool to load it, and returns whether at least one accepted.
///
/// No command is sent while the weight store does not have the version.
pub(super) async fn load_version(
    control: &ControlState,
    snapshot: &Snapshot,
    version: &Version,
) -> bool {
    if let Err(err) = control.shared.platform.weights(&version.name).await {
        tracing::warn!("order: cannot get the weights of {}, {err}", version.name);
        return false;
    }
    let Some(pool) = snapshot.pools.get(&version.pool) else {
        return false;
    };
    let mut accepted = 0;
    for addr in addresses(pool) {
        let command = Command {
            command: "load",
            version: &version.name,
            fencing: snapshot.revision,
        };
        accepted += usize::from(send(control, addr, &command).await);
    }
    tracing::info!(
        "order: load {} accepted by {accepted} of {} endpoints",
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

async fn send(control: &ControlState, addr: SocketAddr, command: &Command<'_>) -> bool {
    let Ok(url) = Url::parse(&format!("http://{addr}/orders")) else {
        return false;
    };
    let mut request = Request::new(Method::Post, url);
    request.set_body(serde_json::to_vec(command).unwrap_or_default());
    let exchange = async {
        let mut response = control
            .shared
            .http_client
            .send(addr, request, ConnectionReuse::Never)
            .await
            .ok()?;
        response.read_body(MAX_RESPONSE_BYTES).await.ok()?;
        Some(response.status() == 200)
    };
    let expire = async {
        Timer::after(COMMAND_TIMEOUT).await;
        None
    };
    exchange.or(expire).await.unwrap_or(false)
}
