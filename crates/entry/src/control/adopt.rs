//! Receipts held for peers that are gone.

use std::rc::Rc;
use std::time::Duration;

use member::Status;
use smol::Timer;
use store::{Expect, ObjectApi};

use crate::control::state::Control;

/// How often homes are looked at.
const TICK: Duration = Duration::from_millis(500);

/// Saves the receipts of homes that are dead. Saving them twice does no harm.
pub(super) async fn run(control: Rc<Control>) {
    loop {
        Timer::after(TICK).await;
        let homes = control.holder.borrow().homes();
        for home in homes {
            let gone = control
                .table
                .borrow()
                .get(home)
                .is_none_or(|member| member.status == Status::Dead);
            if !gone {
                continue;
            }
            let Some(segment) = control.holder.borrow().adopt(home) else {
                continue;
            };
            let value = serde_json::to_value(&segment).unwrap_or_default();
            let path = segment.path(control.shared.settings.settle_shards);
            match control
                .shared
                .platform
                .put(&path, &value, Expect::Any)
                .await
            {
                Ok(_) => {
                    tracing::info!(%home, receipts = segment.receipts.len(), "receipt: saved for a peer that is gone");
                    control.holder.borrow_mut().adopted(&segment);
                }
                Err(err) => tracing::debug!("receipt: not saved for a peer, {err}"),
            }
        }
    }
}
