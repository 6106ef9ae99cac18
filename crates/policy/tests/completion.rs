//! Replays requests whose answers differ in length, on endpoints of different speeds, and compares
//! what callers get with and without the chance that a run ends by its deadline.

use fastrand::Rng;
use policy::{
    AnswerLength, Cascade, CurrentAnswer, LengthEstimate, LogEstimate, RunEnd, RunOutlook,
    SizeEstimates, SizeOutlook,
};

const REQUESTS: usize = 20_000;
const DEADLINE_MS: f64 = 20_000.0;
const OBJECTIVE_MS: f64 = 2_000.0;
const MAX_RUNS: u32 = 3;

/// Times per event at pace 1, and the hardness up to which each size answers well.
const EVENT_MS: [f64; 3] = [30.0, 80.0, 300.0];
const MAX_HARDNESS: [f64; 3] = [0.56, 0.65, 1.0];
const FIRST_EVENT_MS: [f64; 3] = [100.0, 250.0, 900.0];
const RELATIVE_TIMES: [f64; 3] = [0.1, 0.27, 1.0];

/// Paces of the endpoints.
const PACES: [f64; 3] = [0.6, 1.0, 1.6];
const MEAN_EVENTS: f64 = 36.0;

/// Events after which a run may move.
const CHECKED_EVENTS: [f64; 4] = [4.0, 8.0, 16.0, 32.0];

/// Longest gap between events that callers accept.
const MAX_GAP_MS: f64 = 2_000.0;

/// The cost of a run of the largest size on idle engines, and its time at pace 1.
const LARGEST_RUN_COST: f64 = 0.3;
const LARGEST_RUN_MS: f64 = 900.0 + MEAN_EVENTS * 300.0;
const TOKENS_PER_EVENT: f64 = 8.0;

/// The value of a poor answer.
const POOR_VALUE: f64 = 0.05;

#[derive(Debug, Clone, Copy, PartialEq)]
enum Decision {
    /// The decision without a deadline.
    Present,
    /// With lengths learned from streams alone, and with hints of callers too.
    Learned,
    Hinted,
    /// With hints, and runs that move to a faster endpoint while they are written.
    Moving,
}

#[derive(Debug, Default)]
struct Served {
    /// The mean worth of a request, and the share that ended by the deadline.
    worth: f64,
    completed: f64,
    /// Time of endpoints for each request, in milliseconds, and the worth less its cost.
    work_ms: f64,
    net_worth: f64,
    moved: f64,
}

/// Returns a sample of a normal distribution, nearly.
fn normal(random: &mut Rng) -> f64 {
    (0..12).map(|_| random.f64()).sum::<f64>() - 6.0
}

struct Replay {
    decision: Decision,
    lengths: LengthEstimate,
    paces: [LogEstimate; 3],
    sizes: SizeEstimates,
}

impl Replay {
    fn outlooks(&self, hint: Option<u32>) -> Vec<SizeOutlook> {
        let shares = self.sizes.good_shares();
        let mut outlooks = Vec::new();
        for (size, good_share) in shares.into_iter().enumerate() {
            let length = self.lengths.length(hint, 0);
            let known = length.zip(self.paces[size].median());
            let run = known.map(|(length, event_ms)| RunOutlook {
                event_ms,
                pace_spread: self.paces[size].spread(),
                length,
                written: 0.0,
            });
            outlooks.push(SizeOutlook {
                good_share,
                relative_time: RELATIVE_TIMES[size],
                first_event_ms: FIRST_EVENT_MS[size],
                run: run.filter(|_| self.decision != Decision::Present),
            });
        }
        outlooks
    }

    /// Returns whether a run with events at this pace moves to an endpoint of another.
    fn moves(
        &self,
        outlook: &SizeOutlook,
        written: f64,
        event_ms: f64,
        pace: f64,
        left_ms: f64,
        cascade: &Cascade,
    ) -> bool {
        let Some(run) = outlook.run.filter(|_| self.decision == Decision::Moving) else {
            return false;
        };
        let run = RunOutlook { written, ..run };
        let here = run.observed(event_ms, written);
        let there = RunOutlook {
            event_ms: run.event_ms * pace,
            ..run
        };
        let first_ms = outlook.first_event_ms * pace;
        let end = |chance, is_late| RunEnd { chance, is_late };
        let whole_ms = outlook.first_event_ms + run.event_ms * run.length.median_events;
        cascade.is_move_worth(
            outlook,
            end(here.end_chance(left_ms), false),
            end(there.end_chance(left_ms - first_ms), first_ms > MAX_GAP_MS),
            outlook.first_event_ms / whole_ms,
        )
    }

