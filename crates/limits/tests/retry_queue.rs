//! Plays endpoints that end in numbers against the retry budget of one instance, without a network.

use limits::{Fleet, RetryQueue, RetryTicket, WindowedRetryBudget, WindowedRetrySettings};

const WINDOW_MS: u64 = 10_000;

/// When the endpoints end, and how long an answer that broke off may wait for a retry.
const ENDS_MS: u64 = 20_000;
const MAX_WAIT_MS: u64 = 4_000;

/// Answers that break off at one moment, by priority.
const BROKEN: [usize; 3] = [5, 5, 5];

/// What became of the answers of each priority: how many got a retry, and the longest wait for one.
#[derive(Debug, Default, Clone, Copy)]
struct Outcome {
    resumed: usize,
    longest_wait_ms: u64,
}

/// Plays one instance of 65 with five requests per second, two of which take a second run.
fn play(max_wait_ms: u64) -> [Outcome; 3] {
    let settings = WindowedRetrySettings {
        ratio: 0.81,
        floor: 153.0,
        window_ms: WINDOW_MS,
    };
    let fleet = Fleet::known(65);
    let mut budget = WindowedRetryBudget::new(settings, 0);
    let mut queue = RetryQueue::default();
    let mut waiting: Vec<(RetryTicket, usize)> = Vec::new();
    let mut outcomes = [Outcome::default(); 3];
    for now_ms in (0..=ENDS_MS + MAX_WAIT_MS).step_by(20) {
        if now_ms % 200 == 0 {
            budget.record_request(now_ms);
            let wants_second_run = now_ms % 1_000 < 400;
            if wants_second_run && queue.is_empty() && budget.used_share(now_ms, fleet) < 0.75 {
                budget.try_acquire(now_ms, fleet);
            }
        }
        if now_ms == ENDS_MS {
            // The least urgent ones are the first to notice.
            for priority in (0..BROKEN.len()).rev() {
                for _ in 0..BROKEN[priority] {
                    let ticket = queue.join(priority as u8, now_ms + max_wait_ms);
                    waiting.push((ticket, priority));
                }
            }
        }
        while let Some(index) = waiting
            .iter()
            .position(|(ticket, _)| queue.is_next(*ticket))
        {
            if now_ms > ENDS_MS + max_wait_ms || !budget.try_acquire(now_ms, fleet) {
                break;
            }
            let (ticket, priority) = waiting.remove(index);
            queue.leave(ticket);
            outcomes[priority].resumed += 1;
            outcomes[priority].longest_wait_ms = now_ms - ENDS_MS;
        }
    }
    outcomes
}

/// Guards against answers that are lost at once although the budget allows their retries a little later.
#[test]
fn answers_that_break_off_together_are_resumed_as_the_budget_grows() {
    let at_once = play(0);
    let waiting = play(MAX_WAIT_MS);
    println!("at once: {at_once:?}\nwaiting: {waiting:?}");
    let sum = |outcomes: &[Outcome; 3]| {
        outcomes
            .iter()
            .map(|outcome| outcome.resumed)
            .sum::<usize>()
    };
    assert!(sum(&at_once) < BROKEN.iter().sum());
    assert!(sum(&waiting) > sum(&at_once));
    // Urgent ones lose nothing, and none waits longer than those that are less urgent.
    assert_eq!(waiting[0].resumed, BROKEN[0]);
    assert!(waiting[0].longest_wait_ms <= waiting[1].longest_wait_ms);
}
