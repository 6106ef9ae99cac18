//! Fake platform: object API, instance list, ratings and weights over HTTP.

use std::sync::Arc;
use std::time::Duration;

use http_types::{Method, Response};
use kernel::{Clock, SystemClock};
use percent_encoding::percent_decode_str;
use serde_json::{Value, json};
use smol::Timer;
use store::{AnswerSample, InstanceState, ListedInstance, Precondition, StoreError};
use web::{BoxFuture, Handler, IncomingRequest};

use crate::admin;
use crate::state::FakeState;

/// Interval at which a waiting watch checks for changes.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// HTTP handler of the platform.
pub(crate) struct Platform {
    pub(crate) state: Arc<FakeState>,
    pub(crate) clock: SystemClock,
}

impl Handler for Platform {
    fn handle(&self, incoming: IncomingRequest) -> BoxFuture<'_, Response> {
        Box::pin(self.respond(incoming))
    }
}

fn query_param(incoming: &IncomingRequest, name: &str) -> String {
    let found = incoming.url().query_pairs().find(|(key, _)| key == name);
    found
        .map(|(_, value)| value.into_owned())
        .unwrap_or_default()
}

fn error_response(err: &StoreError) -> Response {
    let status = match err {
        StoreError::NotFound => 404,
        StoreError::Conflict => 409,
        StoreError::Expired => 410,
        StoreError::RateLimited => 429,
        StoreError::Unavailable { .. } => 503,
    };
    web::json(status, &json!({ "error": err.to_string() }))
}

fn reply(result: Result<impl serde::Serialize, StoreError>) -> Response {
    result.map_or_else(|err| error_response(&err), |value| web::json(200, &value))
}

impl Platform {
    async fn respond(&self, mut incoming: IncomingRequest) -> Response {
        let path = percent_decode_str(incoming.path()).decode_utf8_lossy();
        let path = path.trim_start_matches('/').to_owned();
        let body = incoming.read_body().await.unwrap_or_default();
        if let Some(rest) = path.strip_prefix("admin/") {
            return admin::handle(&self.state, rest, &incoming, &body);
        }
        let faults = self.state.faults.get().platform;
        let caller = incoming.header("x-caller").unwrap_or_default();
        let cut_off = faults.cut_off.iter().any(|name| name == caller);
        if faults.down || cut_off {
            return web::json(503, &json!({ "error": "down" }));
        }
        if faults.slow_ms > 0 {
            Timer::after(Duration::from_millis(faults.slow_ms)).await;
        }
        let (head, rest) = path.split_once('/').unwrap_or((&path, ""));
        match (head, incoming.request.method()) {
            ("objects", Method::Get) if rest.is_empty() => self.list(&incoming, faults.stale_list),
            ("objects", Method::Get) => reply(self.state.objects.get(rest)),
            ("objects", Method::Put | Method::Delete) => self.write(&incoming, rest, &body),
            ("watch", Method::Get) if faults.expire_watches => error_response(&StoreError::Expired),
            ("watch", Method::Get) => self.watch(&incoming).await,
            ("instances", Method::Get) => web::json(200, &self.instances()),
            ("ratings", Method::Post) => self.ratings(rest, &body, faults.rating_lag_ms),
            ("weights", Method::Get) => {
                web::json(200, &json!({ "version": rest, "size_bytes": 1_000_000 }))
            }
            _ => error_response(&StoreError::NotFound),
        }
    }

    fn list(&self, incoming: &IncomingRequest, stale: bool) -> Response {
        let prefix = query_param(incoming, "prefix");
        let objects = &self.state.objects;
        let listing = if stale {
            objects.stale_list(&prefix)
        } else {
            objects.list(&prefix)
        };
        web::json(200, &listing)
    }

    fn write(&self, incoming: &IncomingRequest, path: &str, body: &[u8]) -> Response {
        let expect = match query_param(incoming, "expect").as_str() {
            "absent" => Precondition::Absent,
            "any" => Precondition::Any,
            number => Precondition::Revision(number.parse().unwrap_or(0)),
        };
        let result = if incoming.request.method() == Method::Delete {
            self.state.objects.delete(path, expect)
        } else {
            match serde_json::from_slice::<Value>(body) {
                Ok(value) => self.state.objects.put(path, value, expect),
                Err(err) => return web::json(400, &json!({ "error": err.to_string() })),
            }
        };
        if result.is_ok() && self.state.faults.consume_lost_answer() {
            return web::json(500, &json!({ "error": "the answer is lost" }));
        }
        reply(result.map(|revision| json!({ "revision": revision })))
    }

    async fn watch(&self, incoming: &IncomingRequest) -> Response {
        let prefix = query_param(incoming, "prefix");
        let from = query_param(incoming, "from").parse().unwrap_or(0);
        let wait_ms: u64 = query_param(incoming, "wait_ms").parse().unwrap_or(0);
        let deadline_ms = self.clock.mono_ms() + wait_ms;
        loop {
            let changes = self.state.objects.changes(&prefix, from);
            let unchanged = changes
                .as_ref()
                .is_ok_and(|listing| listing.objects.is_empty());
            let faults = self.state.faults.get().platform;
            if !unchanged || self.clock.mono_ms() >= deadline_ms || faults.down {
                return reply(changes);
            }
            Timer::after(WATCH_POLL_INTERVAL).await;
        }
    }

    fn instances(&self) -> Vec<ListedInstance> {
        let leaving = self.state.faults.get().leaving;
        let mut listed = self
            .state
            .instances
            .lock()
            .map(|list| list.clone())
            .unwrap_or_default();
        for instance in &mut listed {
            if leaving.iter().any(|name| **name == *instance.name) {
                instance.state = InstanceState::Leaving;
            }
        }
        listed
    }

    fn ratings(&self, rest: &str, body: &[u8], lag_ms: u64) -> Response {
        let now_ms = self.clock.wall_ms();
        if rest == "poll" {
            let ids: Vec<Arc<str>> = serde_json::from_slice(body).unwrap_or_default();
            return web::json(200, &self.state.ratings.poll(&ids, lag_ms, now_ms));
        }
        let samples: Vec<AnswerSample> = serde_json::from_slice(body).unwrap_or_default();
        self.state.ratings.submit(&samples, now_ms);
        web::json(200, &json!({}))
    }
}
