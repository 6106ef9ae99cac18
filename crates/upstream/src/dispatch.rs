//! The loop that finds an endpoint and starts a call there.

use std::sync::Arc;
use std::time::Duration;

use futures_lite::FutureExt;
use http_types::{Method, Request, Url};
use kernel::{Clock, Failure, Reason, Verdict};
use limits::{Admission, Choice, choose, choose_by_prefix};
use smol::Timer;
use web::{Client, Reply, Reuse, SendError};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::endpoint::{EndpointState, InFlight};
use crate::pool::PoolState;
use crate::request::UpstreamRequest;
use crate::response::UpstreamResponse;

/// How far above the mean load an endpoint may be and still be chosen for its prefix cache.
const AFFINITY_LOAD_FACTOR: f64 = 1.5;

/// The header in which endpoints say that they did not start a call.
const NOT_STARTED: &str = "x-request-not-started";

/// The header in which endpoints say that they are leaving.
const LEAVING: &str = "x-endpoint-leaving";

/// The header in which endpoints report their load.
const LOAD: &str = "x-endpoint-load";

/// The header that carries and echoes the identifier of a call.
const REQUEST_ID: &str = "x-request-id";

/// Bounds of a dispatcher.
#[derive(Debug, Clone)]
pub struct DispatchSettings {
    /// The availability zone of this instance.
    pub zone: Arc<str>,
    /// How long connecting may take, in milliseconds.
    pub connect_timeout_ms: u64,
    /// How long the head of a response may take, in milliseconds.
    pub head_timeout_ms: u64,
    /// The most endpoints that one call is tried at.
    pub max_attempts: u32,
}

/// Starts calls at endpoints.
pub struct Dispatcher {
    settings: DispatchSettings,
    client: Client,
    clock: Arc<dyn Clock>,
    admission: Admission,
}

/// Why one attempt did not start.
struct Refused {
    failure: Failure,
    leaving: bool,
}

impl Dispatcher {
    /// Makes a dispatcher.
    pub fn new(settings: DispatchSettings, clock: Arc<dyn Clock>) -> Dispatcher {
        let client = Client::new(settings.connect_timeout_ms);
        Dispatcher {
            settings,
            client,
            clock,
            admission: Admission::default(),
        }
    }

    /// Starts a call at an endpoint of a pool, trying others where that is safe.
    ///
    /// `instances` is the number of live entry instances, over which refused callers are spread.
    ///
    /// # Errors
    ///
    /// Fails with the joined verdict of all attempts.
    pub async fn dispatch(
        &self,
        pool: &PoolState,
        call: &UpstreamRequest,
        instances: usize,
    ) -> Result<UpstreamResponse, Failure> {
        let mut tried = Vec::new();
        let mut verdict = Verdict::NotRun;
        for attempt in 0..self.settings.max_attempts {
            let index = match self.pick(pool, call, &tried) {
                Choice::Endpoint(index) => index,
                Choice::Full => {
                    return Err(self.refuse(pool, instances, verdict, Reason::Overloaded));
                }
                Choice::None => {
                    return Err(self.refuse(pool, instances, verdict, Reason::NoEndpoint));
                }
            };
            let endpoint = &pool.endpoints[index];
            let refused = match self.attempt(endpoint, call, attempt).await {
                Ok(started) => {
                    pool.note_success();
                    return Ok(started);
                }
                Err(refused) => refused,
            };
            verdict = verdict.join(refused.failure.verdict);
            if refused.leaving {
                endpoint.set_leaving();
            }
            tried.push(index);
            let safe = verdict == Verdict::NotRun || call.idempotent;
            let last = attempt + 1 == self.settings.max_attempts;
            if !safe || last || !pool.take_retry() {
                return Err(self.give_up(pool, instances, verdict, refused.failure));
            }
        }
        Err(self.refuse(pool, instances, verdict, Reason::NoEndpoint))
    }

    fn pick(&self, pool: &PoolState, call: &UpstreamRequest, tried: &[usize]) -> Choice {
        let views = pool.views(&self.settings.zone, self.clock.mono_ms());
        let mut random = fastrand::Rng::new();
        if let Some(affinity) = call.affinity
            && tried.is_empty()
        {
            let weight =
                |index: usize| xxh3_64_with_seed(pool.endpoints[index].name.as_bytes(), affinity);
            let chosen = choose_by_prefix(
                &views,
                weight,
                call.priority,
                &self.admission,
                AFFINITY_LOAD_FACTOR,
            );
            if let Some(index) = chosen {
                return Choice::Endpoint(index);
            }
        }
        choose(&views, call.priority, &self.admission, tried, &mut random)
    }

