//! The route table.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

use http_types::{Method, Response};
use kernel::{Failure, Reason, Verdict};
use web::{BoxFuture, Handler, IncomingRequest, error_response};

use crate::api::{chat, info, services, sessions};
use crate::state::shared::Shared;

type ResponseFuture = Pin<Box<dyn Future<Output = Result<Response, Failure>> + Send>>;

struct Route {
    method: Method,
    path: &'static str,
    /// Whether all paths below `path` match too.
    is_prefix: bool,
    handler: fn(Arc<Shared>, IncomingRequest, Vec<u8>) -> ResponseFuture,
}

macro_rules! route {
    ($method:ident, $path:expr, $is_prefix:expr, $handler:path) => {
        Route {
            method: Method::$method,
            path: $path,
            is_prefix: $is_prefix,
            handler: |shared, incoming, body| Box::pin($handler(shared, incoming, body)),
        }
    };
}

const ROUTES: &[Route] = &[
    route!(Post, "/v1/chat/completions", false, chat::answer),
    route!(Post, services::PREFIX, true, services::answer),
    route!(Post, "/v1/sessions", false, sessions::open),
    route!(Get, "/v1/addresses", false, info::addresses),
    route!(Get, "/v1/models", false, info::models),
    route!(Get, "/v1/status", false, info::status),
    route!(Get, "/healthz", false, info::health),
    route!(Get, "/readyz", false, info::ready),
];

impl Route {
    fn matches(&self, path: &str) -> bool {
        if self.is_prefix {
            path.starts_with(self.path)
        } else {
            path == self.path
        }
    }
}

/// Dispatches callers' requests to the handlers of [`ROUTES`].
pub(crate) struct Router {
    pub(crate) shared: Arc<Shared>,
}

impl Handler for Router {
    fn handle(&self, incoming: IncomingRequest) -> BoxFuture<'_, Response> {
        Box::pin(async move {
            match self.route(incoming).await {
                Ok(response) => response,
                Err(failure) => self.failure_response(&failure),
            }
        })
    }
}

impl Router {
    async fn route(&self, mut incoming: IncomingRequest) -> Result<Response, Failure> {
        let body = incoming.read_body().await?;
        let method = incoming.request.method();
        let mut path_exists = false;
        for route in ROUTES {
            if !route.matches(incoming.path()) {
                continue;
            }
            path_exists = true;
            if route.method == method {
                return (route.handler)(self.shared.clone(), incoming, body).await;
            }
        }
        if path_exists {
            let detail = format!("method {method} does not fit path '{}'", incoming.path());
            return Err(Failure::not_run(Reason::MethodNotAllowed, detail));
        }
        Err(Failure::not_run(
            Reason::NotFound,
            format!("no such path '{}'", incoming.path()),
        ))
    }

    fn failure_response(&self, failure: &Failure) -> Response {
        let metric = match failure.verdict {
            Verdict::NotRun => "request.not-run",
            Verdict::MayHaveRun | Verdict::Ran => "request.may-have-run",
        };
        self.shared.metrics.count(metric);
        tracing::debug!(
            verdict = failure.verdict.as_str(),
            reason = failure.reason.as_str(),
            "request: refused, {}",
            failure.detail
        );
        error_response(failure)
    }
}
