//! Reports finished calls to versions to the control thread.

use std::sync::Arc;

use policy::{EscalatedAnswer, Observation};
use store::AnswerSample;
use upstream::Completion;

use crate::answer::context::Context;
use crate::answer::plan::PlannedCall;
use crate::state::messages::{Ending, Lesson, Planned};
use crate::state::shared::Shared;

/// The result of one call to a version.
pub(crate) struct FinishedCall {
    planned: PlannedCall,
    escalated_from: Option<EscalatedAnswer>,
    confidence: Option<f64>,
    text: String,
    ending: Ending,
    superseded: bool,
}

impl FinishedCall {
    /// Describes a call without an answer.
    pub(crate) fn failed(planned: PlannedCall) -> FinishedCall {
        FinishedCall::streamed(planned, String::new(), Ending::Failed)
    }

    /// Describes a streamed call.
    pub(crate) fn streamed(planned: PlannedCall, text: String, ending: Ending) -> FinishedCall {
        FinishedCall {
            planned,
            escalated_from: None,
            confidence: None,
            text,
            ending,
            superseded: false,
        }
    }

    /// Describes a call whose answer was read completely.
    pub(crate) fn answered(
        planned: PlannedCall,
        completion: &Completion,
        ending: Ending,
    ) -> FinishedCall {
        let confidence = completion.confidence;
        FinishedCall {
            confidence,
            ..FinishedCall::streamed(planned, completion.text.clone(), ending)
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
    pub(crate) planned: Option<Planned>,
}

impl CallReporter {
    /// Sends the result of one call, with its answer if that is to be rated: every answer of an
    /// unproven version, and a sample of the others.
    pub(crate) fn send(&self, shared: &Shared, context: &Context, call: FinishedCall) {
        let version = call.planned.version.name.clone();
        let is_sampled = call.planned.exposed.is_some() || fastrand::f64() < self.sample_share;
        let sample = (is_sampled && call.ending != Ending::Failed).then(|| AnswerSample {
            id: format!("{}/{version}", context.request_id).into(),
            version: version.clone(),
            class: context.class.clone(),
            answer: call.text,
        });
        let lesson = Lesson {
            workspace: context.workspace.name.clone(),
            policy: self.policy.clone(),
            observation: Observation {
                class: context.class.clone(),
                version,
                escalated_from: call.escalated_from,
                confidence: call.confidence,
                good: None,
            },
            planned: self.planned.filter(|_| !call.superseded),
            sample,
            exposed: call.planned.exposed,
            ending: call.ending,
        };
        // A result that finds the channel full is dropped, which releases the allowance it holds.
        drop(shared.lessons.try_send(lesson));
    }
}
