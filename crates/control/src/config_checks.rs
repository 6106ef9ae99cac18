//! Checks of configurations that have come into force.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use async_channel::{Receiver, Sender, bounded};
use catalog::Object;

use crate::codec::StoreCodec;

/// Largest number of findings that each instance logs for one version. A large configuration may repeat the same
/// problem in every entry; `check-config` prints them all.
const MAX_LOGGED_FINDINGS: usize = 3;

/// The newest configuration that is still to be checked. It is checked in a task of its own, so that a check
/// does not delay the configuration.
pub(crate) struct ConfigChecks {
    waiting: RefCell<Option<(Object, u64)>>,
    wake: Sender<()>,
    woken: Receiver<()>,
}

impl ConfigChecks {
    pub(crate) fn new() -> ConfigChecks {
        let (wake, woken) = bounded(1);
        ConfigChecks {
            waiting: RefCell::default(),
            wake,
            woken,
        }
    }

    /// Requests a check in place of one that has not begun.
    pub(crate) fn request(&self, object: &Object, version: u64) {
        *self.waiting.borrow_mut() = Some((object.clone(), version));
        // A full channel means that the task is to run already.
        let _ = self.wake.try_send(());
    }
}

/// Checks each configuration that has come into force, unless a newer one follows before.
pub(crate) async fn run(checks: Rc<ConfigChecks>, codec: Arc<dyn StoreCodec>) {
    while checks.woken.recv().await.is_ok() {
        let waiting = checks.waiting.take();
        if let Some((object, version)) = waiting {
            log_findings(&*codec, &object, version);
        }
    }
}

/// Logs the findings in a configuration, which have no other effect.
fn log_findings(codec: &dyn StoreCodec, object: &Object, version: u64) {
    let findings = codec.check_config(object, MAX_LOGGED_FINDINGS);
    for finding in &findings.kept {
        tracing::warn!(
            version,
            code = finding.code.name(),
            place = finding.place,
            problem = finding.message,
            "config: finding"
        );
    }
    let left_out = findings.left_out;
    if left_out > 0 {
        tracing::warn!(version, left_out, "config: findings left out");
    }
}
