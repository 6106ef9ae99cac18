//! The HTTP client of the platform services.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use catalog::Object;
use futures_lite::FutureExt;
use http_types::{Method, Request, Url};
use kernel::{Clock, SystemClock, Verdict};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use smol::Timer;
use web::{BoxFuture, Client, ConnectionReuse};

use crate::api::{
    AnswerSample, InstanceList, ListedInstance, Listing, ObjectApi, Precondition, Rating,
    RatingService, WeightStore, Weights,
};
use crate::encoding::encode_name;
use crate::error::StoreError;
use crate::rate_limiter::{RateLimiter, RateLimits};
use crate::raw_listing::{RawList, RawListing};

/// The maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: u64 = 64 << 20;

/// The connect timeout, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 1000;

/// The path of no object, so that the response to a read is small.
const ABSENT_PATH: &str = "ping/absent";

/// The HTTP client of the platform services.
pub struct HttpPlatformClient {
    addr: SocketAddr,
    client: Client,
    timeout_ms: u64,
    caller: String,
    clock: SystemClock,
    rate_limiter: RateLimiter,
}

/// The response to a write.
#[derive(Debug, Serialize, Deserialize)]
struct WriteResponse {
    revision: u64,
}

/// The rate limit that a call counts against.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallKind {
    Read,
    Write,
    /// No limit: the call goes to the rating service or the weight store.
    Unlimited,
}

impl HttpPlatformClient {
    /// Creates a client of the platform at an address, with the timeout of each call.
    pub fn new(addr: SocketAddr, timeout_ms: u64, limits: RateLimits) -> HttpPlatformClient {
        let client = Client::new(CONNECT_TIMEOUT_MS);
        let caller = String::new();
        HttpPlatformClient {
            addr,
            client,
            timeout_ms,
            caller,
            clock: SystemClock::new(),
            rate_limiter: RateLimiter::new(limits),
        }
    }

    /// Sets the caller name sent with each call, for the platform's logs.
    pub fn with_caller(mut self, name: &str) -> HttpPlatformClient {
        self.caller = name.to_owned();
        self
    }

    /// Returns the client-side rate limiter, which also counts calls.
    pub fn rate_limiter(&self) -> &RateLimiter {
        &self.rate_limiter
    }

    fn url(&self, path: &str, query: &[(&str, &str)]) -> Result<Url, StoreError> {
        let segments = path.split('/').map(|name| encode_name(name.as_bytes()));
        let segments: Vec<String> = segments.map(|name| name.to_string()).collect();
        let base = format!("http://{}/{}", self.addr, segments.join("/"));
        let url = if query.is_empty() {
            Url::parse(&base)
        } else {
            Url::parse_with_params(&base, query)
        };
        url.map_err(|err| unavailable(Verdict::NotRun, err.to_string()))
    }

    async fn call<T: DeserializeOwned>(
        &self,
        kind: CallKind,
        method: Method,
        url: Url,
        body: Option<Vec<u8>>,
        extra_wait_ms: u64,
    ) -> Result<T, StoreError> {
        let now_ms = self.clock.mono_ms();
        match kind {
            CallKind::Read => self.rate_limiter.try_acquire_read(now_ms)?,
            CallKind::Write => self.rate_limiter.try_acquire_write(now_ms)?,
            CallKind::Unlimited => {}
        }
        let mut request = Request::new(method, url);
        request.insert_header("x-caller", &*self.caller);
        if let Some(body) = body {
            request.set_body(body);
        }
        let limit = Duration::from_millis(self.timeout_ms + extra_wait_ms);
        let timeout = async {
            Timer::after(limit).await;
            Err(unavailable(
                Verdict::MayHaveRun,
                format!("no response within {} ms", limit.as_millis()),
            ))
        };
        self.send(request).or(timeout).await
    }

    async fn send<T: DeserializeOwned>(&self, request: Request) -> Result<T, StoreError> {
        let sent = self
            .client
            .send(self.addr, request, ConnectionReuse::Allowed)
            .await;
        let mut response = sent.map_err(|err| unavailable(err.verdict, err.message))?;
        let bytes = response.read_body(MAX_RESPONSE_BYTES).await;
        let bytes = bytes.map_err(|err| unavailable(Verdict::MayHaveRun, err.to_string()))?;
        let status = response.status();
        response.recycle();
        match status {
            200 => {}
            404 => return Err(StoreError::NotFound),
            409 => return Err(StoreError::Conflict),
            410 => return Err(StoreError::Expired),
            429 => return Err(unavailable(Verdict::NotRun, "rate limited".to_owned())),
            other => {
                return Err(unavailable(
                    Verdict::MayHaveRun,
                    format!("HTTP status {other}"),
                ));
            }
        }
        // Other writers may have stored bytes that are not UTF-8.
        let text = String::from_utf8_lossy(&bytes);
        serde_json::from_str(&text).map_err(|err| unavailable(Verdict::MayHaveRun, err.to_string()))
    }

