//! What tasks and threads hand to one another.

use std::sync::Arc;

use async_channel::Sender;
use kernel::Incarnation;
use policy::Observation;
use receipt::ReceiptDraft;
use store::AnswerSample;
use wire::Body;

use crate::state::exposure::ExposurePermit;

/// A receipt on its way to the recorder.
pub(crate) struct PendingReceipt {
    /// What is billed.
    pub(crate) draft: ReceiptDraft,
    /// Closed, after one message if the receipt is durable.
    pub(crate) durable_ack: Option<Sender<()>>,
}

/// How a call on a version ended, for the control thread.
pub(crate) struct CallReport {
    /// The workspace.
    pub(crate) workspace: Arc<str>,
    /// The policy that planned.
    pub(crate) policy: Arc<str>,
    /// What was seen; unrated.
    pub(crate) observation: Observation,
    /// The expected quality of the plan, if a policy planned it.
    pub(crate) planned: Option<PlannedQuality>,
    /// The answer to be rated, if it was sampled.
    pub(crate) sample: Option<AnswerSample>,
    /// The allowance that the request uses until it is rated.
    pub(crate) exposure_permit: Option<ExposurePermit>,
    /// How the call ended, for the evidence of a roll-out.
    pub(crate) outcome: CallOutcome,
}

/// What a policy expected of a plan.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct PlannedQuality {
    /// The expected share of good answers.
    pub(crate) quality: f64,
    /// The workspace's target.
    pub(crate) target: f64,
}

/// How a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallOutcome {
    /// With an answer within the objective.
    Answered,
    /// With an answer that was too slow.
    Slow,
    /// Without an answer.
    Failed,
}

/// A message for the control thread.
pub(crate) struct PeerMessage {
    /// The sender.
    pub(crate) from: Incarnation,
    /// The message.
    pub(crate) body: Body,
    /// Where the answer goes; closed without one for a message that has none.
    pub(crate) reply: Sender<Body>,
}
