//! The platform's list of instances.

use std::rc::Rc;
use std::time::Duration;

use smol::Timer;
use store::{InstanceList, InstanceState, ListedInstance};

use crate::control::gossip;
use crate::control::state::{Control, LeavingEndpoint};
use crate::control::watch::is_watcher;

/// Reads the list as long as this instance is among those that do.
pub(super) async fn run(control: Rc<Control>) {
    let interval = Duration::from_millis(control.shared.settings.list_interval_ms);
    loop {
        let alone = control.table.borrow().live().len() == 1;
        if is_watcher(&control) || alone {
            match control.shared.platform.instances().await {
                Ok(instances) => take(&control, &instances).await,
                Err(err) => tracing::debug!("list: {err}"),
            }
        }
        Timer::after(interval).await;
    }
}

async fn take(control: &Rc<Control>, instances: &[ListedInstance]) {
    let mut strangers = Vec::new();
    for instance in instances {
        match instance.name.split_once('/') {
            Some((pool, name)) if instance.state == InstanceState::Leaving => {
                let endpoint = LeavingEndpoint {
                    pool: pool.into(),
                    name: name.into(),
                    addr: instance.addr.clone(),
                };
                control.endpoint_leaves(endpoint);
            }
            Some(_) => {}
            None if is_stranger(control, instance) => strangers.push(instance.addr.clone()),
            None => {}
        }
    }
    for addr in strangers {
        if let Ok(addr) = addr.parse() {
            gossip::join(control, addr).await;
        }
    }
}

/// Returns whether the table holds no live member at the instance's address.
fn is_stranger(control: &Control, instance: &ListedInstance) -> bool {
    let table = control.table.borrow();
    let known = table
        .live()
        .iter()
        .any(|member| member.peer_addr == instance.addr);
    !known && instance.state == InstanceState::Live
}
