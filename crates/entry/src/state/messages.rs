//! Messages between tasks and threads.

use std::sync::Arc;

use async_channel::Sender;
use kernel::Incarnation;
use policy::Observation;
use receipt::ReceiptDraft;
use store::AnswerSample;
use wire::Body;

use crate::state::exposure::ExposurePermit;

/// A receipt to be made durable.
pub(crate) struct PendingReceipt {
    /// The receipt, without its number.
    pub(crate) draft: ReceiptDraft,
    /// Receives one message when the receipt is durable, and closes without one if it is not.
    pub(crate) durable_ack: Option<Sender<()>>,
}

/// The report of one call to a version, for the control thread.
pub(crate) struct CallReport {
    /// The workspace.
    pub(crate) workspace: Arc<str>,
    /// The policy of the request; empty if there is none.
    pub(crate) policy: Arc<str>,
    /// The class, version and confidence of the answer, not rated yet.
    pub(crate) observation: Observation,
    /// The quality that the policy expected of the plan.
    pub(crate) planned: Option<PlannedQuality>,
    /// The answer to submit for rating, if it was sampled.
    pub(crate) sample: Option<AnswerSample>,
    /// The permit of a call to an unproven version, held until the answer is rated.
    pub(crate) exposure_permit: Option<ExposurePermit>,
    /// The outcome, counted as evidence of a roll-out.
    pub(crate) outcome: CallOutcome,
}

/// The quality that a policy expected of a plan.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct PlannedQuality {
    /// The expected share of good answers, from 0 to 1.
    pub(crate) quality: f64,
    /// The workspace's target share of good answers.
    pub(crate) target: f64,
}

/// The outcome of a call to a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallOutcome {
    /// An answer within the latency objective.
    Answered,
    /// An answer later than the latency objective.
    Slow,
    /// No answer.
    Failed,
}

/// A message from a peer to the control thread.
pub(crate) struct PeerMessage {
    /// The incarnation of the sender.
    pub(crate) from: Incarnation,
    /// The message.
    pub(crate) body: Body,
    /// Receives the reply, and closes without one if the message has none.
    pub(crate) reply: Sender<Body>,
}
