//! Long prompts among short ones, played against engines that read one prompt after the other.

use fastrand::Rng;
use limits::{Candidate, Health, RequestLoad, place};

const ENGINES: usize = 9;
const REQUESTS: usize = 6_000;

/// The mean time between requests, in milliseconds: the engines read nearly all the time.
const MEAN_GAP_MS: f64 = 8.0;

/// How long an answer runs after its first event, in milliseconds.
const ANSWER_MS: f64 = 2_000.0;

/// The users' objective for a first event, in milliseconds, and the share that must keep it.
const OBJECTIVE_MS: f64 = 2_000.0;
const ON_TIME_SHARE: f64 = 0.95;

struct Request {
    at_ms: f64,
    tokens: f64,
    /// How long the prompt is read: the large model takes five times as long.
    reading_ms: f64,
}

/// A load that a request puts on its engine.
struct Held {
    engine: usize,
    load: f64,
    until_ms: f64,
}

fn requests(random: &mut Rng) -> Vec<Request> {
    let mut at_ms = 0.0;
    let mut requests = Vec::new();
    for _ in 0..REQUESTS {
        at_ms += -MEAN_GAP_MS * random.f64().max(1e-9).ln();
        // A Pareto tail with the longest prompts at some 60,000 tokens.
        let tokens = (1_500.0 / random.f64().max(1e-3).powf(0.6)).min(60_000.0);
        let per_token_ms = if random.f64() < 0.45 { 0.036 } else { 0.007 };
        requests.push(Request {
            at_ms,
            tokens,
            reading_ms: tokens * per_token_ms,
        });
    }
    requests
}

/// Plays the requests and returns the share whose first event keeps the objective.
///
/// `weigh` says how much load a request is before its first event and after it.
fn play(weigh: impl Fn(&Request) -> RequestLoad) -> f64 {
    let mut random = Rng::with_seed(11);
    let mut free_at_ms = [0.0_f64; ENGINES];
    let mut held: Vec<Held> = Vec::new();
    let mut on_time = 0;
    for request in requests(&mut random) {
        held.retain(|held| held.until_ms > request.at_ms);
        let candidate = |engine: usize| Candidate {
            load: held
                .iter()
                .filter(|held| held.engine == engine)
                .map(|held| held.load)
                .sum(),
            slots: 64,
            latency_ratio: 1.0,
            same_zone: true,
            health: Health::Usable,
            affinity: None,
            has_capacity: true,
        };
        let candidates: Vec<Candidate> = (0..ENGINES).map(candidate).collect();
        let engine = place(&candidates, &mut random).unwrap();
        let first_ms = free_at_ms[engine].max(request.at_ms) + request.reading_ms;
        free_at_ms[engine] = first_ms;
        on_time += usize::from(first_ms - request.at_ms <= OBJECTIVE_MS);
        let work = weigh(&request);
        held.push(Held {
            engine,
            load: work.prefill,
            until_ms: first_ms,
        });
        held.push(Held {
            engine,
            load: work.response,
            until_ms: first_ms + ANSWER_MS,
        });
    }
    on_time as f64 / REQUESTS as f64
}

/// Kiosk scale-1: answers that ran weighed as much as the reading of their prompts, and a prompt on
/// the large model as much as one on the small model.
#[test]
fn prompts_that_weigh_what_they_take_to_read_keep_short_ones_on_time() {
    let by_reading = play(|request| RequestLoad::from_prefill_ms(request.reading_ms));
    let by_tokens = play(|request| RequestLoad {
        prefill: 0.0,
        response: 1.0 + request.tokens / 4_000.0,
    });
    let by_count = play(|_| RequestLoad {
        prefill: 0.0,
        response: 1.0,
    });
    assert!(by_reading >= ON_TIME_SHARE, "{by_reading}");
    assert!(by_tokens < ON_TIME_SHARE, "the load bites: {by_tokens}");
    assert!(
        by_reading > by_tokens && by_reading > by_count,
        "{by_count}"
    );
}
