//! What the traffic threads share.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64};

use arc_swap::ArcSwap;
use async_channel::Sender;
use kernel::{Clock, Incarnation};
use smol::Executor;
use store::HttpPlatformClient;
use upstream::Dispatcher;
use web::Client;

use crate::metrics::Metrics;
use crate::settings::Settings;
use crate::state::exposure::Exposure;
use crate::state::holdings::Holdings;
use crate::state::keyed::Keyed;
use crate::state::messages::{Bill, Lesson, PeerCall};
use crate::state::quota::Quota;
use crate::state::recorder::Recorder;
use crate::state::view::View;

/// What the traffic threads share. Nothing here waits for the control thread.
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) me: Incarnation,
    pub(crate) started_ms: u64,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) view: ArcSwap<View>,
    pub(crate) dispatcher: Dispatcher,
    pub(crate) peers: Client,
    pub(crate) platform: Arc<HttpPlatformClient>,
    pub(crate) keyed: Keyed,
    pub(crate) quota: Quota,
    pub(crate) exposure: Exposure,
    pub(crate) metrics: Metrics,
    pub(crate) recorder: Recorder,
    pub(crate) holdings: Holdings,
    pub(crate) peer_calls: Sender<PeerCall>,
    pub(crate) bills: Sender<Bill>,
    pub(crate) lessons: Sender<Lesson>,
    /// The store's revision up to which all configuration is in force.
    pub(crate) complete_revision: AtomicU64,
    /// Bytes sent to and received from peers.
    pub(crate) peer_bytes: Arc<AtomicU64>,
    pub(crate) stopping: AtomicBool,
    pub(crate) executor: Arc<Executor<'static>>,
}
