//! Billing as a state machine: every interleaving of flush, loss, crash, adoption and settlement.

use std::collections::{BTreeMap, HashSet, VecDeque};

use kernel::{Incarnation, Priority};
use proptest::prelude::*;
use receipt::{
    HeldReceipts, IntervalSet, Outcome, Receipt, ReceiptDraft, ReceiptOutbox, RequestUsage,
    Segment, Statement,
};

const HOME: Incarnation = Incarnation::from_u64(1);
const PEER: Incarnation = Incarnation::from_u64(2);

fn draft(request: u64) -> ReceiptDraft {
    let work = RequestUsage {
        version: "v".into(),
        class: "default".into(),
        priority: Priority::Normal,
        outcome: Outcome::Answered,
        prompt_tokens: 1,
        completion_tokens: 1,
        cost_micros: 10,
        first_token_ms: 1,
        total_ms: 2,
        unproven: false,
        in_objective: true,
        arm: None,
    };
    ReceiptDraft {
        workspace: "w".into(),
        request: request.to_string().into(),
        ended_ms: 1_000,
        usage: work,
    }
}

/// What can happen next.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Step {
    /// A request ends, and a peer holds its receipt.
    Answer,
    /// The home saves a segment and hears so.
    Save,
    /// The home saves a segment, and the answer is lost.
    SaveLost,
    /// The home dies.
    Crash,
    /// The peer saves what it holds, and hears so.
    Adopt,
    /// The peer saves what it holds, and the answer is lost.
    AdoptLost,
    /// A settler reads segments and writes the statement on the condition that it did not change.
    Settle,
    /// A second settler reads the statement and the segments, and pauses.
    Read,
    /// The second settler resumes and writes on the condition of what it read.
    Write,
}

const STEPS: [Step; 9] = [
    Step::Answer,
    Step::Save,
    Step::SaveLost,
    Step::Crash,
    Step::Adopt,
    Step::AdoptLost,
    Step::Settle,
    Step::Read,
    Step::Write,
];

/// The most requests of one run.
const MAX_ANSWERS: u64 = 2;

/// The most steps of one run.
const DEPTH: usize = 7;

struct World {
    ledger: Option<ReceiptOutbox>,
    holder: HeldReceipts,
    answers: u64,
    store: BTreeMap<String, Segment>,
    statement: (u64, Statement),
    paused: Option<(u64, Statement)>,
    trace: Vec<Step>,
}

impl World {
    fn replay(trace: &[Step]) -> World {
        let mut world = World {
            ledger: Some(ReceiptOutbox::new(HOME)),
            holder: HeldReceipts::new(PEER, 100),
            answers: 0,
            store: BTreeMap::new(),
            statement: (0, Statement::default()),
            paused: None,
            trace: Vec::new(),
        };
        for step in trace {
            world.take(*step);
        }
        world
    }

    fn receipts(&self) -> Vec<Receipt> {
        self.store
            .values()
            .flat_map(|segment| segment.receipts.clone())
            .collect()
    }

    fn fold(&self, mut statement: Statement) -> Statement {
        statement.apply(&self.receipts(), 2_000);
        statement
    }

    fn enabled(&self, step: Step) -> bool {
        match step {
            Step::Answer => self.ledger.is_some() && self.answers < MAX_ANSWERS,
            Step::Save | Step::SaveLost => self
                .ledger
                .as_ref()
                .is_some_and(|ledger| ledger.unsaved_count() > 0),
            Step::Crash => self.ledger.is_some(),
            Step::Adopt | Step::AdoptLost => self.holder.count() > 0,
            Step::Settle | Step::Read => !self.store.is_empty(),
            Step::Write => self.paused.is_some(),
        }
    }

    fn take(&mut self, step: Step) {
        self.trace.push(step);
        match step {
            Step::Answer => {
                self.answers += 1;
                let Some(ledger) = &mut self.ledger else {
                    return;
                };
                let receipt = ledger.add(draft(self.answers));
                assert!(self.holder.try_hold(HOME, self.answers, 0, vec![receipt]));
            }
            Step::Save | Step::SaveLost => {
                let Some(ledger) = &mut self.ledger else {
                    return;
                };
                let Some(segment) = ledger.next_segment() else {
                    return;
                };
                self.store.insert(segment.path(1), segment.clone());
                if step == Step::Save {
                    ledger.mark_saved(&segment);
                }
            }
            Step::Crash => self.ledger = None,
            Step::Adopt | Step::AdoptLost => {
                let Some(segment) = self.holder.takeover_segment(HOME) else {
                    return;
                };
                self.store.insert(segment.path(1), segment.clone());
                if step == Step::Adopt {
                    self.holder.mark_saved(&segment);
                }
            }
            Step::Settle => {
                let folded = self.fold(self.statement.1.clone());
                self.statement = (self.statement.0 + 1, folded);
            }
            Step::Read => {
                self.paused = Some((self.statement.0, self.fold(self.statement.1.clone())))
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

    /// Lets everything that is left go well, as it does once faults end.
    fn finish(&mut self) {
        while self.enabled(Step::Save) {
            self.take(Step::Save);
        }
        while self.enabled(Step::Adopt) {
            self.take(Step::Adopt);
        }
        self.take(Step::Settle);
    }
}

#[test]
fn every_interleaving_bills_each_answer_once() {
    let mut queue = VecDeque::from([Vec::new()]);
    let mut explored = 0u64;
    while let Some(trace) = queue.pop_front() {
        let mut world = World::replay(&trace);
        explored += 1;
        let billed = world.statement.1.totals.requests;
        assert!(
            billed <= world.answers,
            "billed {billed} of {} after {trace:?}",
            world.answers
        );
        if trace.len() < DEPTH {
            for step in STEPS {
                if world.enabled(step) {
                    let mut longer = trace.clone();
                    longer.push(step);
                    queue.push_back(longer);
                }
            }
        }
        world.finish();
        let totals = world.statement.1.totals;
        assert_eq!(
            (totals.requests, totals.cost_micros),
            (world.answers, world.answers * 10),
            "after {trace:?}"
        );
    }
    println!("interleavings explored: {explored}");
    assert!(explored > 10_000);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn intervals_are_a_set(numbers in prop::collection::vec(0u64..40, 0..80)) {
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
fn receipts_after_the_horizon_are_counted_and_not_billed() {
    let mut ledger = ReceiptOutbox::new(HOME);
    let receipt = ledger.add(draft(1));
    let mut statement = Statement::default();
    assert_eq!(
        statement.apply(std::slice::from_ref(&receipt), 25 * 3_600_000 + 1_000),
        0
    );
    assert_eq!((statement.totals.requests, statement.too_late), (0, 1));
}

#[test]
fn a_full_holder_refuses_and_a_saved_batch_makes_room() {
    let mut ledger = ReceiptOutbox::new(HOME);
    let receipts: Vec<Receipt> = (0..3).map(|request| ledger.add(draft(request))).collect();
    let mut holder = HeldReceipts::new(PEER, 2);
    assert!(holder.try_hold(HOME, 1, 0, receipts[..2].to_vec()));
    assert!(!holder.try_hold(HOME, 2, 0, receipts[2..].to_vec()));
    assert!(holder.try_hold(HOME, 2, 1, receipts[2..].to_vec()));
    assert_eq!(holder.count(), 1);
}
