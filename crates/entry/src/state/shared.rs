//! State shared by all threads of an instance.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use arc_swap::ArcSwap;
use async_channel::Sender;
use kernel::{Clock, Incarnation};
use smol::Executor;
use store::HttpPlatformClient;
use upstream::Dispatcher;
use web::Client;
use wire::{Identity, Link, LinkError};

use crate::metrics::Metrics;
use crate::settings::Settings;
use crate::state::exposure::ExposureLimiter;
use crate::state::keyed_requests::KeyedRequests;
use crate::state::messages::{CallReport, PeerMessage, PendingReceipt};
use crate::state::outbox::SharedOutbox;
use crate::state::peer_receipts::PeerReceipts;
use crate::state::quotas::WorkspaceQuotas;
use crate::state::view::View;

/// State shared by all threads. Reading it never waits for the control thread.
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) incarnation: Incarnation,
    pub(crate) identity: Identity,
    pub(crate) started_ms: u64,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) view: ArcSwap<View>,
    pub(crate) dispatcher: Dispatcher,
    pub(crate) http_client: Client,
    pub(crate) platform: Arc<HttpPlatformClient>,
    pub(crate) keyed_requests: KeyedRequests,
    pub(crate) quotas: WorkspaceQuotas,
    pub(crate) exposure: ExposureLimiter,
    pub(crate) metrics: Metrics,
    pub(crate) outbox: SharedOutbox,
    pub(crate) peer_receipts: PeerReceipts,
    pub(crate) peer_messages: Sender<PeerMessage>,
    /// The homes of held receipts whose links closed.
    pub(crate) closed_links: Sender<Incarnation>,
    pub(crate) receipt_queue: Sender<PendingReceipt>,
    pub(crate) call_reports: Sender<CallReport>,
    /// The store revision up to which the configuration is complete and in force.
    pub(crate) complete_revision: AtomicU64,
    /// Bytes sent to and received from peers.
    pub(crate) peer_bytes: Arc<AtomicU64>,
    /// Of the listener for callers, once it is bound.
    pub(crate) capacity: OnceLock<Arc<web::Capacity>>,
    pub(crate) stopping: AtomicBool,
    /// Set once a connection of another fleet was refused.
    pub(crate) other_fleet_seen: AtomicBool,
    pub(crate) executor: Arc<Executor<'static>>,
}

impl Shared {
    /// Connects to a peer.
    pub(crate) async fn connect_peer(
        &self,
        addr: SocketAddr,
        timeout: Duration,
    ) -> Result<Link, LinkError> {
        let link = self.identity.connect(addr, timeout).await?;
        Ok(link.metered(&self.peer_bytes))
    }

    /// Logs that a connection of another fleet was refused; as a warning the first time only.
    pub(crate) fn log_other_fleet(&self, err: &LinkError) {
        if self.other_fleet_seen.swap(true, Ordering::Relaxed) {
            tracing::debug!("member: connection refused, {err}");
        } else {
            tracing::warn!("member: connection refused, {err}");
        }
    }
}
