//! HTTP client, and a caller that discovers addresses and retries as callers are documented to do.

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use futures_lite::{AsyncReadExt, FutureExt};
use http_types::{Method, Request, Url};
use kernel::{Clock, SystemClock, Verdict};
use serde_json::{Value, json};
use smol::Timer;
use web::{Client, ConnectionReuse, SendError};

use crate::record::{CallKind, CallOutcome, CallRecord, CallSpec};

/// Timeout of one HTTP exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(20);

/// Maximum number of attempts per call.
const MAX_ATTEMPTS: u32 = 8;

/// Delay before a retry if the response gives no retry-after time.
const DEFAULT_RETRY_DELAY_MS: u64 = 100;

/// Upper bound of the delay before a retry.
const MAX_RETRY_DELAY_MS: u64 = 3_000;

/// HTTP client that reads whole responses.
pub struct HttpClient {
    client: Client,
}

/// A complete HTTP response.
#[derive(Debug, Clone)]
pub struct HttpResponse {
    /// Status code.
    pub status: u16,
    /// Value of the verdict header, if present and valid.
    pub verdict: Option<Verdict>,
    /// Value of the version header, or empty.
    pub version: String,
    /// Complete body.
    pub body: Vec<u8>,
    /// Time to the first byte of the body, in milliseconds.
    pub first_byte_ms: f64,
}

impl HttpResponse {
    /// Parses the body as JSON; returns null if it is not JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }
}

impl Default for HttpClient {
    fn default() -> HttpClient {
        HttpClient {
            client: Client::new(1_000),
        }
    }
}

impl HttpClient {
    /// Sends a request and reads the whole response.
    ///
    /// # Errors
    ///
    /// Fails when the exchange does; the verdict says whether the request may have run.
    pub async fn call(
        &self,
        addr: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Vec<u8>,
    ) -> Result<HttpResponse, SendError> {
        let start = Instant::now();
        let url = Url::parse(&format!("http://{addr}{path}"));
        let url = url.map_err(|err| SendError {
            verdict: Verdict::NotRun,
            message: err.to_string(),
        })?;
        let mut request = Request::new(method, url);
        request.set_body(body);
        for (name, value) in headers {
            request.insert_header(*name, *value);
        }
        let failed = |message: String| SendError {
            verdict: Verdict::MayHaveRun,
            message,
        };
        let exchange = async {
            let mut reply = self
                .client
                .send(addr, request, ConnectionReuse::Allowed)
                .await?;
            let mut body = vec![0; 1];
            let count = reply
                .read(&mut body)
                .await
                .map_err(|err| failed(err.to_string()))?;
            body.truncate(count);
            let first_byte_ms = start.elapsed().as_secs_f64() * 1000.0;
            reply
                .read_to_end(&mut body)
                .await
                .map_err(|err| failed(err.to_string()))?;
            let read = HttpResponse {
                status: reply.status(),
                verdict: reply.header("x-rosemary-verdict").and_then(Verdict::parse),
                version: reply
                    .header("x-rosemary-version")
                    .unwrap_or_default()
                    .to_owned(),
                body,
                first_byte_ms,
            };
            reply.recycle();
            Ok(read)
        };
        let timeout = async {
            Timer::after(EXCHANGE_TIMEOUT).await;
            Err(failed(format!(
                "no complete response within {EXCHANGE_TIMEOUT:?}"
            )))
        };
        exchange.or(timeout).await
    }
}

/// Address of an instance, with the identifier prefix that it issued.
#[derive(Debug, Clone)]
struct Address {
    addr: SocketAddr,
    id_prefix: String,
}

#[derive(Debug, Default)]
struct AddressCache {
    addresses: Vec<Address>,
    expires_at: Option<Instant>,
}

/// A caller that discovers the addresses of entry instances, caches them for their lifetime, and
/// retries a call by its verdict.
pub struct Caller {
    http: HttpClient,
    seeds: Vec<SocketAddr>,
    zone: String,
    cache: Mutex<AddressCache>,
}

impl Caller {
    /// Creates a caller in a zone that discovers addresses through the seeds.
    pub fn new(seeds: Vec<SocketAddr>, zone: &str) -> Caller {
        Caller {
            http: HttpClient::default(),
            seeds,
            zone: zone.to_owned(),
            cache: Mutex::default(),
        }
    }

    /// Returns the HTTP client of the caller.
    pub fn http(&self) -> &HttpClient {
        &self.http
    }

