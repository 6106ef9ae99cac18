//! Model checking of billing: each request is billed exactly once in every interleaving of saves,
//! lost responses, a crash of the home, takeover by a peer and concurrent settlement.

mod common;

use std::collections::{BTreeMap, HashSet, VecDeque};

use common::{HOME, PEER, draft};

use proptest::prelude::*;
use receipt::{HeldReceipts, IntervalSet, Receipt, ReceiptOutbox, Segment, Statement};

/// A step of the model.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Step {
    /// A request ends, and a peer stores a copy of its receipt.
    Finish,
    /// The home saves a segment and receives the response.
    Save,
    /// The home saves a segment, but the response is lost.
    SaveLost,
    /// The home crashes.
    Crash,
    /// The peer saves the receipts it holds and receives the response.
    Takeover,
    /// The peer saves the receipts it holds, but the response is lost.
    TakeoverLost,
    /// A settler reads the segments and writes the statement if it is unchanged.
    Settle,
    /// A second settler reads the statement and the segments, then pauses.
    Read,
    /// The second settler resumes and writes the statement if it is unchanged since the read.
    Write,
}

const STEPS: [Step; 9] = [
    Step::Finish,
    Step::Save,
    Step::SaveLost,
    Step::Crash,
    Step::Takeover,
    Step::TakeoverLost,
    Step::Settle,
    Step::Read,
    Step::Write,
];

/// The maximum number of requests in a run.
const MAX_REQUESTS: u64 = 2;

/// The maximum number of steps in a run before faults end.
const MAX_STEPS: usize = 7;

struct Model {
    outbox: Option<ReceiptOutbox>,
    holder: HeldReceipts,
    requests: u64,
    store: BTreeMap<String, Segment>,
    statement: (u64, Statement),
    paused: Option<(u64, Statement)>,
    trace: Vec<Step>,
}

impl Model {
    fn replay(trace: &[Step]) -> Model {
        let mut model = Model {
            outbox: Some(ReceiptOutbox::new(HOME)),
            holder: HeldReceipts::new(PEER, 100),
            requests: 0,
            store: BTreeMap::new(),
            statement: (0, Statement::default()),
            paused: None,
            trace: Vec::new(),
        };
        for step in trace {
            model.run(*step);
        }
        model
    }

    fn receipts(&self) -> Vec<Receipt> {
        self.store
            .values()
            .flat_map(|segment| segment.receipts.clone())
            .collect()
    }

    fn apply_all(&self, mut statement: Statement) -> Statement {
        statement.apply(&self.receipts(), 2_000);
        statement
    }

    fn enabled(&self, step: Step) -> bool {
        match step {
            Step::Finish => self.outbox.is_some() && self.requests < MAX_REQUESTS,
            Step::Save | Step::SaveLost => self
                .outbox
                .as_ref()
                .is_some_and(|outbox| outbox.unsaved_count() > 0),
            Step::Crash => self.outbox.is_some(),
            Step::Takeover | Step::TakeoverLost => self.holder.count() > 0,
            Step::Settle | Step::Read => !self.store.is_empty(),
            Step::Write => self.paused.is_some(),
        }
    }

    fn run(&mut self, step: Step) {
        self.trace.push(step);
        match step {
            Step::Finish => {
                self.requests += 1;
                let Some(outbox) = &mut self.outbox else {
                    return;
                };
                let receipt = outbox.add(draft(&self.requests.to_string()));
                assert!(self.holder.try_hold(HOME, self.requests, 0, vec![receipt]));
            }
            Step::Save | Step::SaveLost => {
                let Some(outbox) = &mut self.outbox else {
                    return;
                };
                let Some(segment) = outbox.next_segment() else {
                    return;
                };
                self.store.insert(segment.path(1), segment.clone());
                if step == Step::Save {
                    outbox.mark_saved(&segment);
                }
            }
            Step::Crash => self.outbox = None,
            Step::Takeover | Step::TakeoverLost => {
                let Some(takeover) = self.holder.takeover(HOME) else {
                    return;
                };
                let segment = &takeover.segment;
                self.store.insert(segment.path(1), segment.clone());
                if step == Step::Takeover {
                    self.holder.mark_saved(&takeover);
                }
            }
            Step::Settle => {
                let updated = self.apply_all(self.statement.1.clone());
                self.statement = (self.statement.0 + 1, updated);
            }
            Step::Read => {
                self.paused = Some((self.statement.0, self.apply_all(self.statement.1.clone())))
            }
            Step::Write => {
                let Some((revision, statement)) = self.paused.take() else {
                    return;
                };
                if revision == self.statement.0 {
                    self.statement = (revision + 1, statement);
                }
            }
        }
    }

    /// Saves and settles all remaining receipts, without further faults.
    fn finish(&mut self) {
        while self.enabled(Step::Save) {
            self.run(Step::Save);
        }
        while self.enabled(Step::Takeover) {
            self.run(Step::Takeover);
        }
        self.run(Step::Settle);
    }
}

#[test]
fn every_interleaving_bills_each_request_once() {
    let mut queue = VecDeque::from([Vec::new()]);
    let mut explored = 0u64;
    while let Some(trace) = queue.pop_front() {
        let mut model = Model::replay(&trace);
        explored += 1;
        let billed = model.statement.1.totals.requests;
        assert!(
            billed <= model.requests,
            "billed {billed} of {} requests after {trace:?}",
            model.requests
        );
        if trace.len() < MAX_STEPS {
            for step in STEPS {
                if model.enabled(step) {
                    let mut longer = trace.clone();
                    longer.push(step);
                    queue.push_back(longer);
                }
            }
        }
        model.finish();
        let totals = model.statement.1.totals;
        assert_eq!(
            (totals.requests, totals.cost_micros),
            (model.requests, model.requests * 10),
            "after {trace:?}"
        );
    }
    println!("interleavings explored: {explored}");
    assert!(explored > 10_000);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn interval_set_behaves_like_a_hash_set(numbers in prop::collection::vec(0u64..40, 0..80)) {
        let mut intervals = IntervalSet::default();
        let mut set = HashSet::new();
        for number in numbers {
            prop_assert_eq!(intervals.insert(number), set.insert(number));
        }
        for number in 0..42 {
            prop_assert_eq!(intervals.contains(number), set.contains(&number));
        }
        prop_assert!(intervals.range_count() <= set.len().max(1));
    }
}

#[test]
fn receipts_older_than_the_maximum_age_are_counted_once_and_not_billed() {
    let mut outbox = ReceiptOutbox::new(HOME);
    let receipt = outbox.add(draft("1"));
    let mut statement = Statement::default();
    // The segment of the home and that of a peer both hold it.
    for hours in [25, 26] {
        let receipts = std::slice::from_ref(&receipt);
        assert_eq!(statement.apply(receipts, hours * 3_600_000 + 1_000), 0);
        assert_eq!((statement.totals.requests, statement.too_late), (0, 1));
    }
}

#[test]
fn a_full_holder_rejects_batches_until_a_batch_is_saved() {
    let mut outbox = ReceiptOutbox::new(HOME);
    let receipts: Vec<Receipt> = (0..3)
        .map(|request| outbox.add(draft(&request.to_string())))
        .collect();
    let mut holder = HeldReceipts::new(PEER, 2);
    assert!(holder.try_hold(HOME, 1, 0, receipts[..2].to_vec()));
    assert!(!holder.try_hold(HOME, 2, 0, receipts[2..].to_vec()));
    assert!(holder.try_hold(HOME, 2, 1, receipts[2..].to_vec()));
    assert_eq!(holder.count(), 1);
}
