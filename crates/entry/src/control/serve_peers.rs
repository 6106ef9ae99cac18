//! The listener for other instances.

use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use async_io::Async;
use kernel::Incarnation;
use smol::{LocalExecutor, Timer};
use wire::{Body, Envelope, EvidenceReport, Held, Hold, Link, Objects};

use crate::control::convert::{evidence_from_wire, object_to_wire, receipt_from_wire};
use crate::control::gossip;
use crate::control::state::Control;

/// The most objects in one answer.
const MAX_OBJECTS: usize = 2_000;

/// How long accepting pauses after an error.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Serves peers.
pub(super) async fn run(
    control: Rc<Control>,
    listener: Async<TcpListener>,
    executor: Rc<LocalExecutor<'static>>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => executor
                .spawn(serve(control.clone(), Link::new(stream), executor.clone()))
                .detach(),
            Err(_) => drop(Timer::after(ACCEPT_PAUSE).await),
        }
    }
}

async fn serve(control: Rc<Control>, link: Link, executor: Rc<LocalExecutor<'static>>) {
    let mut link = link.metered(&control.shared.peer_bytes);
    while let Ok(envelope) = link.receive().await {
        let from = Incarnation::from_u64(envelope.from);
        let Some(body) = envelope.body else {
            return;
        };
        let Some(answer) = answer(&control, from, body, &executor) else {
            return;
        };
        if link
            .send(&Envelope::new(control.shared.me.as_u64(), answer))
            .await
            .is_err()
        {
            return;
        }
    }
}

fn answer(
    control: &Rc<Control>,
    from: Incarnation,
    body: Body,
    executor: &LocalExecutor<'static>,
) -> Option<Body> {
    match body {
        Body::Ping(ping) => {
            let ack = gossip::answer(control, &ping);
            let control = control.clone();
            executor
                .spawn(async move { drop(gossip::catch_up(&control, &ping).await) })
                .detach();
            Some(Body::Ack(ack))
        }
        Body::Fetch(fetch) => {
            let objects = control.replica.borrow().since(fetch.since, MAX_OBJECTS);
            Some(Body::Objects(Objects {
                objects: objects.iter().map(object_to_wire).collect(),
            }))
        }
        Body::Hold(hold) => Some(Body::Held(hold_receipts(control, from, &hold))),
        Body::Evidence(report) => Some(Body::Held(note_evidence(control, from, &report))),
        Body::Ack(_) | Body::Objects(_) | Body::Held(_) => None,
    }
}

fn hold_receipts(control: &Control, from: Incarnation, hold: &Hold) -> Held {
    let receipts: Vec<_> = hold.receipts.iter().filter_map(receipt_from_wire).collect();
    if receipts.len() != hold.receipts.len() {
        return Held { accepted: false };
    }
    let accepted = control
        .holder
        .borrow_mut()
        .hold(from, hold.batch, hold.saved_batch, receipts);
    Held { accepted }
}

fn note_evidence(control: &Control, from: Incarnation, report: &EvidenceReport) -> Held {
    let evidence = evidence_from_wire(&report.classes);
    let mut rollouts = control.rollouts.borrow_mut();
    let controller = rollouts.controllers.get_mut(report.rollout.as_str());
    let accepted = controller.is_some();
    if let Some(controller) = controller {
        controller.monitor.note(from, &evidence);
    }
    Held { accepted }
}
