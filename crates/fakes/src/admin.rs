//! The stand-ins' own paths: faults, the record of runs and the instance list.

use http_types::{Method, Response};
use serde_json::json;
use store::ListedInstance;
use web::IncomingRequest;

use crate::faults::FaultSet;
use crate::world::World;

/// Answers a call below `/admin/`.
pub(crate) fn answer(
    world: &World,
    path: &str,
    incoming: &IncomingRequest,
    body: &[u8],
) -> Response {
    match (path, incoming.request.method()) {
        ("faults", Method::Get) => web::json(200, &world.faults.get()),
        ("faults", Method::Put) => match serde_json::from_slice::<FaultSet>(body) {
            Ok(set) => {
                if set.platform.stale_list {
                    world.objects.remember_stale();
                }
                world.faults.change(|held| *held = set);
                web::json(200, &json!({}))
            }
            Err(err) => web::json(400, &json!({ "error": err.to_string() })),
        },
        ("expire", Method::Post) => {
            world.objects.expire();
            web::json(200, &json!({}))
        }
        ("runs", Method::Get) => web::json(200, &world.runs.all()),
        ("instances", Method::Put) => match serde_json::from_slice::<Vec<ListedInstance>>(body) {
            Ok(list) => {
                world.set_instances(list);
                web::json(200, &json!({}))
            }
            Err(err) => web::json(400, &json!({ "error": err.to_string() })),
        },
        _ => web::json(404, &json!({ "error": "no such path" })),
    }
}
