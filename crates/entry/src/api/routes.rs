//! The table of paths.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

use http_types::{Method, Response};
use kernel::{Failure, Reason, Verdict};
use web::{BoxFuture, Handler, IncomingRequest, error_response};

use crate::api::{chat, info, services, sessions};
use crate::state::shared::Shared;

type Answering = Pin<Box<dyn Future<Output = Result<Response, Failure>> + Send>>;

/// One row of the table.
struct Route {
    method: Method,
    path: &'static str,
    /// Whether the path is a prefix.
    prefix: bool,
    answer: fn(Arc<Shared>, IncomingRequest, Vec<u8>) -> Answering,
}

macro_rules! route {
    ($method:ident, $path:expr, $prefix:expr, $answer:path) => {
        Route {
            method: Method::$method,
            path: $path,
            prefix: $prefix,
            answer: |shared, incoming, body| Box::pin($answer(shared, incoming, body)),
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
    fn fits(&self, path: &str) -> bool {
        if self.prefix {
            path.starts_with(self.path)
        } else {
            path == self.path
        }
    }
}

/// Answers callers.
pub(crate) struct Router {
    pub(crate) shared: Arc<Shared>,
}

impl Handler for Router {
    fn handle(&self, incoming: IncomingRequest) -> BoxFuture<'_, Response> {
        Box::pin(async move {
            match self.answer(incoming).await {
                Ok(response) => response,
                Err(failure) => self.refuse(&failure),
            }
        })
    }
}

impl Router {
    async fn answer(&self, mut incoming: IncomingRequest) -> Result<Response, Failure> {
        let body = incoming.read_body().await?;
        let method = incoming.request.method();
        let mut known = false;
        for route in ROUTES {
            if !route.fits(incoming.path()) {
                continue;
            }
            known = true;
            if route.method == method {
                return (route.answer)(self.shared.clone(), incoming, body).await;
            }
        }
        if known {
            let detail = format!("method {method} does not fit path '{}'", incoming.path());
            return Err(Failure::not_run(Reason::MethodNotAllowed, detail));
        }
        Err(Failure::not_run(
            Reason::NotFound,
            format!("no such path '{}'", incoming.path()),
        ))
    }

    fn refuse(&self, failure: &Failure) -> Response {
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