    fn expire_addresses(&self) {
        self.cache
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .expires_at = None;
    }

    /// Returns the cached addresses if they have not expired.
    fn cached_addresses(&self) -> Option<Vec<Address>> {
        let cache = self.cache.lock().unwrap_or_else(PoisonError::into_inner);
        let valid = cache
            .expires_at
            .is_some_and(|expires_at| Instant::now() < expires_at);
        valid.then(|| cache.addresses.clone())
    }

    async fn addresses(&self) -> Vec<Address> {
        if let Some(addresses) = self.cached_addresses() {
            return addresses;
        }
        // Expired addresses serve as seeds too: all original seeds may be gone by now.
        let mut seeds = self.seeds.clone();
        let cached = self
            .cache
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .addresses
            .clone();
        seeds.extend(cached.iter().map(|address| address.addr));
        fastrand::shuffle(&mut seeds);
        for seed in seeds {
            let path = format!("/v1/addresses?zone={}", self.zone);
            let Ok(reply) = self
                .http
                .call(seed, Method::Get, &path, &[], Vec::new())
                .await
            else {
                continue;
            };
            let value = reply.json();
            let addresses = parse_addresses(&value);
            if addresses.is_empty() {
                continue;
            }
            let lifetime = Duration::from_millis(value["lifetime_ms"].as_u64().unwrap_or(1_000));
            let mut cache = self.cache.lock().unwrap_or_else(PoisonError::into_inner);
            cache.expires_at = Some(Instant::now() + lifetime);
            cache.addresses.clone_from(&addresses);
            return addresses;
        }
        Vec::new()
    }

    /// Opens a session and returns its token and version.
    pub async fn open_session(&self, workspace: &str, model: &str) -> Option<(String, String)> {
        let addresses = self.addresses().await;
        let address = addresses.first()?;
        let bearer = format!("Bearer key-{workspace}");
        let body = json!({ "model": model }).to_string().into_bytes();
        let headers = [("authorization", bearer.as_str())];
        let reply = self
            .http
            .call(address.addr, Method::Post, "/v1/sessions", &headers, body)
            .await
            .ok()?;
        let value = reply.json();
        Some((
            value["session"].as_str()?.to_owned(),
            value["version"].as_str()?.to_owned(),
        ))
    }

    /// Makes a call and retries it until it has a final answer or the attempts are used up.
    pub async fn call(&self, spec: CallSpec) -> CallRecord {
        let start = Instant::now();
        let nonce = format!("{:016x}", fastrand::u64(..));
        let mut record = CallRecord {
            spec,
            ids: Vec::new(),
            started_ms: SystemClock::new().wall_ms(),
            outcome: CallOutcome::Lost("not sent".to_owned()),
            version: String::new(),
            elapsed_ms: 0.0,
            first_byte_ms: 0.0,
            instance: String::new(),
        };
        let mut fixed_id: Option<String> = None;
        let mut address_index = 0;
        for _ in 0..MAX_ATTEMPTS {
            let addresses = self.addresses().await;
            let Some(address) = addresses.get(address_index % addresses.len().max(1)) else {
                record.outcome = CallOutcome::Lost("no address".to_owned());
                Timer::after(Duration::from_millis(DEFAULT_RETRY_DELAY_MS)).await;
                continue;
            };
            // A keyed request that may have run is retried under the same identifier, so that it
            // cannot run twice.
            let id = fixed_id
                .clone()
                .unwrap_or_else(|| format!("{}{nonce}", address.id_prefix));
            if record.ids.last() != Some(&id) {
                record.ids.push(id.clone());
            }
            record.instance = address.addr.to_string();
            let delay_ms = match self.send(address.addr, &record.spec, &id).await {
                Err(err) if err.verdict == Verdict::NotRun => {
                    self.expire_addresses();
                    address_index += 1;
                    record.outcome = CallOutcome::Lost(err.message);
                    0
                }
                Err(err) => {
                    self.expire_addresses();
                    address_index += 1;
                    if record.spec.keyed {
                        fixed_id = Some(id);
                    }
                    record.outcome = CallOutcome::Lost(err.message);
                    DEFAULT_RETRY_DELAY_MS
                }
                Ok(reply) => {
                    record.first_byte_ms = reply.first_byte_ms;
                    record.version.clone_from(&reply.version);
                    let value = reply.json();
                    record.outcome = outcome_of(&record.spec, &id, &reply, &value);
                    match &record.outcome {
                        CallOutcome::Failed(Verdict::NotRun, _)
                            if reply.status == 503 || reply.status == 429 => {}
                        CallOutcome::Failed(Verdict::MayHaveRun, _)
                            if record.spec.keyed && address_index < 2 =>
                        {
                            address_index += 1;
                            fixed_id = Some(id);
                        }
                        _ => break,
                    }
                    value["error"]["retry_after_ms"]
                        .as_u64()
                        .unwrap_or(DEFAULT_RETRY_DELAY_MS)
                }
            };
            Timer::after(Duration::from_millis(delay_ms.min(MAX_RETRY_DELAY_MS))).await;
        }
        record.elapsed_ms = start.elapsed().as_secs_f64() * 1000.0;
        record
    }

