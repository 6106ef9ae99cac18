//! Tests of saving receipts, by their home and by the peers that hold them.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::{HOME, PEER, draft};

use receipt::{HeldReceipts, Receipt, ReceiptOutbox, Segment};

fn receipt(outbox: &mut ReceiptOutbox, request: &str) -> Receipt {
    outbox.add(draft(request))
}

#[test]
fn a_batch_that_arrives_during_a_takeover_stays_held() {
    let mut outbox = ReceiptOutbox::new(HOME);
    let mut held = HeldReceipts::new(PEER, 10);
    let [first, second, third] = ["a", "b", "c"].map(|request| receipt(&mut outbox, request));
    assert!(held.try_hold(HOME, 1, 0, vec![first]));
    assert!(held.try_hold(HOME, 2, 0, vec![second]));
    let takeover = held.takeover(HOME).unwrap();
    // The home has saved both batches meanwhile.
    assert!(held.try_hold(HOME, 3, 2, vec![third.clone()]));
    held.mark_saved(&takeover);
    let rest = held.takeover(HOME).unwrap();
    assert_eq!(rest.segment.receipts, [third]);
    assert_eq!(rest.segment.number, 2);
    held.mark_saved(&rest);
    assert_eq!(held.count(), 0);
    assert!(held.takeover(HOME).is_none());
}

/// Returns the requests whose receipts are in the store after these writes.
fn requests_after(writes: &[&Segment]) -> BTreeSet<String> {
    let mut store = BTreeMap::new();
    for segment in writes {
        store.insert(segment.path(1), *segment);
    }
    let receipts = store.values().flat_map(|segment| &segment.receipts);
    receipts
        .map(|receipt| receipt.request.to_string())
        .collect()
}

/// CI beside load: a write timed out, its repetition saved more receipts, and then it arrived.
#[test]
fn a_write_that_arrives_late_overwrites_no_later_one() {
    let mut outbox = ReceiptOutbox::new(HOME);
    let mut held = HeldReceipts::new(PEER, 10);
    let first = receipt(&mut outbox, "a");
    assert!(held.try_hold(HOME, 1, 0, vec![first]));
    let late = outbox.next_segment().unwrap();
    let late_takeover = held.takeover(HOME).unwrap();
    let second = receipt(&mut outbox, "b");
    assert!(held.try_hold(HOME, 2, 0, vec![second]));
    let saved = outbox.next_segment().unwrap();
    outbox.mark_saved(&saved);
    let takeover = held.takeover(HOME).unwrap();
    held.mark_saved(&takeover);
    assert_eq!((outbox.unsaved_count(), held.count()), (0, 0));
    let both = BTreeSet::from(["a".to_owned(), "b".to_owned()]);
    assert_eq!(requests_after(&[&saved, &late]), both);
    let takeovers = [&takeover.segment, &late_takeover.segment];
    assert_eq!(requests_after(&takeovers), both);
}
