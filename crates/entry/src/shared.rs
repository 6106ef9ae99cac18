//! What the traffic threads share.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64};

use arc_swap::ArcSwap;
use async_channel::Sender;
use kernel::{Clock, Incarnation};
use policy::Observation;
use receipt::Draft;
use smol::Executor;
use store::{HttpPlatform, Sample};
use upstream::Dispatcher;
use web::Client;

use crate::exposure::{Exposed, Exposure};
use crate::holdings::Holdings;
use crate::keyed::Keyed;
use crate::metrics::Metrics;
use crate::peers::PeerCall;
use crate::quota::Quota;
use crate::record::Recorder;
use crate::settings::Settings;
use crate::view::View;

/// A receipt on its way to the recorder.
pub(crate) struct Bill {
    /// What is billed.
    pub(crate) draft: Draft,
    /// Closed, after one message if the receipt is durable.
    pub(crate) durable: Option<Sender<()>>,
}

/// How a call on a version ended, for the control thread.
pub(crate) struct Lesson {
    /// The workspace.
    pub(crate) workspace: Arc<str>,
    /// The policy that planned.
    pub(crate) policy: Arc<str>,
    /// What was seen; unrated.
    pub(crate) observation: Observation,
    /// The expected quality of the plan, if a policy planned it.
    pub(crate) planned: Option<Planned>,
    /// The answer to be rated, if it was sampled.
    pub(crate) sample: Option<Sample>,
    /// The allowance that the request uses until it is rated.
    pub(crate) exposed: Option<Exposed>,
    /// How the call ended, for the evidence of a roll-out.
    pub(crate) ending: Ending,
}

/// What a policy expected of a plan.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Planned {
    /// The expected share of good answers.
    pub(crate) quality: f64,
    /// The workspace's target.
    pub(crate) target: f64,
}

/// How a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Ending {
    /// With an answer within the objective.
    Answered,
    /// With an answer that was too slow.
    Slow,
    /// Without an answer.
    Failed,
}

/// What the traffic threads share. Nothing here waits for the control thread.
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) me: Incarnation,
    pub(crate) started_ms: u64,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) view: ArcSwap<View>,
    pub(crate) dispatcher: Dispatcher,
    pub(crate) peers: Client,
    pub(crate) platform: Arc<HttpPlatform>,
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