    /// Serves one request and returns what it got.
    fn serve(&mut self, random: &mut Rng) -> Served {
        let events = MEAN_EVENTS * (0.45 * normal(random) - 0.1).exp();
        let events = events.clamp(3.0, 3.0 * MEAN_EVENTS).round();
        let hint = events * TOKENS_PER_EVENT * (0.5 * normal(random)).exp();
        let has_hint = matches!(self.decision, Decision::Hinted | Decision::Moving);
        let hint = has_hint.then_some(hint as u32);
        let hardness = random.f64();
        let mut size = 0;
        let mut now_ms = 0.0;
        let mut work_ms = 0.0;
        let mut unsure = None;
        for runs in 1..=MAX_RUNS {
            let pace = PACES[random.usize(..PACES.len())];
            now_ms += FIRST_EVENT_MS[size] * pace;
            let confidence = 50.0 + (MAX_HARDNESS[size] - hardness) * 150.0;
            let confidence = confidence + 10.0 * normal(random);
            let confidence = confidence.clamp(0.0, 100.0) as u8;
            self.sizes.record(unsure, size, confidence);
            let outlooks = self.outlooks(hint);
            let left_ms = DEADLINE_MS - now_ms;
            let answer = CurrentAnswer {
                size,
                confidence: Some(confidence),
                objective_left_ms: OBJECTIVE_MS - now_ms,
                end_chance: outlooks[size]
                    .run
                    .map_or(1.0, |run| run.end_chance(left_ms)),
            };
            let cascade =
                Cascade::new(LARGEST_RUN_COST, 0.0, random.f64()).deadline_left_ms(left_ms);
            let next = cascade.next_size(&outlooks, &answer, MAX_RUNS - runs);
            if let Some(next) = next {
                work_ms += FIRST_EVENT_MS[size] * pace;
                unsure = Some(size);
                size = next;
                continue;
            }
            work_ms += FIRST_EVENT_MS[size] * pace;
            let mut event_ms = EVENT_MS[size] * pace;
            let mut written = 0.0;
            let mut moved = 0.0;
            for checked in CHECKED_EVENTS {
                let at_ms = now_ms + (checked - written) * event_ms;
                if checked >= events || at_ms >= DEADLINE_MS || moved > 0.0 {
                    break;
                }
                self.paces[size].record(event_ms);
                let left_ms = DEADLINE_MS - at_ms;
                let faster = PACES[random.usize(..2)];
                let outlook = &outlooks[size];
                if runs < MAX_RUNS
                    && faster < pace
                    && self.moves(outlook, checked, event_ms, faster, left_ms, &cascade)
                {
                    moved = 1.0;
                    work_ms += at_ms - now_ms + FIRST_EVENT_MS[size] * faster;
                    now_ms = at_ms + FIRST_EVENT_MS[size] * faster;
                    written = checked;
                    event_ms = EVENT_MS[size] * faster;
                }
            }
            let left_ms = (DEADLINE_MS - now_ms).max(0.0);
            let time_ms = ((events - written) * event_ms).min(left_ms);
            work_ms += time_ms;
            let is_whole = (events - written) * event_ms <= left_ms;
            if is_whole {
                self.lengths.record(events as u32, hint);
            } else {
                let cut_at = written + time_ms / event_ms;
                self.lengths.record_cut(cut_at as u32, hint);
            }
            let value = if hardness < MAX_HARDNESS[size] {
                1.0
            } else {
                POOR_VALUE
            };
            let late = if answer.objective_left_ms < 0.0 {
                0.4
            } else {
                1.0
            };
            let worth = if is_whole { value * late } else { 0.0 };
            return Served {
                worth,
                completed: f64::from(u8::from(is_whole)),
                work_ms,
                net_worth: worth - LARGEST_RUN_COST * work_ms / LARGEST_RUN_MS,
                moved,
            };
        }
        unreachable!("the last run has no next size")
    }
}