    async fn send(
        &self,
        addr: SocketAddr,
        spec: &CallSpec,
        id: &str,
    ) -> Result<HttpResponse, SendError> {
        let bearer = format!("Bearer key-{}", spec.workspace);
        let mut headers = vec![
            ("authorization", bearer.as_str()),
            ("x-rosemary-priority", spec.priority.as_str()),
            ("x-rosemary-class", spec.class),
            ("content-type", "application/json"),
        ];
        if spec.keyed {
            headers.push(("idempotency-key", id));
        }
        if let Some(session) = &spec.session {
            headers.push(("x-rosemary-session", session));
        }
        let (path, body) = match spec.kind {
            CallKind::Service => (
                format!("/v1/services/{}", spec.target),
                json!({ "badge": 7 }),
            ),
            kind => {
                let messages = json!([{ "role": "user", "content": "Summarise the visit." }]);
                let stream = kind == CallKind::Stream;
                let body = json!({ "model": spec.target, "messages": messages, "stream": stream, "max_tokens": 12 });
                ("/v1/chat/completions".to_owned(), body)
            }
        };
        self.http
            .call(
                addr,
                Method::Post,
                &path,
                &headers,
                body.to_string().into_bytes(),
            )
            .await
    }
}

fn parse_addresses(value: &Value) -> Vec<Address> {
    let mut addresses = Vec::new();
    for row in value["addresses"].as_array().into_iter().flatten() {
        let addr = row["address"].as_str().and_then(|addr| addr.parse().ok());
        if let (Some(addr), Some(prefix)) = (addr, row["id_prefix"].as_str()) {
            addresses.push(Address {
                addr,
                id_prefix: prefix.to_owned(),
            });
        }
    }
    addresses
}

/// Returns the outcome of a response: only a complete answer to this request counts as answered.
fn outcome_of(spec: &CallSpec, id: &str, reply: &HttpResponse, value: &Value) -> CallOutcome {
    if reply.status != 200 {
        let verdict = reply.verdict.unwrap_or(Verdict::MayHaveRun);
        return CallOutcome::Failed(verdict, value["error"]["message"].to_string());
    }
    let (complete, answered_id) = match spec.kind {
        CallKind::Service => (
            value["done"] == true,
            value["request"].as_str().unwrap_or_default().to_owned(),
        ),
        CallKind::Chat => {
            let text = value["choices"][0]["message"]["content"]
                .as_str()
                .unwrap_or_default();
            let first = text.split(' ').next().unwrap_or_default();
            (
                value["choices"][0]["finish_reason"] == "stop",
                first.to_owned(),
            )
        }
        CallKind::Stream => read_stream(&reply.body),
    };
    if spec.kind == CallKind::Stream && !complete {
        return CallOutcome::Failed(Verdict::MayHaveRun, "the stream ended early".to_owned());
    }
    let answered_request = answered_id.split('/').next().unwrap_or_default();
    if !complete || (spec.keyed && answered_request != id) {
        return CallOutcome::Wrong(format!("expected the answer to {id}, found {answered_id}"));
    }
    CallOutcome::Answered
}

/// Returns whether a stream is complete, and its first word.
fn read_stream(body: &[u8]) -> (bool, String) {
    let text = String::from_utf8_lossy(body);
    let mut words = String::new();
    for line in text.lines() {
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        let value: Value = serde_json::from_str(data).unwrap_or(Value::Null);
        words.push_str(
            value["choices"][0]["delta"]["content"]
                .as_str()
                .unwrap_or_default(),
        );
    }
    let first = words.split(' ').next().unwrap_or_default().to_owned();
    (text.trim_end().ends_with("data: [DONE]"), first)
}
