//! State of one request while it is being handled.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use kernel::{Failure, Incarnation, Reason, Verdict};
use limits::{PromptLoad, RequestLoad};
use relay::{Request, ResponseHead};
use route::{Route, Workspace};
use xxhash_rust::xxh3::xxh3_64;

use crate::baseline::BaselineKey;
use crate::carried::Carried;
use crate::endpoint::Endpoint;
use crate::endpoint_state::EndpointState;
use crate::late_repeats::RequestRepeats;
use crate::outcome::Counters;
use crate::request::RequestInfo;
use crate::request_context::RequestContext;
use crate::request_key::RequestKey;
use crate::run::Run;

/// Refusals by endpoints after which the caller is told to retry later.
const MAX_REFUSALS: u32 = 4;

/// Endpoint priority of a request with priority 0.
const BASE_PRIORITY: u8 = 2;

/// Endpoint priorities per step of request priority. The value in between is for requests that
/// have waited already.
const PRIORITY_STEP: u8 = 2;

/// Least urgent priority that endpoints accept.
const LEAST_URGENT_PRIORITY: u8 = 9;

/// Shortest retry-after, in milliseconds: a few round trips to a caller.
const MIN_RETRY_AFTER_MS: u64 = 50;

/// Callers honour a retry-after within a third of their remaining time; a quarter leaves room for
/// the network.
const RETRY_AFTER_DIVISOR: u64 = 4;

/// Timeout of a plain request that may be retried, as a multiple of its latency objective.
const PLAIN_TIMEOUT_OBJECTIVES: f64 = 2.5;

/// Shortest timeout of a stream, as a multiple of its latency objective. A retry reads a long
/// prompt again.
const STREAM_TIMEOUT_OBJECTIVES: f64 = 2.0;

/// Shortest timeout of a stream, as a multiple of the endpoint's average time to a response head.
const STREAM_TIMEOUT_HEAD_TIMES: f64 = 6.0;

/// One request and the state of its sends.
pub(crate) struct ActiveRequest {
    pub(crate) inbound: Request,
    pub(crate) info: RequestInfo,
    pub(crate) key: RequestKey,
    pub(crate) route: Arc<Route>,
    pub(crate) service: Arc<str>,
    pub(crate) max_connections: u32,
    pub(crate) workspace: Option<Arc<Workspace>>,
    /// Regions in which the request may run, or `None` for all.
    pub(crate) homes: Option<Arc<[Arc<str>]>>,
    pub(crate) deadline: Instant,
    /// Endpoint runs that refused or failed the request.
    pub(crate) tried: Vec<Run>,
    /// Endpoints that received the request.
    pub(crate) sends: u32,
    /// Endpoints that may have run the request.
    pub(crate) runs: u32,
    /// Whether a send is under way or its response arrives.
    pub(crate) is_sent: bool,
    pub(crate) repeats: RequestRepeats,
    pub(crate) refusals: u32,
    /// Endpoints to which no connection was established.
    pub(crate) unreached: u32,
    /// Time that the attempts to connect to these took.
    pub(crate) unreached_time: Duration,
    pub(crate) verdict: Verdict,
    /// Whom the request is carried for, if a peer handed it over.
    pub(crate) carried: Option<Carried>,
    /// Peers that the request was handed over to, and the name of the last one.
    pub(crate) peers_asked: Vec<Incarnation>,
    pub(crate) carried_by: Option<Arc<str>>,
    /// Why the last peer did not serve the request.
    pub(crate) peer_failure: Option<Failure>,
    /// Whether the request is a stream that goes on after events of an earlier run.
    pub(crate) is_resumed: bool,
    /// Whether a run that goes on meanwhile is to be moved to an endpoint that was not tried.
    pub(crate) is_moving: bool,
    /// Endpoints that ended just after they had begun the request.
    pub(crate) crashes: u32,
    /// Endpoints that ended under the request as a roll-out replaced them, whose runs are no attempts.
    pub(crate) replaced_runs: u32,
    /// Whether the end of the endpoint under the current answer is recorded already.
    pub(crate) end_is_recorded: bool,
    /// Index of the model size in the route.
    pub(crate) size: Option<usize>,
    /// Engine priority of the next send while capacity is short.
    pub(crate) rank: Option<u8>,
    /// Index of the smaller size whose answer was discarded before this run.
    pub(crate) unsure_size: Option<usize>,
    /// Confidence of the model in its answer, from 0 to 100.
    pub(crate) confidence: Option<u8>,
    pub(crate) last_endpoint: Option<Arc<Endpoint>>,
    /// An endpoint's error response, which the caller gets if no retry succeeds.
    pub(crate) failure_response: Option<FailureResponse>,
}

/// A complete error response of an endpoint.
pub(crate) struct FailureResponse {
    pub(crate) head: ResponseHead,
    pub(crate) body: Bytes,
}

impl ActiveRequest {
    /// Returns the time to the deadline.
    pub(crate) fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns the key of the baselines that apply to the request.
    pub(crate) fn baseline_key(&self) -> BaselineKey {
        BaselineKey {
            service: self.service.clone(),
            size: self.size,
        }
    }

    /// Estimates how long an otherwise idle endpoint that caches none of the prompt reads it, in
    /// milliseconds.
    pub(crate) fn reading_ms(&self, context: &RequestContext) -> f64 {
        context
            .baselines
            .reading_ms(&self.baseline_key(), self.info.token_usage.prompt_tokens)
    }