fn replay(decision: Decision) -> Served {
    let mut random = Rng::with_seed(11);
    let mut replay = Replay {
        decision,
        lengths: LengthEstimate::default(),
        paces: [LogEstimate::default(); 3],
        sizes: SizeEstimates::new(3),
    };
    let mut served = Served::default();
    for _ in 0..REQUESTS {
        // Each request has numbers of its own, so that decisions change no other request.
        let mut own = Rng::with_seed(random.u64(..));
        let one = replay.serve(&mut own);
        served.worth += one.worth / REQUESTS as f64;
        served.completed += one.completed / REQUESTS as f64;
        served.work_ms += one.work_ms / REQUESTS as f64;
        served.net_worth += one.net_worth / REQUESTS as f64;
        served.moved += one.moved / REQUESTS as f64;
    }
    served
}

/// Guards against runs of the largest size that end at their deadline while a smaller answer was
/// there.
#[test]
fn more_answers_complete_and_they_are_worth_more_if_deadlines_are_weighed() {
    let present = replay(Decision::Present);
    let learned = replay(Decision::Learned);
    let hinted = replay(Decision::Hinted);
    let moving = replay(Decision::Moving);
    println!("{present:?}\n{learned:?}\n{hinted:?}\n{moving:?}");
    for weighed in [&learned, &hinted, &moving] {
        assert!(weighed.completed > present.completed, "{weighed:?}");
        assert!(weighed.net_worth > present.net_worth, "{weighed:?}");
        assert!(weighed.work_ms < present.work_ms, "{weighed:?}");
    }
    assert!(moving.worth > present.worth, "{moving:?}");
}

fn outlooks(event_ms: [f64; 3]) -> Vec<SizeOutlook> {
    let good_shares = MAX_HARDNESS;
    let length = AnswerLength {
        median_events: 36.0,
        spread: 0.3,
        max_events: f64::INFINITY,
    };
    let mut outlooks = Vec::new();
    for size in 0..3 {
        let run = RunOutlook {
            event_ms: event_ms[size],
            pace_spread: 0.1,
            length,
            written: 0.0,
        };
        outlooks.push(SizeOutlook {
            good_share: good_shares[size],
            relative_time: RELATIVE_TIMES[size],
            first_event_ms: FIRST_EVENT_MS[size],
            run: Some(run),
        });
    }
    outlooks
}

/// Guards against an answer that is discarded for one that cannot end, and against a decision that
/// deadlines far off change.
#[test]
fn an_unsure_answer_is_replaced_by_the_largest_size_that_can_end_and_otherwise_kept() {
    let largest = Some(2);
    let cases = [
        ("all with ease", 120_000.0, 0.65, largest),
        ("the middle, which answers few more", 8_000.0, 0.65, None),
        ("the middle, which answers most", 8_000.0, 0.95, Some(1)),
        ("none", 1_000.0, 0.95, None),
    ];
    for (name, left_ms, middle_share, expected) in cases {
        let mut sizes = outlooks([30.0, 80.0, 800.0]);
        sizes[1].good_share = middle_share;
        let cascade = Cascade::new(0.3, 0.0, 0.5).deadline_left_ms(left_ms);
        let answer = CurrentAnswer {
            size: 0,
            confidence: Some(10),
            objective_left_ms: 1_900.0,
            end_chance: 1.0,
        };
        assert_eq!(cascade.next_size(&sizes, &answer, 2), expected, "{name}");
        let ends = match left_ms {
            ..2_000.0 => 0,
            ..20_000.0 => 1,
            _ => 2,
        };
        assert_eq!(cascade.size_that_ends(&sizes, 2), ends, "{name}");
        for size in &mut sizes {
            size.run = None;
        }
        let unknown = cascade.next_size(&sizes, &answer, 2);
        assert!(unknown.is_some(), "{name}: lengths are not known");
    }
}

/// Guards against lengths and paces of which only the short and fast ones are known.
#[test]
fn streams_that_are_cut_at_their_deadline_count_as_longer_ones() {
    let mut random = Rng::with_seed(3);
    let mut lengths = LengthEstimate::default();
    lengths.record_cut(30, None);
    assert_eq!(lengths.length(None, 500), None, "the maximum is no length");
    for _ in 0..2_000 {
        let events = 36.0 * (0.5 * normal(&mut random)).exp();
        match events {
            ..40.0 => lengths.record(events.round() as u32, None),
            _ => lengths.record_cut(40, None),
        }
    }
    let median = lengths.length(None, 0).map(|length| length.median_events);
    assert!(median.is_some_and(|events| (30.0..42.0).contains(&events)));
}
