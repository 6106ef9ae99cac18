//! Replies to messages from peers.

use std::rc::Rc;

use ::control::{evidence_from_wire, object_to_wire};
use async_channel::Receiver;
use kernel::Incarnation;
use smol::LocalExecutor;
use wire::{AcceptReply, Body, EvidenceReport, Objects};

use crate::control::gossip;
use crate::control::state::ControlState;
use crate::state::messages::PeerMessage;

/// The maximum number of objects in one reply.
const MAX_OBJECTS: usize = 2_000;

/// Handles messages from peers until the channel closes.
pub(super) async fn run(
    control: Rc<ControlState>,
    messages: Receiver<PeerMessage>,
    executor: Rc<LocalExecutor<'static>>,
) {
    while let Ok(message) = messages.recv().await {
        if let Some(reply) = handle(&control, message.from, message.body, &executor) {
            let _ = message.reply.try_send(reply);
        }
    }
}

fn handle(
    control: &Rc<ControlState>,
    from: Incarnation,
    body: Body,
    executor: &LocalExecutor<'static>,
) -> Option<Body> {
    match body {
        Body::Ping(ping) => {
            let ack = gossip::answer_ping(control, &ping);
            let control = control.clone();
            executor
                .spawn(async move { drop(gossip::catch_up(&control, &ping).await) })
                .detach();
            Some(Body::Ack(ack))
        }
        Body::Fetch(fetch) => {
            let replica = control.replica.borrow();
            let objects = replica.since(fetch.since, MAX_OBJECTS);
            Some(Body::Objects(Objects {
                objects: objects.into_iter().map(object_to_wire).collect(),
                ..Objects::default()
            }))
        }
        Body::Evidence(report) => Some(Body::AcceptReply(record_evidence(control, from, &report))),
        Body::ReceiptBatch(_)
        | Body::Ack(_)
        | Body::Objects(_)
        | Body::AcceptReply(_)
        | Body::Loads(_) => None,
    }
}

fn record_evidence(
    control: &ControlState,
    from: Incarnation,
    report: &EvidenceReport,
) -> AcceptReply {
    let evidence = evidence_from_wire(&report.classes);
    let mut rollouts = control.rollouts.borrow_mut();
    let controller = rollouts.controllers.get_mut(report.rollout.as_str());
    let accepted = controller.is_some();
    if let Some(controller) = controller {
        controller.monitor.record(from, &evidence);
    }
    AcceptReply { accepted }
}