    async fn attempt(
        &self,
        endpoint: &Arc<EndpointState>,
        call: &UpstreamRequest,
        attempt: u32,
    ) -> Result<UpstreamResponse, Refused> {
        let in_flight = InFlight::new(endpoint);
        let sent_ms = self.clock.mono_ms();
        let limit_ms = self.head_limit_ms(call, sent_ms)?;
        let id = format!("{}/{}.{attempt}", call.request, call.stage);
        let request = request(endpoint, call, &id).map_err(refused)?;
        let reuse = if call.idempotent {
            Reuse::Allowed
        } else {
            Reuse::Never
        };
        let send = async { Some(self.client.send(endpoint.addr, request, reuse).await) };
        let expire = async {
            Timer::after(Duration::from_millis(limit_ms)).await;
            None
        };
        let result = match send.or(expire).await {
            Some(Ok(reply)) => self.accept(endpoint, reply, &id, sent_ms, in_flight),
            Some(Err(err)) => Err(refused(broken(&err))),
            None => Err(refused(Failure::may_have_run(
                Reason::Deadline,
                "the endpoint did not answer in time",
            ))),
        };
        if let Err(refusal) = &result
            && !refusal.leaving
        {
            let now_ms = self.clock.mono_ms();
            endpoint.note(true, now_ms.saturating_sub(sent_ms), now_ms);
        }
        result
    }

    /// Returns how long the head of the response may take.
    fn head_limit_ms(&self, call: &UpstreamRequest, now_ms: u64) -> Result<u64, Refused> {
        let Some(deadline_ms) = call.deadline_ms else {
            return Ok(self.settings.head_timeout_ms);
        };
        if deadline_ms <= now_ms {
            return Err(refused(Failure::not_run(
                Reason::Deadline,
                "the deadline passed before the call was sent",
            )));
        }
        Ok((deadline_ms - now_ms).min(self.settings.head_timeout_ms))
    }

    fn accept(
        &self,
        endpoint: &Arc<EndpointState>,
        reply: Reply,
        id: &str,
        sent_ms: u64,
        in_flight: InFlight,
    ) -> Result<UpstreamResponse, Refused> {
        if let Some(load) = reply.header(LOAD) {
            endpoint.report(load);
        }
        let status = reply.status();
        if reply.header(NOT_STARTED).is_some() {
            let leaving = reply.header(LEAVING).is_some();
            let failure = Failure::not_run(
                Reason::Endpoint,
                format!("the endpoint refused with status {status}"),
            );
            return Err(Refused { failure, leaving });
        }
        if status != 200 {
            let detail = format!("the endpoint answered with status {status}");
            return Err(refused(Failure::may_have_run(Reason::Endpoint, detail)));
        }
        let echoed = reply.header(REQUEST_ID);
        if echoed.is_some_and(|echoed| echoed != id) {
            let detail = "the endpoint answered another call";
            return Err(refused(Failure::may_have_run(Reason::Endpoint, detail)));
        }
        let echoed = echoed.is_some();
        Ok(UpstreamResponse::new(
            endpoint.clone(),
            reply,
            echoed,
            sent_ms,
            self.clock.clone(),
            in_flight,
        ))
    }

    fn refuse(
        &self,
        pool: &PoolState,
        instances: usize,
        verdict: Verdict,
        reason: Reason,
    ) -> Failure {
        let detail = match reason {
            Reason::Overloaded => format!("all endpoints of pool '{}' are full", pool.spec.name),
            _ => format!("no endpoint of pool '{}' takes work", pool.spec.name),
        };
        let delay_ms = pool.come_back_ms(self.clock.mono_ms(), instances, fastrand::f64());
        Failure::new(verdict, reason, detail).retry_after_ms(delay_ms)
    }

    fn give_up(
        &self,
        pool: &PoolState,
        instances: usize,
        verdict: Verdict,
        failure: Failure,
    ) -> Failure {
        let delay_ms = pool.come_back_ms(self.clock.mono_ms(), instances, fastrand::f64());
        Failure { verdict, ..failure }.retry_after_ms(delay_ms)
    }
}

fn refused(failure: Failure) -> Refused {
    Refused {
        failure,
        leaving: false,
    }
}

fn broken(err: &SendError) -> Failure {
    Failure::new(err.verdict, Reason::Endpoint, err.message.clone())
}

fn request(endpoint: &EndpointState, call: &UpstreamRequest, id: &str) -> Result<Request, Failure> {
    let url = Url::parse(&format!("http://{}{}", endpoint.addr, call.path));
    let url =
        url.map_err(|err| Failure::not_run(Reason::BadRequest, format!("bad path: {err}")))?;
    let mut request = Request::new(Method::Post, url);
    request.set_body(&call.body[..]);
    request.insert_header("content-type", "application/json");
    request.insert_header(REQUEST_ID, id);
    request.insert_header("x-request-priority", call.priority.as_str());
    Ok(request)
}
