//! Administrative paths of the fakes: faults, the log of executions and the instance list.

use http_types::{Method, Response};
use serde_json::json;
use store::ListedInstance;
use web::IncomingRequest;

use crate::faults::FaultConfig;
use crate::state::FakeState;

/// Handles a request below `/admin/`.
pub(crate) fn handle(
    state: &FakeState,
    path: &str,
    incoming: &IncomingRequest,
    body: &[u8],
) -> Response {
    match (path, incoming.request.method()) {
        ("faults", Method::Get) => web::json(200, &state.faults.get()),
        ("faults", Method::Put) => match serde_json::from_slice::<FaultConfig>(body) {
            Ok(config) => {
                if config.platform.stale_list {
                    state.objects.capture_stale_list();
                }
                state.faults.change(|active| *active = config);
                web::json(200, &json!({}))
            }
            Err(err) => web::json(400, &json!({ "error": err.to_string() })),
        },
        ("expire", Method::Post) => {
            state.objects.expire_history();
            web::json(200, &json!({}))
        }
        ("runs", Method::Get) => web::json(200, &state.runs.all()),
        ("instances", Method::Put) => match serde_json::from_slice::<Vec<ListedInstance>>(body) {
            Ok(list) => {
                state.set_instances(list);
                web::json(200, &json!({}))
            }
            Err(err) => web::json(400, &json!({ "error": err.to_string() })),
        },
        _ => web::json(404, &json!({ "error": "no such path" })),
    }
}