    async fn write(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
        precondition: Precondition,
    ) -> Result<u64, StoreError> {
        let expect = match precondition {
            Precondition::Any => "any".to_owned(),
            Precondition::Absent => "absent".to_owned(),
            Precondition::Revision(revision) => revision.to_string(),
        };
        let url = self.url(&format!("objects/{path}"), &[("expect", &expect)])?;
        let written: WriteResponse = self.call(CallKind::Write, method, url, body, 0).await?;
        Ok(written.revision)
    }
}

fn unavailable(verdict: Verdict, message: String) -> StoreError {
    StoreError::Unavailable { verdict, message }
}

fn to_json(value: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_default()
}

impl ObjectApi for HttpPlatformClient {
    fn get<'a>(&'a self, path: &'a str) -> BoxFuture<'a, Result<Object, StoreError>> {
        Box::pin(async move {
            let url = self.url(&format!("objects/{path}"), &[])?;
            self.call(CallKind::Read, Method::Get, url, None, 0).await
        })
    }

    fn ping(&self) -> BoxFuture<'_, Result<(), StoreError>> {
        Box::pin(async move {
            match self.get(ABSENT_PATH).await {
                Ok(_) | Err(StoreError::NotFound) => Ok(()),
                Err(err) => Err(err),
            }
        })
    }

    fn list<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Listing, StoreError>> {
        Box::pin(async move {
            let url = self.url("objects", &[("prefix", prefix)])?;
            let call = self.call::<RawListing>(CallKind::Read, Method::Get, url, None, 0);
            Ok(call.await?.decode())
        })
    }

    fn put<'a>(
        &'a self,
        path: &'a str,
        value: &'a Value,
        precondition: Precondition,
    ) -> BoxFuture<'a, Result<u64, StoreError>> {
        Box::pin(self.write(Method::Put, path, Some(to_json(value)), precondition))
    }

    fn delete<'a>(
        &'a self,
        path: &'a str,
        precondition: Precondition,
    ) -> BoxFuture<'a, Result<u64, StoreError>> {
        Box::pin(self.write(Method::Delete, path, None, precondition))
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        from_revision: u64,
        wait_ms: u64,
    ) -> BoxFuture<'a, Result<Listing, StoreError>> {
        Box::pin(async move {
            let from = from_revision.to_string();
            let wait = wait_ms.to_string();
            let url = self.url(
                "watch",
                &[("prefix", prefix), ("from", &from), ("wait_ms", &wait)],
            )?;
            let call = self.call::<RawListing>(CallKind::Read, Method::Get, url, None, wait_ms);
            Ok(call.await?.decode())
        })
    }
}

impl InstanceList for HttpPlatformClient {
    fn instances(&self) -> BoxFuture<'_, Result<Vec<ListedInstance>, StoreError>> {
        Box::pin(async move {
            let url = self.url("instances", &[])?;
            let call = self.call::<RawList>(CallKind::Read, Method::Get, url, None, 0);
            Ok(call.await?.decode())
        })
    }
}

impl RatingService for HttpPlatformClient {
    fn submit<'a>(&'a self, samples: &'a [AnswerSample]) -> BoxFuture<'a, Result<(), StoreError>> {
        Box::pin(async move {
            let url = self.url("ratings", &[])?;
            let _: Value = self
                .call(
                    CallKind::Unlimited,
                    Method::Post,
                    url,
                    Some(to_json(&samples)),
                    0,
                )
                .await?;
            Ok(())
        })
    }

    fn ratings<'a>(
        &'a self,
        ids: &'a [Arc<str>],
    ) -> BoxFuture<'a, Result<Vec<Rating>, StoreError>> {
        Box::pin(async move {
            let url = self.url("ratings/poll", &[])?;
            let body = Some(to_json(&ids));
            let call = self.call::<RawList>(CallKind::Unlimited, Method::Post, url, body, 0);
            Ok(call.await?.decode())
        })
    }
}

impl WeightStore for HttpPlatformClient {
    fn weights<'a>(&'a self, version: &'a str) -> BoxFuture<'a, Result<Weights, StoreError>> {
        Box::pin(async move {
            let url = self.url(&format!("weights/{version}"), &[])?;
            self.call(CallKind::Unlimited, Method::Get, url, None, 0)
                .await
        })
    }
}
