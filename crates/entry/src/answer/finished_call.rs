//! Reports finished calls to versions to the control thread.

use std::sync::Arc;

use policy::{EscalatedAnswer, Observation};
use store::AnswerSample;
use upstream::Completion;

use crate::answer::context::Context;
use crate::answer::plan::PlannedCall;
use crate::state::messages::{CallOutcome, CallReport, PlannedQuality};
use crate::state::shared::Shared;

/// The result of one call to a version.
pub(crate) struct FinishedCall {
    planned: PlannedCall,
    escalated_from: Option<EscalatedAnswer>,
    confidence: Option<f64>,
    text: String,
    outcome: CallOutcome,
    superseded: bool,
}

impl FinishedCall {
    /// Describes a call without an answer.
    pub(crate) fn failed(planned: PlannedCall) -> FinishedCall {
        FinishedCall::streamed(planned, String::new(), CallOutcome::Failed)
    }

    /// Describes a streamed call.
    pub(crate) fn streamed(
        planned: PlannedCall,
        text: String,
        outcome: CallOutcome,
    ) -> FinishedCall {
        FinishedCall {
            planned,
            escalated_from: None,
            confidence: None,
            text,
            outcome,
            superseded: false,
        }
    }

    /// Describes a call whose answer was read completely.
    pub(crate) fn answered(
        planned: PlannedCall,
        completion: &Completion,
        outcome: CallOutcome,
    ) -> FinishedCall {
        let confidence = completion.confidence;
        FinishedCall {
            confidence,
            ..FinishedCall::streamed(planned, completion.text.clone(), outcome)
        }
    }

    /// Records that the caller gets the answer of the other call of the cascade.
    pub(crate) fn superseded(mut self) -> FinishedCall {
        self.superseded = true;
        self
    }

    /// Records the first answer of the cascade, which was not confident enough.
    pub(crate) fn escalated_from(mut self, answer: EscalatedAnswer) -> FinishedCall {
        self.escalated_from = Some(answer);
        self
    }
}

/// Sends the results of the calls of one request to the control thread.
pub(crate) struct CallReporter {
    pub(crate) policy: Arc<str>,
    pub(crate) sample_share: f64,
    pub(crate) planned_quality: Option<PlannedQuality>,
}

impl CallReporter {
    /// Sends the result of one call, with its answer if that is to be rated: every answer of an
    /// unproven version, and a sample of the others.
    pub(crate) fn send(&self, shared: &Shared, context: &Context, call: FinishedCall) {
        let version = call.planned.version.name.clone();
        let is_sampled =
            call.planned.exposure_permit.is_some() || fastrand::f64() < self.sample_share;
        let sample = (is_sampled && call.outcome != CallOutcome::Failed).then(|| AnswerSample {
            id: format!("{}/{version}", context.request_id).into(),
            version: version.clone(),
            class: context.class.clone(),
            answer: call.text,
        });
        let report = CallReport {
            workspace: context.workspace.name.clone(),
            policy: self.policy.clone(),
            observation: Observation {
                class: context.class.clone(),
                version,
                escalated_from: call.escalated_from,
                confidence: call.confidence,
                good: None,
            },
            planned: self.planned_quality.filter(|_| !call.superseded),
            sample,
            exposure_permit: call.planned.exposure_permit,
            outcome: call.outcome,
        };
        // A result that finds the channel full is dropped, which releases the allowance it holds.
        drop(shared.call_reports.try_send(report));
    }
}
