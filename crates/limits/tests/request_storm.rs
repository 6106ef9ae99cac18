//! Plays plain endpoints that end one after the other under one request or two, and checks how soon
//! these are refused and that no other is.

mod common;

use common::exchange;
use fastrand::Rng;
use limits::{Admittance, Crash, CrashGuard, Subject};

const STEP_MS: u64 = 5;
const DURATION_MS: u64 = 40_000;
const SEEDS: u64 = 30;

/// Sound requests a second for each endpoint, a tenth of which have one of a few contents.
const SOUND_PER_S: f64 = 9.0;
const POPULAR_CONTENTS: u64 = 5;
const POPULAR_SHARE: f64 = 0.1;

/// Times that each bad request comes a second.
const BAD_PER_S: f64 = 0.7;
const BAD_CONTENT: u64 = 666;

/// Time that a sound request runs, and from the start of a bad one to the end of its endpoint, in
/// milliseconds.
const RUN_MS: u64 = 25;
const CRASH_DELAY_MS: u64 = 110;

/// The interval between the reports of instances, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 60;

const MAX_ATTEMPTS: u32 = 3;

/// The ends of endpoints from which a request must be known, the time until then, in milliseconds, and
/// the times that it may reach endpoints later: the users' bounds.
const CRASHES_TO_LEARN: usize = 3;
const LEARN_MS: u64 = 3_000;
const MAX_LATE_STARTS: usize = 3;

/// Largest share of the sound requests that may be refused.
const MAX_REFUSED_SHARE: f64 = 0.01;

#[derive(Debug, Clone, Copy)]
struct Case {
    instances: usize,
    endpoints: usize,
    bad_requests: u64,
    /// Ends of each endpoint a second that no request causes.
    other_ends_per_s: f64,
}

#[derive(Debug, Clone)]
struct Call {
    instance: usize,
    content: u64,
    may_retry: bool,
    attempts: u32,
    began_ms: u64,
}

impl Call {
    fn is_bad(&self) -> bool {
        (BAD_CONTENT..BAD_CONTENT + 10).contains(&self.content)
    }

    fn subjects(&self) -> [Subject; 1] {
        [Subject::Request(self.content)]
    }
}

#[derive(Debug, Clone, Default)]
struct Endpoint {
    run: u64,
    back_ms: u64,
    ends_ms: Option<u64>,
    running: Vec<Call>,
}

/// What became of one bad request.
#[derive(Debug, Default)]
struct BadRequest {
    crash_times_ms: Vec<u64>,
    late_starts: usize,
}

struct Storm {
    case: Case,
    rng: Rng,
    guards: Vec<CrashGuard>,
    endpoints: Vec<Endpoint>,
    bad: Vec<BadRequest>,
    sound: usize,
    sound_refused: usize,
    next_content: u64,
}

impl Storm {
    fn new(case: Case, seed: u64) -> Storm {
        Storm {
            case,
            rng: Rng::with_seed(seed),
            guards: (0..case.instances).map(|_| CrashGuard::default()).collect(),
            endpoints: vec![Endpoint::default(); case.endpoints],
            bad: (0..case.bad_requests)
                .map(|_| BadRequest::default())
                .collect(),
            sound: 0,
            sound_refused: 0,
            next_content: 10_000,
        }
    }

    fn play(mut self) -> Storm {
        for now_ms in (1..=DURATION_MS / STEP_MS).map(|step| step * STEP_MS) {
            self.arrive(now_ms);
            self.end_endpoints(now_ms);
            self.complete(now_ms);
            if now_ms % REPORT_INTERVAL_MS == 0 {
                exchange(&mut self.guards, now_ms);
            }
        }
        self
    }

    fn occurs(&mut self, per_s: f64) -> bool {
        self.rng.f64() < per_s * STEP_MS as f64 / 1_000.0
    }

    fn arrive(&mut self, now_ms: u64) {
        if self.occurs(SOUND_PER_S * self.case.endpoints as f64) {
            self.sound += 1;
            let is_popular = self.rng.f64() < POPULAR_SHARE;
            self.next_content += 1;
            let content = if is_popular {
                self.rng.u64(..POPULAR_CONTENTS)
            } else {
                self.next_content
            };
            self.ask(content, now_ms);
        }
        for number in 0..self.case.bad_requests {
            if self.occurs(BAD_PER_S) {
                self.ask(BAD_CONTENT + number, now_ms);
            }
        }
    }

    fn ask(&mut self, content: u64, now_ms: u64) {
        let call = Call {
            instance: self.rng.usize(..self.case.instances),
            content,
            may_retry: (BAD_CONTENT..BAD_CONTENT + 10).contains(&content) || self.rng.bool(),
            attempts: 0,
            began_ms: now_ms,
        };
        self.send(call, now_ms);
    }

