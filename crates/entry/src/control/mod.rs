//! The control thread: configuration, membership, settlement, learning and roll-outs.
//!
//! All of it runs on one thread, so that its state needs no lock. Requests see it through the
//! immutable [`View`] that it publishes.

mod adopt;
mod convert;
mod gossip;
mod learn;
mod listing;
mod rollouts;
mod serve_peers;
mod settle;
mod shares;
mod state;
mod watch;

pub(crate) use convert::receipt_to_wire;

use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use async_io::Async;
use kernel::Incarnation;
use member::Member;
use smol::{LocalExecutor, Timer};

use crate::shared::{Lesson, Shared};
use state::Control;

/// How often a changed state is published.
const PUBLISH_TICK: Duration = Duration::from_millis(50);

/// How often levels are sent as metrics.
const METRICS_TICK: Duration = Duration::from_secs(1);

/// What the control thread receives.
pub(crate) struct Inbox {
    pub(crate) lessons: Receiver<Lesson>,
    pub(crate) stop: Receiver<()>,
    pub(crate) peers: Async<TcpListener>,
}

/// Runs the control thread until it is told twice to stop: to leave, and to end.
pub(crate) fn run(shared: Arc<Shared>, me: Member, inbox: Inbox) {
    let executor = Rc::new(LocalExecutor::new());
    let control = Rc::new(Control::new(shared, me));
    let Inbox {
        lessons,
        stop,
        peers,
    } = inbox;
    executor
        .spawn(serve_peers::run(control.clone(), peers, executor.clone()))
        .detach();
    executor.spawn(watch::run(control.clone())).detach();
    executor.spawn(listing::run(control.clone())).detach();
    executor.spawn(gossip::run(control.clone())).detach();
    executor.spawn(adopt::run(control.clone())).detach();
    executor.spawn(settle::run(control.clone())).detach();
    executor
        .spawn(learn::run(control.clone(), lessons))
        .detach();
    executor.spawn(rollouts::run(control.clone())).detach();
    executor.spawn(publish(control.clone())).detach();
    executor.spawn(levels(control.clone())).detach();
    smol::block_on(executor.run(async {
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

/// Returns whether an instance is the one that does a task for all.
fn is_first(me: Incarnation, key: &str, members: &[&Member]) -> bool {
    member::first_choice(key, members).is_some_and(|first| first.incarnation == me)
}
