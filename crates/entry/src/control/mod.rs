//! The control thread: configuration, membership, settlement, ratings and roll-outs.
//!
//! All of its tasks run on one thread, so their state needs no lock. Requests read the immutable
//! [`View`] that it publishes.

mod config_watch;
mod endpoint_commands;
mod gossip;
mod instance_list;
mod peer_requests;
mod policy_learner;
mod quota_shares;
mod ratings;
mod rollouts;
mod settlement;
mod state;

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use futures_lite::future::block_on;
use member::Member;
use smol::{LocalExecutor, Timer};

use crate::state::messages::{CallReport, PeerMessage};
use crate::state::shared::Shared;
use state::ControlState;

/// The interval at which a changed state is published.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(50);

/// The interval at which gauges are sent.
const METRICS_INTERVAL: Duration = Duration::from_secs(1);

/// The receiving ends of the channels to the control thread.
pub(crate) struct Inbox {
    pub(crate) call_reports: Receiver<CallReport>,
    pub(crate) stop: Receiver<()>,
    pub(crate) peer_messages: Receiver<PeerMessage>,
}

/// Runs the control thread. The first stop message makes the instance leave the membership, the
/// second ends the thread.
pub(crate) fn run(shared: Arc<Shared>, local: Member, inbox: Inbox) {
    let executor = Rc::new(LocalExecutor::new());
    let control = Rc::new(ControlState::new(shared, local));
    let Inbox {
        call_reports,
        stop,
        peer_messages,
    } = inbox;
    executor
        .spawn(peer_requests::run(
            control.clone(),
            peer_messages,
            executor.clone(),
        ))
        .detach();
    executor.spawn(config_watch::run(control.clone())).detach();
    executor.spawn(instance_list::run(control.clone())).detach();
    executor.spawn(gossip::run(control.clone())).detach();
    executor.spawn(gossip::rejoin(control.clone())).detach();
    executor.spawn(settlement::run(control.clone())).detach();
    executor
        .spawn(ratings::run(control.clone(), call_reports))
        .detach();
    executor.spawn(rollouts::run(control.clone())).detach();
    executor.spawn(publish(control.clone())).detach();
    executor.spawn(report_gauges(control.clone())).detach();
    // `block_on` of futures-lite does not poll the reactor. If this thread polled it, each event of
    // the traffic threads would take an extra hop between threads.
    block_on(turn::run(&*executor, async {
        let _ = stop.recv().await;
        gossip::leave(&control).await;
        let _ = stop.recv().await;
    }));
}

/// Publishes the view whenever it is outdated.
async fn publish(control: Rc<ControlState>) {
    loop {
        Timer::after(PUBLISH_INTERVAL).await;
        control.check_cut_off();
        control.publish_if_outdated();
    }
}

/// Sends the gauges at a fixed interval.
async fn report_gauges(control: Rc<ControlState>) {
    loop {
        Timer::after(METRICS_INTERVAL).await;
        control.send_gauges();
    }
}