    /// Estimates the load of the prompt on an endpoint until the response starts.
    pub(crate) fn prompt_load(&self, context: &RequestContext) -> PromptLoad {
        let new_tokens = self.info.new_tokens();
        let prompt_tokens = self.info.token_usage.prompt_tokens;
        let key = self.baseline_key();
        let load = |tokens: u32| {
            let prefill_ms = context.baselines.reading_ms(&key, tokens);
            RequestLoad::from_prefill_ms(prefill_ms).prefill
        };
        PromptLoad {
            new: load(new_tokens),
            shared: load(prompt_tokens.saturating_sub(new_tokens)),
        }
    }

    /// Returns a number in `[0, 1)` that is the same for all requests of a session.
    pub(crate) fn session_unit(&self) -> f64 {
        let key = self.info.session.as_ref().unwrap_or(&self.info.id);
        xxh3_64(key.as_bytes()) as f64 / (u64::MAX as f64 + 1.0)
    }

    /// Returns whether the request may be sent to an endpoint, for the first time or as a retry.
    pub(crate) fn may_retry(&self) -> bool {
        let allowed = self.verdict == Verdict::NotRun || self.route.retry_safety.may_retry();
        allowed && self.has_attempt_left(self.runs)
    }

    /// Returns whether the request may be sent to an endpoint once the current one has run it.
    pub(crate) fn may_repeat_after_run(&self) -> bool {
        self.route.retry_safety.may_retry() && self.has_attempt_left(self.runs + 1)
    }

    fn has_attempt_left(&self, runs: u32) -> bool {
        runs < self.route.max_attempts + self.replaced_runs && self.refusals < MAX_REFUSALS
    }

    /// Records that endpoints received the request. A peer that made several sends counts its own
    /// retries, which are all but its first.
    pub(crate) fn record_sends(&mut self, context: &RequestContext, sends: u32) {
        if self.sends > 0 && sends > 0 {
            Counters::add(&context.counters.retries);
        }
        self.sends += sends;
    }

    /// Records that an endpoint may have run the request.
    pub(crate) fn record_run(&mut self, verdict: Verdict) {
        self.record_runs(verdict, 1);
    }

    /// Records that several endpoints may have run the request.
    pub(crate) fn record_runs(&mut self, verdict: Verdict, runs: u32) {
        self.runs += runs;
        self.verdict = self.verdict.join(verdict);
    }

    /// Ends the request as the instance stops, and returns the failure for its caller.
    pub(crate) fn cut_short(&mut self) -> Failure {
        if std::mem::take(&mut self.is_sent) {
            self.record_run(Verdict::MayHaveRun);
        }
        let detail = "this instance stops before the request has ended";
        let failure = self.failure(Reason::Deadline, detail);
        failure.retry_after_ms(MIN_RETRY_AFTER_MS)
    }

    /// Creates a failure whose reason agrees with the request's verdict.
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

    /// Returns a retry-after with jitter, bounded by the share of the remaining time that callers
    /// honour.
    pub(crate) fn retry_after_ms(&self, base_ms: u64) -> u64 {
        let bound_ms = self.remaining().as_millis() as u64 / RETRY_AFTER_DIVISOR;
        let jitter_ms = fastrand::u64(..=base_ms / 2);
        (base_ms + jitter_ms).min(bound_ms).max(MIN_RETRY_AFTER_MS)
    }

    /// Returns the priority of the request, where 0 is the most urgent.
    pub(crate) fn priority(&self) -> u8 {
        let workspace = self.workspace.as_ref();
        let priority = workspace.and_then(|workspace| workspace.priority);
        priority.unwrap_or(self.route.priority)
    }

    /// Returns whether the request has waited for an earlier answer or attempt.
    pub(crate) fn has_waited(&self) -> bool {
        self.unsure_size.is_some() || self.info.resume_after.is_some()
    }

    /// Returns the priority among the requests of an endpoint, where 0 is the most urgent.
    pub(crate) fn endpoint_priority(&self) -> u8 {
        if let Some(rank) = self.rank {
            return rank.min(LEAST_URGENT_PRIORITY);
        }
        let priority = BASE_PRIORITY.saturating_add(self.priority().saturating_mul(PRIORITY_STEP));
        (priority - u8::from(self.has_waited())).min(LEAST_URGENT_PRIORITY)
    }

    /// Returns the timeout for one endpoint as long as it answers other requests. One that sends no
    /// bytes at all is given up sooner if the request may be retried.
    pub(crate) fn endpoint_timeout(&self, endpoint_state: &EndpointState) -> Duration {
        let may_retry =
            self.route.retry_safety.may_retry() && self.runs + 1 < self.route.max_attempts;
        if !may_retry {
            return self.remaining();
        }
        let objective = Duration::from_millis(self.route.objective_ms);
        if !self.route.retry_safety.is_stream() {
            return objective
                .mul_f64(PLAIN_TIMEOUT_OBJECTIVES)
                .min(self.remaining() / 2);
        }
        let head_ms = endpoint_state.head_ms().unwrap_or_default() * STREAM_TIMEOUT_HEAD_TIMES;
        let from_head_times = Duration::from_millis(head_ms as u64);
        objective
            .mul_f64(STREAM_TIMEOUT_OBJECTIVES)
            .max(from_head_times)
            .min(self.remaining())
    }
}
