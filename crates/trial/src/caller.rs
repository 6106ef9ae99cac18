//! A caller that follows the documented rules.

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

/// How long one exchange may take.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(20);

/// How often one call is asked before its caller gives up.
const MAX_ASKS: u32 = 8;

/// The pause before the next ask where the answer names none, in milliseconds.
const DEFAULT_PAUSE_MS: u64 = 100;

/// The longest pause that the caller keeps, in milliseconds.
const MAX_PAUSE_MS: u64 = 3_000;

/// A plain HTTP caller.
pub struct HttpClient {
    client: Client,
}

/// A whole response.
#[derive(Debug, Clone)]
pub struct HttpResponse {
    /// The status code.
    pub status: u16,
    /// The verdict header.
    pub verdict: Option<Verdict>,
    /// The version header.
    pub version: String,
    /// The body.
    pub body: Vec<u8>,
    /// Milliseconds to the first byte of the body.
    pub first_byte_ms: f64,
}

impl HttpResponse {
    /// Returns the body as JSON.
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
    /// Fails with whether any byte was sent.
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
        let broken = |message: String| SendError {
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
                .map_err(|err| broken(err.to_string()))?;
            body.truncate(count);
            let first_byte_ms = start.elapsed().as_secs_f64() * 1000.0;
            reply
                .read_to_end(&mut body)
                .await
                .map_err(|err| broken(err.to_string()))?;
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
        let expire = async {
            Timer::after(EXCHANGE_TIMEOUT).await;
            Err(broken("no answer in time".to_owned()))
        };
        exchange.or(expire).await
    }
}

/// One address with its identifier prefix.
#[derive(Debug, Clone)]
struct Address {
    addr: SocketAddr,
    id_prefix: String,
}

#[derive(Debug, Default)]
struct Known {
    addresses: Vec<Address>,
    until: Option<Instant>,
}

/// A caller that asks the system which address to use, keeps the answer for its lifetime, and asks
/// again by the rules.
pub struct Caller {
    http: HttpClient,
    seeds: Vec<SocketAddr>,
    zone: String,
    known: Mutex<Known>,
}

impl Caller {
    /// Makes a caller that knows some addresses to ask first.
    pub fn new(seeds: Vec<SocketAddr>, zone: &str) -> Caller {
        Caller {
            http: HttpClient::default(),
            seeds,
            zone: zone.to_owned(),
            known: Mutex::default(),
        }
    }

    /// Returns the plain HTTP caller.
    pub fn http(&self) -> &HttpClient {
        &self.http
    }

    fn forget(&self) {
        self.known
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .until = None;
    }

    /// Returns the kept addresses while they may be used.
    fn kept(&self) -> Option<Vec<Address>> {
        let known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        let fresh = known.until.is_some_and(|until| Instant::now() < until);
        fresh.then(|| known.addresses.clone())
    }

    async fn addresses(&self) -> Vec<Address> {
        if let Some(addresses) = self.kept() {
            return addresses;
        }
        // Addresses that were good before may outlive all of the first ones.
        let mut seeds = self.seeds.clone();
        let known = self
            .known
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .addresses
            .clone();
        seeds.extend(known.iter().map(|address| address.addr));
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
            let addresses = read_addresses(&value);
            if addresses.is_empty() {
                continue;
            }
            let lifetime = Duration::from_millis(value["lifetime_ms"].as_u64().unwrap_or(1_000));
            let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
            known.until = Some(Instant::now() + lifetime);
            known.addresses.clone_from(&addresses);
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

    /// Makes a call and asks again by the rules until it has a final answer.
    pub async fn call(&self, spec: CallSpec) -> CallRecord {
        let start = Instant::now();
        let nonce = format!("{:016x}", fastrand::u64(..));
        let mut record = CallRecord {
            spec,
            ids: Vec::new(),
            started_ms: SystemClock::new().wall_ms(),
            outcome: CallOutcome::Lost("never asked".to_owned()),
            version: String::new(),
            elapsed_ms: 0.0,
            first_byte_ms: 0.0,
            instance: String::new(),
        };
        let mut fixed_id: Option<String> = None;
        let mut shift = 0;
        for _ in 0..MAX_ASKS {
            let addresses = self.addresses().await;
            let Some(address) = addresses.get(shift % addresses.len().max(1)) else {
                record.outcome = CallOutcome::Lost("no address".to_owned());
                Timer::after(Duration::from_millis(DEFAULT_PAUSE_MS)).await;
                continue;
            };
            // An identifier stays for as long as the request may have run under it.
            let id = fixed_id
                .clone()
                .unwrap_or_else(|| format!("{}{nonce}", address.id_prefix));
            if record.ids.last() != Some(&id) {
                record.ids.push(id.clone());
            }
            record.instance = address.addr.to_string();
            let pause_ms = match self.ask(address.addr, &record.spec, &id).await {
                Err(err) if err.verdict == Verdict::NotRun => {
                    self.forget();
                    shift += 1;
                    record.outcome = CallOutcome::Lost(err.message);
                    0
                }
                Err(err) => {
                    self.forget();
                    shift += 1;
                    if record.spec.keyed {
                        fixed_id = Some(id);
                    }
                    record.outcome = CallOutcome::Lost(err.message);
                    DEFAULT_PAUSE_MS
                }
                Ok(reply) => {
                    record.first_byte_ms = reply.first_byte_ms;
                    record.version.clone_from(&reply.version);
                    let value = reply.json();
                    record.outcome = judge(&record.spec, &id, &reply, &value);
                    match &record.outcome {
                        CallOutcome::Failed(Verdict::NotRun, _)
                            if reply.status == 503 || reply.status == 429 => {}
                        CallOutcome::Failed(Verdict::MayHaveRun, _)
                            if record.spec.keyed && shift < 2 =>
                        {
                            shift += 1;
                            fixed_id = Some(id);
                        }
                        _ => break,
                    }
                    value["error"]["retry_after_ms"]
                        .as_u64()
                        .unwrap_or(DEFAULT_PAUSE_MS)
                }
            };
            Timer::after(Duration::from_millis(pause_ms.min(MAX_PAUSE_MS))).await;
        }
        record.elapsed_ms = start.elapsed().as_secs_f64() * 1000.0;
        record
    }

    async fn ask(
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

fn read_addresses(value: &Value) -> Vec<Address> {
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

/// Says how a response ends a call: only the whole answer to this very request counts.
fn judge(spec: &CallSpec, id: &str, reply: &HttpResponse, value: &Value) -> CallOutcome {
    if reply.status != 200 {
        let verdict = reply.verdict.unwrap_or(Verdict::MayHaveRun);
        return CallOutcome::Failed(verdict, value["error"]["message"].to_string());
    }
    let (whole, own) = match spec.kind {
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
    if spec.kind == CallKind::Stream && !whole {
        return CallOutcome::Failed(Verdict::MayHaveRun, "the stream broke off".to_owned());
    }
    let own_request = own.split('/').next().unwrap_or_default();
    if !whole || (spec.keyed && own_request != id) {
        return CallOutcome::Wrong(format!("expected the answer to {id}, found {own}"));
    }
    CallOutcome::Answered
}

/// Returns whether a stream ended as it should, and its first word.
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
