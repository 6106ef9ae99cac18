//! Endpoint selection and retries for one request.

use std::sync::Arc;
use std::time::Duration;

use futures_lite::FutureExt;
use http_types::{Method, Request, Url};
use kernel::{Clock, Failure, Reason, Verdict};
use limits::{Admission, Choice, choose, choose_by_prefix};
use smol::Timer;
use web::{Client, ClientResponse, ConnectionReuse, SendError};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::endpoint::{EndpointState, InFlightGuard};
use crate::pool::PoolState;
use crate::request::UpstreamRequest;
use crate::response::UpstreamResponse;

/// Multiple of the mean load up to which an endpoint is preferred for its prefix cache.
const AFFINITY_LOAD_FACTOR: f64 = 1.5;

/// Set by an endpoint that did not start the request.
const NOT_STARTED_HEADER: &str = "x-request-not-started";

/// Set by an endpoint that is leaving and takes no further requests.
const LEAVING_HEADER: &str = "x-endpoint-leaving";

/// An endpoint's load report.
const LOAD_HEADER: &str = "x-endpoint-load";

/// The identifier of an attempt, which endpoints echo.
const REQUEST_ID_HEADER: &str = "x-request-id";

/// Settings of a [`Dispatcher`].
#[derive(Debug, Clone)]
pub struct DispatchSettings {
    /// The availability zone of this instance.
    pub zone: Arc<str>,
    /// Time to connect to an endpoint, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Time from sending to the head of the response, in milliseconds; at most until the deadline.
    pub head_timeout_ms: u64,
    /// Maximum number of attempts per request, each at another endpoint.
    pub max_attempts: u32,
}

/// Sends requests to endpoints and retries failed attempts.
pub struct Dispatcher {
    settings: DispatchSettings,
    client: Client,
    clock: Arc<dyn Clock>,
    admission: Admission,
}

/// The failure of one attempt.
struct AttemptError {
    failure: Failure,
    leaving: bool,
}

impl Dispatcher {
    /// Creates a dispatcher with its own HTTP client.
    pub fn new(settings: DispatchSettings, clock: Arc<dyn Clock>) -> Dispatcher {
        let client = Client::new(settings.connect_timeout_ms);
        Dispatcher {
            settings,
            client,
            clock,
            admission: Admission::default(),
        }
    }

    /// Sends a request to an endpoint of a pool and returns the response once its head arrived.
    ///
    /// A failed attempt is retried at another endpoint if the request did not run or is idempotent,
    /// within the retry budget of the pool.
    ///
    /// `instances` is the number of live entry instances that share the pool; it sets how far the
    /// retry-after delays of refused callers are spread.
    ///
    /// # Errors
    ///
    /// Fails with the combined verdict of all attempts and a retry-after delay.
    pub async fn dispatch(
        &self,
        pool: &PoolState,
        request: &UpstreamRequest,
        instances: usize,
    ) -> Result<UpstreamResponse, Failure> {
        let mut tried = Vec::new();
        let mut verdict = Verdict::NotRun;
        for attempt in 0..self.settings.max_attempts {
            let index = match self.choose_endpoint(pool, request, &tried) {
                Choice::Endpoint(index) => index,
                Choice::Full => {
                    return Err(self.reject(pool, instances, verdict, Reason::Overloaded));
                }
                Choice::None => {
                    return Err(self.reject(pool, instances, verdict, Reason::NoEndpoint));
                }
            };
            let endpoint = &pool.endpoints[index];
            let error = match self.attempt(endpoint, request, attempt).await {
                Ok(response) => {
                    pool.record_success();
                    return Ok(response);
                }
                Err(error) => error,
            };
            verdict = verdict.join(error.failure.verdict);
            if error.leaving {
                endpoint.set_leaving();
            }
            tried.push(index);
            let may_retry = verdict == Verdict::NotRun || request.idempotent;
            let last_attempt = attempt + 1 == self.settings.max_attempts;
            if !may_retry || last_attempt || !pool.try_acquire_retry() {
                return Err(self.fail(pool, instances, verdict, error.failure));
            }
        }
        Err(self.reject(pool, instances, verdict, Reason::NoEndpoint))
    }

    fn choose_endpoint(
        &self,
        pool: &PoolState,
        request: &UpstreamRequest,
        tried: &[usize],
    ) -> Choice {
        let views = pool.views(&self.settings.zone, self.clock.mono_ms());
        let mut random = fastrand::Rng::new();
        if let Some(affinity) = request.affinity
            && tried.is_empty()
        {
            let weight =
                |index: usize| xxh3_64_with_seed(pool.endpoints[index].name.as_bytes(), affinity);
            let chosen = choose_by_prefix(
                &views,
                weight,
                request.priority,
                &self.admission,
                AFFINITY_LOAD_FACTOR,
            );
            if let Some(index) = chosen {
                return Choice::Endpoint(index);
            }
        }
        choose(
            &views,
            request.priority,
            &self.admission,
            tried,
            &mut random,
        )
    }

