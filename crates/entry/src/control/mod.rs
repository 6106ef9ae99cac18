//! The control thread: configuration, membership, settlement, learning and roll-outs.
//!
//! All of it runs on one thread, so that its state needs no lock. Requests see it through the
//! immutable [`View`] that it publishes.

mod answer_peers;
mod brain;
mod gossip;
mod learn;
mod listing;
mod orders;
mod rollouts;
mod settle;
mod shares;
mod state;
mod watch;

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use futures_lite::future::block_on;
use member::Member;
use smol::{LocalExecutor, Timer};

use crate::state::messages::{CallReport, PeerMessage};
use crate::state::shared::Shared;
use state::Control;

/// How often a changed state is published.
const PUBLISH_TICK: Duration = Duration::from_millis(50);

/// How often levels are sent as metrics.
const METRICS_TICK: Duration = Duration::from_secs(1);

/// What the control thread receives.
pub(crate) struct Inbox {
    pub(crate) call_reports: Receiver<CallReport>,
    pub(crate) stop: Receiver<()>,
    pub(crate) peer_messages: Receiver<PeerMessage>,
}

/// Runs the control thread until it is told twice to stop: to leave, and to end.
pub(crate) fn run(shared: Arc<Shared>, me: Member, inbox: Inbox) {
    let executor = Rc::new(LocalExecutor::new());
    let control = Rc::new(Control::new(shared, me));
    let Inbox {
        call_reports,
        stop,
        peer_messages,
    } = inbox;
    executor
        .spawn(answer_peers::run(
            control.clone(),
            peer_messages,
            executor.clone(),
        ))
        .detach();
    executor.spawn(watch::run(control.clone())).detach();
    executor.spawn(listing::run(control.clone())).detach();
    executor.spawn(gossip::run(control.clone())).detach();
    executor.spawn(settle::run(control.clone())).detach();
    executor
        .spawn(learn::run(control.clone(), call_reports))
        .detach();
    executor.spawn(rollouts::run(control.clone())).detach();
    executor.spawn(publish(control.clone())).detach();
    executor.spawn(levels(control.clone())).detach();
    // The traffic threads poll the reactor; a thread that waits there for all would add a hop to each
    // of their events.
    block_on(executor.run(async {
        let _ = stop.recv().await;
        gossip::leave(&control).await;
        let _ = stop.recv().await;
    }));
}

/// Publishes the state when it changed.
async fn publish(control: Rc<Control>) {
    loop {
        Timer::after(PUBLISH_TICK).await;
        control.check_cut_off();
        control.publish_if_changed();
    }
}

/// Sends levels as metrics.
async fn levels(control: Rc<Control>) {
    loop {
        Timer::after(METRICS_TICK).await;
        control.send_levels();
    }
}
