//! One request under way, and what may still be done with it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use kernel::{Failure, Reason, Verdict};
use relay::{Request, ResponseHead};
use route::{Route, Workspace};
use xxhash_rust::xxh3::xxh3_64;

use crate::desk::Desk;
use crate::endpoint::Endpoint;
use crate::pace::Kind;
use crate::request::RequestInfo;
use crate::station::{Station, StationKey};

/// How many endpoints may turn a request away before its caller is told to come back.
const MAX_REFUSALS: u32 = 4;

/// The urgency of rank 0 among an endpoint's requests.
const FIRST_URGENCY: u8 = 2;

/// How many steps of urgency one rank is.
const URGENCY_STEP: u8 = 2;

/// The least urgent step that endpoints know.
const LAST_URGENCY: u8 = 9;

/// The shortest moment to come back, in milliseconds: some times the way to callers and back.
const MIN_COMEBACK_MS: u64 = 50;

/// Callers keep to a moment within a third of their time; a quarter leaves room for the way.
const COMEBACK_SHARE: u64 = 4;

/// How many of its objectives a repeatable plain request waits for one endpoint.
const PATIENCE: f64 = 2.5;

/// How many of its objectives a stream waits for one endpoint at least: sending a long prompt
/// elsewhere reads it again.
const STREAM_PATIENCE: f64 = 2.0;

/// How many of the endpoint's usual times to a first event a stream waits at least.
const PATIENCE_OF_USUAL: f64 = 6.0;

/// One request under way.
pub(crate) struct Job {
    pub(crate) call: Request,
    pub(crate) ask: RequestInfo,
    pub(crate) route: Arc<Route>,
    pub(crate) service: Arc<str>,
    pub(crate) max_connections: u32,
    pub(crate) workspace: Option<Arc<Workspace>>,
    pub(crate) deadline: Instant,
    /// The runs that turned it away or failed it.
    pub(crate) tried: Vec<StationKey>,
    /// How many endpoints got it.
    pub(crate) sends: u32,
    /// How many endpoints may have run it.
    pub(crate) runs: u32,
    pub(crate) refusals: u32,
    pub(crate) verdict: Verdict,
    /// The size of the model, as an index into the route's.
    pub(crate) size: Option<usize>,
    /// Whether a smaller model's answer was not good enough.
    pub(crate) escalated: bool,
    /// How sure the model was of its answer, from 0 to 100.
    pub(crate) confidence: Option<u8>,
    pub(crate) last_endpoint: Option<Arc<Endpoint>>,
    /// An endpoint's own failure, which the caller gets if nothing better comes.
    pub(crate) own_failure: Option<EndpointFailure>,
}

/// An endpoint's own whole answer that is no success.
pub(crate) struct EndpointFailure {
    pub(crate) head: ResponseHead,
    pub(crate) body: Bytes,
}

impl Job {
    /// Returns how long the caller still waits.
    pub(crate) fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns what its times are compared with.
    pub(crate) fn kind(&self) -> Kind {
        Kind {
            service: self.service.clone(),
            size: self.size,
        }
    }

    /// Returns how long its prompt is read if nothing else is, in milliseconds.
    pub(crate) fn reading_ms(&self, desk: &Desk) -> f64 {
        desk.paces
            .reading_ms(&self.kind(), self.ask.token_usage.prompt_tokens)
    }

    /// Returns a number below 1 that is the same for all requests of a conversation.
    pub(crate) fn conversation_unit(&self) -> f64 {
        let key = self.ask.session.as_ref().unwrap_or(&self.ask.id);
        xxh3_64(key.as_bytes()) as f64 / (u64::MAX as f64 + 1.0)
    }

    /// Returns whether the request may be sent again.
    pub(crate) fn may_go_on(&self) -> bool {
        let allowed = self.verdict == Verdict::NotRun || self.route.retry_safety.may_retry();
        allowed && self.runs < self.route.max_attempts && self.refusals < MAX_REFUSALS
    }

    /// Notes that an endpoint may have run the request.
    pub(crate) fn note_run(&mut self, verdict: Verdict) {
        self.runs += 1;
        self.verdict = self.verdict.join(verdict);
    }

    /// Makes the failure that says what is known of the request.
    pub(crate) fn failure(&self, reason: Reason, detail: impl Into<String>) -> Failure {
        if self.verdict == Verdict::NotRun {
            let reason = match reason {
                Reason::EndpointFailed | Reason::Deadline => Reason::Overloaded,
                reason => reason,
            };
            return Failure::not_run(reason, detail);
        }
        let reason = match reason {
            Reason::Deadline => Reason::Deadline,
            _ => Reason::EndpointFailed,
        };
        Failure::new(self.verdict, reason, detail)
    }

    /// Returns the moment to come back, within what the caller keeps to.
    pub(crate) fn comeback_ms(&self, usual_ms: u64) -> u64 {
        let bound_ms = self.left().as_millis() as u64 / COMEBACK_SHARE;
        let jitter_ms = fastrand::u64(..=usual_ms / 2);
        (usual_ms + jitter_ms).min(bound_ms).max(MIN_COMEBACK_MS)
    }

    pub(crate) fn urgency(&self) -> u8 {
        let rank = self
            .workspace
            .as_ref()
            .and_then(|workspace| workspace.priority);
        let rank = rank.unwrap_or(self.route.priority);
        let urgency = FIRST_URGENCY.saturating_add(rank.saturating_mul(URGENCY_STEP));
        let waited = u8::from(self.escalated || self.ask.resume_after.is_some());
        (urgency - waited).min(LAST_URGENCY)
    }

    /// Returns how long one endpoint is waited for, as long as it answers other requests.
    pub(crate) fn patience(&self, station: &Station) -> Duration {
        let others = self.route.retry_safety.may_retry() && self.runs + 1 < self.route.max_attempts;
        if !others {
            return self.left();
        }
        let objective = Duration::from_millis(self.route.objective_ms);
        if !self.route.retry_safety.is_stream() {
            return objective.mul_f64(PATIENCE).min(self.left() / 2);
        }
        let usual_ms = station.first_ms().unwrap_or_default() * PATIENCE_OF_USUAL;
        let usual = Duration::from_millis(usual_ms as u64);
        objective
            .mul_f64(STREAM_PATIENCE)
            .max(usual)
            .min(self.left())
    }
}
