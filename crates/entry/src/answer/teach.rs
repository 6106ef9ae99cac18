//! What calls on versions teach the control thread.

use std::sync::Arc;

use policy::{EscalatedAnswer, Observation};
use store::AnswerSample;
use upstream::Completion;

use crate::answer::context::Context;
use crate::answer::plan::Leg;
use crate::state::messages::{CallOutcome, CallReport, PlannedQuality};
use crate::state::shared::Shared;

/// How one call on a version ended.
pub(crate) struct CallEnd {
    leg: Leg,
    unsure: Option<EscalatedAnswer>,
    confidence: Option<f64>,
    text: String,
    ending: CallOutcome,
    last: bool,
}

impl CallEnd {
    /// Makes the end of a call without an answer.
    pub(crate) fn failed(leg: Leg) -> CallEnd {
        CallEnd::streamed(leg, String::new(), CallOutcome::Failed)
    }

    /// Makes the end of a streamed call.
    pub(crate) fn streamed(leg: Leg, text: String, ending: CallOutcome) -> CallEnd {
        CallEnd {
            leg,
            unsure: None,
            confidence: None,
            text,
            ending,
            last: true,
        }
    }

    pub(crate) fn answered(leg: Leg, completion: &Completion, ending: CallOutcome) -> CallEnd {
        let confidence = completion.confidence;
        CallEnd {
            confidence,
            ..CallEnd::streamed(leg, completion.text.clone(), ending)
        }
    }

    /// Notes that the caller got another answer than this one.
    pub(crate) fn not_last(mut self) -> CallEnd {
        self.last = false;
        self
    }

    /// Notes the answer that was not kept before.
    pub(crate) fn after(mut self, unsure: EscalatedAnswer) -> CallEnd {
        self.unsure = Some(unsure);
        self
    }
}

/// Hands what calls taught to the control thread.
pub(crate) struct Teacher {
    pub(crate) policy: Arc<str>,
    pub(crate) sample_share: f64,
    pub(crate) planned: Option<PlannedQuality>,
}

impl Teacher {
    /// Hands on one call. Every answer of an unproven version is rated, of others a sample.
    pub(crate) fn teach(&self, shared: &Shared, context: &Context, end: CallEnd) {
        let version = end.leg.version.name.clone();
        let wanted = end.leg.exposed.is_some() || fastrand::f64() < self.sample_share;
        let sample = (wanted && end.ending != CallOutcome::Failed).then(|| AnswerSample {
            id: format!("{}/{version}", context.request).into(),
            version: version.clone(),
            class: context.class.clone(),
            answer: end.text,
        });
        let lesson = CallReport {
            workspace: context.workspace.name.clone(),
            policy: self.policy.clone(),
            observation: Observation {
                class: context.class.clone(),
                version,
                escalated_from: end.unsure,
                confidence: end.confidence,
                good: None,
            },
            planned: self.planned.filter(|_| end.last),
            sample,
            exposure_permit: end.leg.exposed,
            outcome: end.ending,
        };
        // A lesson that finds no room is dropped; the allowance that it carries is given back.
        drop(shared.call_reports.try_send(lesson));
    }
}
