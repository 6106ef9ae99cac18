//! Random calls to a sample deployment.

use kernel::Priority;

use crate::deployment::Deployment;
use crate::record::{CallKind, CallSpec};

/// Shares of the kinds of call, from 0 to 1.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TrafficMix {
    /// Share of service calls, which are non-idempotent.
    pub service: f64,
    /// Share of streamed chat completions.
    pub stream: f64,
    /// Share of the chat completions that carry an idempotency key.
    pub keyed: f64,
}

impl Default for TrafficMix {
    fn default() -> TrafficMix {
        TrafficMix {
            service: 0.3,
            stream: 0.4,
            keyed: 0.5,
        }
    }
}

/// Draws the parameters of one call.
pub fn random_call(
    deployment: Deployment,
    mix: TrafficMix,
    random: &mut fastrand::Rng,
) -> CallSpec {
    let workspaces = deployment.workspaces();
    let workspace = workspaces[random.usize(..workspaces.len())].into();
    let kind = match random.f64() {
        point if point < mix.service => CallKind::Service,
        point if point < mix.service + mix.stream => CallKind::Stream,
        _ => CallKind::Chat,
    };
    let (service, call) = deployment.service();
    let target = match kind {
        CallKind::Service => format!("{service}/{call}"),
        _ => deployment.model().to_owned(),
    };
    let priority = match kind {
        CallKind::Service => Priority::Urgent,
        _ if random.f64() < 0.2 => Priority::Batch,
        _ => Priority::Normal,
    };
    let class = ["default", "summary", "notice"][random.usize(..3)];
    let keyed = kind == CallKind::Service || random.f64() < mix.keyed;
    CallSpec {
        kind,
        workspace,
        target,
        priority,
        class,
        keyed,
        session: None,
    }
}
