//! Information on an instance, its peers and its models.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use http_types::Response;
use kernel::{Failure, Incarnation, Reason, RequestId};
use member::{Member, members_for_caller};
use serde::Serialize;
use serde_json::json;
use web::IncomingRequest;

use crate::answer::context::authenticate;
use crate::state::shared::Shared;

/// The most addresses in one address list.
const MAX_ADDRESSES: usize = 3;

#[derive(Debug, Serialize)]
struct AddressRow {
    address: Arc<str>,
    zone: Arc<str>,
    id_prefix: String,
}

#[derive(Debug, Serialize)]
struct MemberRow {
    name: Arc<str>,
    zone: Arc<str>,
    address: Arc<str>,
    incarnation: Incarnation,
    leaving: bool,
}

/// Lists the instances to use: `GET /v1/addresses`, with `?zone=NAME` to prefer those of a zone.
pub(crate) async fn addresses(
    shared: Arc<Shared>,
    incoming: IncomingRequest,
    _: Vec<u8>,
) -> Result<Response, Failure> {
    let view = shared.view.load_full();
    let zone = incoming.url().query_pairs().find(|(key, _)| key == "zone");
    let zone = zone.map_or_else(
        || shared.settings.zone.clone(),
        |(_, value)| value.into_owned(),
    );
    let stopping = shared.stopping.load(Ordering::Relaxed);
    let usable =
        |member: &&Member| member.incarnation != shared.incarnation || (view.serving && !stopping);
    let members: Vec<&Member> = view.members.iter().filter(usable).collect();
    let chosen = members_for_caller(&zone, &members, MAX_ADDRESSES, &mut fastrand::Rng::new());
    if chosen.is_empty() {
        let detail = "no instance accepts requests";
        return Err(Failure::not_run(Reason::NotReady, detail).retry_after_ms(1_000));
    }
    let now_ms = shared.clock.wall_ms();
    let mut rows = Vec::new();
    for member in chosen {
        rows.push(AddressRow {
            address: member.http_addr.clone(),
            zone: member.zone.clone(),
            id_prefix: RequestId::prefix(member.incarnation, now_ms),
        });
    }
    Ok(web::json(
        200,
        &json!({ "addresses": rows, "lifetime_ms": shared.settings.address_lifetime_ms }),
    ))
}

/// Lists the models and versions that the workspace may use: `GET /v1/models`.
pub(crate) async fn models(
    shared: Arc<Shared>,
    incoming: IncomingRequest,
    _: Vec<u8>,
) -> Result<Response, Failure> {
    let view = shared.view.load_full();
    let workspace = authenticate(&view, &incoming)?;
    let mut rows = Vec::new();
    for model in view.snapshot.models() {
        let versions = view.snapshot.versions_of(&model).iter();
        let versions = versions.filter(|version| view.snapshot.permits(&workspace, &version.name));
        let versions: Vec<Arc<str>> = versions.map(|version| version.name.clone()).collect();
        if versions.is_empty() {
            continue;
        }
        rows.push(json!({ "id": model, "object": "model", "owned_by": "rosemarylift", "versions": versions }));
    }
    Ok(web::json(200, &json!({ "object": "list", "data": rows })))
}

/// Liveness check: `GET /healthz`.
pub(crate) async fn health(
    _: Arc<Shared>,
    _: IncomingRequest,
    _: Vec<u8>,
) -> Result<Response, Failure> {
    Ok(web::json(200, &json!({ "running": true })))
}

/// Readiness check, whether the instance accepts new requests: `GET /readyz`.
pub(crate) async fn ready(
    shared: Arc<Shared>,
    _: IncomingRequest,
    _: Vec<u8>,
) -> Result<Response, Failure> {
    if shared.view.load().serving && !shared.stopping.load(Ordering::Relaxed) {
        return Ok(web::json(200, &json!({ "ready": true })));
    }
    Err(
        Failure::not_run(Reason::NotReady, "this instance accepts no new requests")
            .retry_after_ms(1_000),
    )
}

/// Reports the configuration revision, the members and the platform calls: `GET /v1/status`.
pub(crate) async fn status(
    shared: Arc<Shared>,
    _: IncomingRequest,
    _: Vec<u8>,
) -> Result<Response, Failure> {
    let view = shared.view.load_full();
    let mut members = Vec::new();
    for member in view.members.iter() {
        members.push(MemberRow {
            name: member.name.clone(),
            zone: member.zone.clone(),
            address: member.http_addr.clone(),
            incarnation: member.incarnation,
            leaving: member.leaving,
        });
    }
    let rejected: Vec<String> = view
        .snapshot
        .rejected
        .iter()
        .map(ToString::to_string)
        .collect();
    let calls = shared.platform.rate_limiter().counts();
    let body = json!({
        "name": shared.settings.name,
        "incarnation": shared.incarnation,
        "revision": shared.complete_revision.load(Ordering::SeqCst),
        "serving": view.serving,
        "stopping": shared.stopping.load(Ordering::Relaxed),
        "rejected": rejected,
        "members": members,
        "peer_bytes": shared.peer_bytes.load(Ordering::Relaxed),
        "platform": { "reads": calls.reads, "writes": calls.writes, "refused": calls.refused },
    });
    Ok(web::json(200, &body))
}