    fn send(&mut self, mut call: Call, now_ms: u64) {
        let guard = &mut self.guards[call.instance];
        if guard.admit(&call.subjects(), |_| false, now_ms) != Admittance::Admitted {
            self.sound_refused += usize::from(!call.is_bad());
            return;
        }
        if call.attempts > 0 && guard.is_suspect(&call.subjects(), now_ms) {
            return;
        }
        let up: Vec<usize> = (0..self.endpoints.len())
            .filter(|index| self.endpoints[*index].back_ms <= now_ms)
            .collect();
        if up.is_empty() {
            return;
        }
        call.attempts += 1;
        call.began_ms = now_ms;
        let endpoint = &mut self.endpoints[up[self.rng.usize(..up.len())]];
        if call.is_bad() {
            let bad = &mut self.bad[(call.content - BAD_CONTENT) as usize];
            let third_ms = bad.crash_times_ms.get(CRASHES_TO_LEARN - 1);
            let is_late = third_ms.is_some_and(|third_ms| now_ms > third_ms + LEARN_MS);
            bad.late_starts += usize::from(is_late);
            endpoint.ends_ms = endpoint.ends_ms.or(Some(now_ms + CRASH_DELAY_MS));
        }
        endpoint.running.push(call);
    }

    fn complete(&mut self, now_ms: u64) {
        for endpoint in &mut self.endpoints {
            let guards = &mut self.guards;
            endpoint.running.retain(|call| {
                let is_done = !call.is_bad() && now_ms >= call.began_ms + RUN_MS;
                if is_done {
                    guards[call.instance].record_survival(&call.subjects(), now_ms);
                }
                !is_done
            });
        }
    }

    fn end_endpoints(&mut self, now_ms: u64) {
        for index in 0..self.endpoints.len() {
            let is_up = self.endpoints[index].back_ms <= now_ms;
            let by_itself = self.occurs(self.case.other_ends_per_s) && is_up;
            let by_request = self.endpoints[index]
                .ends_ms
                .is_some_and(|ends_ms| now_ms >= ends_ms);
            if by_itself || by_request {
                self.end(index, now_ms);
            }
        }
    }

    fn end(&mut self, index: usize, now_ms: u64) {
        let back_ms = now_ms + self.rng.u64(1_500..5_000);
        let endpoint = &mut self.endpoints[index];
        endpoint.run += 1;
        endpoint.ends_ms = None;
        endpoint.back_ms = back_ms;
        let crash = Crash {
            endpoint: endpoint.run * 100 + index as u64 + 1,
            at_ms: now_ms,
        };
        for call in std::mem::take(&mut endpoint.running) {
            if call.is_bad() {
                let bad = &mut self.bad[(call.content - BAD_CONTENT) as usize];
                bad.crash_times_ms.push(now_ms);
            }
            self.guards[call.instance].record_crash(&call.subjects(), crash);
            if call.may_retry && call.attempts < MAX_ATTEMPTS {
                self.send(call, now_ms);
            }
        }
    }
}

/// Issue 34, BUDGET and LOST.
#[test]
fn requests_that_end_endpoints_are_refused_in_time_and_no_other_is() {
    std::thread::scope(|scope| {
        for (bad_requests, other_ends_per_s) in [(1, 0.0), (1, 0.1), (2, 0.0), (0, 0.3)] {
            for (instances, endpoints) in [(1, 3), (1, 9), (3, 3), (3, 9), (6, 3), (6, 9)] {
                let case = Case {
                    instances,
                    endpoints,
                    bad_requests,
                    other_ends_per_s,
                };
                scope.spawn(move || play(case));
            }
        }
    });
}

fn play(case: Case) {
    let mut ends = Vec::new();
    let mut late = 0;
    let mut sound = 0;
    let mut refused = 0;
    for seed in 0..SEEDS {
        let storm = Storm::new(case, seed).play();
        for bad in &storm.bad {
            ends.push(bad.crash_times_ms.len());
            late = late.max(bad.late_starts);
            let what = format!("{case:?}, seed {seed}: {bad:?}");
            assert!(bad.late_starts <= MAX_LATE_STARTS, "{what}");
        }
        sound += storm.sound;
        refused += storm.sound_refused;
    }
    ends.sort_unstable();
    let most = ends.last().copied().unwrap_or_default();
    let median = ends.get(ends.len() / 2).copied().unwrap_or_default();
    println!(
        "{case:?}: ends {median} median, {most} most; late {late}; {refused} of {sound} refused"
    );
    let share = refused as f64 / sound as f64;
    assert!(share <= MAX_REFUSED_SHARE, "{case:?}: {refused} of {sound}");
}
