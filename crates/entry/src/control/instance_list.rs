//! Polls the platform's list of instances.

use std::rc::Rc;
use std::time::Duration;

use smol::Timer;
use store::{InstanceList, InstanceState, ListedInstance};

use crate::control::config_watch::is_watcher;
use crate::control::gossip;
use crate::control::state::{ControlState, LeavingEndpoint};

/// Polls the list while this instance is a watcher or knows no other live instance.
pub(super) async fn run(control: Rc<ControlState>) {
    let interval = Duration::from_millis(control.shared.settings.list_interval_ms);
    loop {
        let alone = control.table.borrow().live().len() == 1;
        if is_watcher(&control) || alone {
            match control.shared.platform.instances().await {
                Ok(instances) => apply(&control, &instances).await,
                Err(err) => tracing::debug!("list: {err}"),
            }
        }
        Timer::after(interval).await;
    }
}

async fn apply(control: &Rc<ControlState>, instances: &[ListedInstance]) {
    let mut unknown = Vec::new();
    for instance in instances {
        match instance.name.split_once('/') {
            Some((pool, name)) if instance.state == InstanceState::Leaving => {
                let endpoint = LeavingEndpoint {
                    pool: pool.into(),
                    name: name.into(),
                    addr: instance.addr.clone(),
                };
                control.mark_endpoint_leaving(endpoint);
            }
            Some(_) => {}
            None if is_unknown(control, instance) => unknown.push(instance.addr.clone()),
            None => {}
        }
    }
    for addr in unknown {
        if let Ok(addr) = addr.parse() {
            gossip::join(control, addr).await;
        }
    }
}

/// Returns whether a live listed instance has no live member at its address.
fn is_unknown(control: &ControlState, instance: &ListedInstance) -> bool {
    let table = control.table.borrow();
    let known = table
        .live()
        .iter()
        .any(|member| member.peer_addr == instance.addr);
    !known && instance.state == InstanceState::Live
}
