//! Sessions, each pinned to one version until it expires.

use std::sync::Arc;

use http_types::Response;
use kernel::{Failure, Reason};
use serde::{Deserialize, Serialize};
use session::Session;
use web::IncomingRequest;

use crate::answer::context::Context;
use crate::answer::plan;
use crate::state::shared::Shared;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct OpenRequest {
    model: Arc<str>,
}

#[derive(Debug, Serialize)]
struct OpenReply {
    session: String,
    model: Arc<str>,
    version: Arc<str>,
    expires_ms: u64,
}

/// Opens a session: `POST /v1/sessions` with `{"model": NAME}`.
pub(crate) async fn open(
    shared: Arc<Shared>,
    incoming: IncomingRequest,
    body: Vec<u8>,
) -> Result<Response, Failure> {
    let context = Context::from_request(&shared, &incoming)?;
    let request: OpenRequest = serde_json::from_slice(&body).map_err(|err| {
        Failure::not_run(
            Reason::BadRequest,
            format!("the body: expected {{\"model\": NAME}}: {err}"),
        )
    })?;
    context.check_serving(&shared)?;
    let version = plan::choose_session_version(&shared, &context, &request.model)?;
    let session = Session {
        workspace: context.workspace.name.clone(),
        model: request.model.clone(),
        version: version.name.clone(),
        expires_ms: shared.clock.wall_ms() + shared.settings.session_lifetime_ms,
    };
    let token = session.sign(&context.view.snapshot.keys).ok_or_else(|| {
        let detail = "no signing key is declared at config/system/keys";
        Failure::not_run(Reason::NotReady, detail).retry_after_ms(5_000)
    })?;
    let reply = OpenReply {
        session: token,
        model: request.model,
        version: session.version,
        expires_ms: session.expires_ms,
    };
    Ok(web::json(200, &reply))
}