    async fn attempt(
        &self,
        endpoint: &Arc<EndpointState>,
        request: &UpstreamRequest,
        attempt: u32,
    ) -> Result<UpstreamResponse, AttemptError> {
        let in_flight = InFlightGuard::new(endpoint);
        let sent_ms = self.clock.mono_ms();
        let timeout_ms = self.head_timeout_ms(request, sent_ms)?;
        let id = format!("{}/{}.{attempt}", request.request_id, request.stage);
        let http_request = build_http_request(endpoint, request, &id).map_err(attempt_error)?;
        let reuse = if request.idempotent {
            ConnectionReuse::Allowed
        } else {
            ConnectionReuse::Never
        };
        let send = async { Some(self.client.send(endpoint.addr, http_request, reuse).await) };
        let expire = async {
            Timer::after(Duration::from_millis(timeout_ms)).await;
            None
        };
        let result = match send.or(expire).await {
            Some(Ok(reply)) => self.check_response(endpoint, reply, &id, sent_ms, in_flight),
            Some(Err(err)) => Err(attempt_error(send_failure(&err))),
            None => Err(attempt_error(Failure::may_have_run(
                Reason::Deadline,
                "the endpoint did not respond in time",
            ))),
        };
        if let Err(error) = &result
            && !error.leaving
        {
            let now_ms = self.clock.mono_ms();
            endpoint.record_outcome(true, now_ms.saturating_sub(sent_ms), now_ms);
        }
        result
    }

    /// Returns the time left for the head of the response, in milliseconds.
    fn head_timeout_ms(&self, request: &UpstreamRequest, now_ms: u64) -> Result<u64, AttemptError> {
        let Some(deadline_ms) = request.deadline_ms else {
            return Ok(self.settings.head_timeout_ms);
        };
        if deadline_ms <= now_ms {
            return Err(attempt_error(Failure::not_run(
                Reason::Deadline,
                "the deadline passed before the request was sent",
            )));
        }
        Ok((deadline_ms - now_ms).min(self.settings.head_timeout_ms))
    }

    fn check_response(
        &self,
        endpoint: &Arc<EndpointState>,
        reply: ClientResponse,
        id: &str,
        sent_ms: u64,
        in_flight: InFlightGuard,
    ) -> Result<UpstreamResponse, AttemptError> {
        let echoed_id = reply.header(REQUEST_ID_HEADER);
        // Without an identifier, a response on a reused connection may be that of an earlier request.
        if echoed_id.map_or(reply.is_on_reused_connection(), |echoed_id| echoed_id != id) {
            let detail = "the response does not have the identifier of the request";
            return Err(attempt_error(Failure::may_have_run(
                Reason::EndpointFailed,
                detail,
            )));
        }
        if let Some(load) = reply.header(LOAD_HEADER) {
            endpoint.record_load(load);
        }
        let status = reply.status();
        if reply.header(NOT_STARTED_HEADER).is_some() {
            let leaving = reply.header(LEAVING_HEADER).is_some();
            let failure = Failure::not_run(
                Reason::EndpointFailed,
                format!("the endpoint rejected the request with status {status}"),
            );
            return Err(AttemptError { failure, leaving });
        }
        if status != 200 {
            let detail = format!("the endpoint responded with status {status}");
            return Err(attempt_error(Failure::may_have_run(
                Reason::EndpointFailed,
                detail,
            )));
        }
        let id_echoed = echoed_id.is_some();
        Ok(UpstreamResponse::new(
            endpoint.clone(),
            reply,
            id_echoed,
            sent_ms,
            self.clock.clone(),
            in_flight,
        ))
    }

    fn reject(
        &self,
        pool: &PoolState,
        instances: usize,
        verdict: Verdict,
        reason: Reason,
    ) -> Failure {
        let detail = match reason {
            Reason::Overloaded => {
                format!("all endpoints of pool '{}' are at capacity", pool.spec.name)
            }
            _ => format!("no endpoint of pool '{}' is available", pool.spec.name),
        };
        let retry_after_ms = pool.retry_after_ms(self.clock.mono_ms(), instances, fastrand::f64());
        Failure::new(verdict, reason, detail).retry_after_ms(retry_after_ms)
    }

    fn fail(
        &self,
        pool: &PoolState,
        instances: usize,
        verdict: Verdict,
        failure: Failure,
    ) -> Failure {
        let retry_after_ms = pool.retry_after_ms(self.clock.mono_ms(), instances, fastrand::f64());
        Failure { verdict, ..failure }.retry_after_ms(retry_after_ms)
    }
}

fn attempt_error(failure: Failure) -> AttemptError {
    AttemptError {
        failure,
        leaving: false,
    }
}

fn send_failure(err: &SendError) -> Failure {
    Failure::new(err.verdict, Reason::EndpointFailed, err.message.clone())
}

fn build_http_request(
    endpoint: &EndpointState,
    request: &UpstreamRequest,
    id: &str,
) -> Result<Request, Failure> {
    let url = Url::parse(&format!("http://{}{}", endpoint.addr, request.path));
    let url = url.map_err(|err| {
        Failure::not_run(Reason::BadRequest, format!("invalid request path: {err}"))
    })?;
    let mut http_request = Request::new(Method::Post, url);
    http_request.set_body(&request.body[..]);
    http_request.insert_header("content-type", "application/json");
    http_request.insert_header(REQUEST_ID_HEADER, id);
    http_request.insert_header("x-request-priority", request.priority.as_str());
    Ok(http_request)
}
