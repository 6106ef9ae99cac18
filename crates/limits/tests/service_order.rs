//! Plays overload on a pool of engines without a network, and compares who is served by order of
//! arrival, by a fixed threshold and by [`ServiceOrder`].

use std::collections::BTreeMap;

use limits::{Order, OrderReason, PendingRequest, Pressure, ServiceOrder};

const SLOTS: usize = 48;
const LENGTH_MS: u64 = 30_000;
const WORKSPACES: usize = 8;

/// A class of requests: priority, mean work, objective, deadline, worth in time and late, and rate.
struct Class {
    name: &'static str,
    priority: u8,
    work_ms: f64,
    objective_ms: f64,
    deadline_ms: f64,
    worth: f64,
    late_worth: f64,
    per_s: f64,
}

const fn class(
    name: &'static str,
    priority: u8,
    times_ms: [f64; 3],
    worth: [f64; 2],
    per_s: f64,
) -> Class {
    Class {
        name,
        priority,
        work_ms: times_ms[0],
        objective_ms: times_ms[1],
        deadline_ms: times_ms[2],
        worth: worth[0],
        late_worth: worth[1],
        per_s,
    }
}

const CLASSES: [Class; 3] = [
    class("summary", 2, [1_800.0, 8_000.0, 25_000.0], [1.8, 0.85], 9.0),
    class("draft", 0, [1_100.0, 2_000.0, 20_000.0], [3.0, 0.36], 14.0),
    class("check", 1, [250.0, 2_000.0, 5_000.0], [0.4, 0.12], 12.0),
];

#[derive(Clone, Copy, PartialEq)]
enum Policy {
    Arrival,
    Threshold,
    Ordered,
}

struct Waiting {
    class: usize,
    workspace: usize,
    arrived_ms: f64,
    work_ms: f64,
    rank: u8,
}

#[derive(Default)]
struct Outcome {
    /// Worth earned and owed, and requests served and sent, by class and by workspace.
    by_class: BTreeMap<&'static str, [f64; 4]>,
    by_workspace: BTreeMap<usize, [f64; 4]>,
}

impl Outcome {
    fn add(&mut self, request: &Waiting, earned: f64, is_served: bool) {
        let class = &CLASSES[request.class];
        let row = [earned, class.worth, f64::from(u8::from(is_served)), 1.0];
        let by_class = self.by_class.entry(class.name).or_default();
        let by_workspace = self.by_workspace.entry(request.workspace).or_default();
        for index in 0..row.len() {
            by_class[index] += row[index];
            by_workspace[index] += row[index];
        }
    }

    fn worth_share(&self) -> f64 {
        let rows = self.by_class.values();
        let (earned, owed) = rows.fold((0.0, 0.0), |sum, row| (sum.0 + row[0], sum.1 + row[1]));
        earned / owed
    }
}

/// Plays a burst from 5 to 15 s, in which workspace 0 sends six times its usual.
fn play(policy: Policy, seed: u64) -> Outcome {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut order = ServiceOrder::default();
    let mut queue: Vec<Waiting> = Vec::new();
    let mut busy_until_ms = vec![0.0_f64; SLOTS];
    let mut outcome = Outcome::default();
    let mut wait_share = 0.0;
    for now_ms in 0..LENGTH_MS {
        let now = now_ms as f64;
        let in_burst = (5_000..15_000).contains(&now_ms);
        for (index, class) in CLASSES.iter().enumerate() {
            let factor = if in_burst { 2.2 } else { 1.0 };
            if random.f64() >= class.per_s * factor / 1_000.0 {
                continue;
            }
            let hot = in_burst && random.f64() < 0.4;
            let workspace = if hot { 0 } else { random.usize(..WORKSPACES) };
            let work_ms = class.work_ms * (0.3 + 1.4 * random.f64());
            let busy = busy_until_ms.iter().filter(|until| **until > now).count();
            let mut request = Waiting {
                class: index,
                workspace,
                arrived_ms: now,
                work_ms,
                rank: 0,
            };
            let pressure = Pressure {
                wait_share,
                load_share: (busy + queue.len()) as f64 / SLOTS as f64,
            };
            let is_refused = match policy {
                Policy::Arrival => false,
                Policy::Threshold => pressure.load_share > 1.25,
                Policy::Ordered => {
                    let name = workspace.to_string();
                    let pending = PendingRequest {
                        priority: class.priority,
                        workspace: Some(&name),
                        work_ms,
                        first_event_ms: 0.0,
                        objective_left_ms: class.objective_ms,
                        end_ms: work_ms,
                        deadline_left_ms: class.deadline_ms,
                        has_waited: false,
                    };
                    match order.order(&pending, pressure, now_ms) {
                        Some(Order::Send(rank, _)) => {
                            request.rank = rank;
                            false
                        }
                        Some(Order::Refuse) => true,
                        None => {
                            request.rank = 2 + 2 * class.priority;
                            false
                        }
                    }
                }
            };
            if is_refused {
                outcome.add(&request, 0.0, false);
            } else {
                queue.push(request);
            }
        }
        for until in busy_until_ms.iter_mut().filter(|until| **until <= now) {
            queue.retain(|waiting| {
                let is_over =
                    now + waiting.work_ms > waiting.arrived_ms + CLASSES[waiting.class].deadline_ms;
                if is_over {
                    outcome.add(waiting, 0.0, false);
                }
                !is_over
            });
            let Some(next) = (0..queue.len()).min_by_key(|index| queue[*index].rank) else {
                break;
            };
            let request = queue.remove(next);
            let class = &CLASSES[request.class];
            let wait_ms = now - request.arrived_ms;
            wait_share += 0.05 * (wait_ms / class.objective_ms - wait_share);
            order.record_wait(class.priority, wait_ms, now_ms);
            let is_late = wait_ms > class.objective_ms;
            let earned = if is_late {
                class.late_worth
            } else {
                class.worth
            };
            outcome.add(&request, earned, true);
            *until = now + request.work_ms;
        }
    }
    outcome
}

/// Guards against an order that serves callers worse than none, or that starves a class or a
/// workspace.
#[test]
fn order_serves_more_worth_than_arrival_and_a_threshold_and_starves_nobody() {
    for seed in 1..=5 {
        let arrival = play(Policy::Arrival, seed);
        let threshold = play(Policy::Threshold, seed);
        let ordered = play(Policy::Ordered, seed);
        let named = [
            ("arrival", &arrival),
            ("threshold", &threshold),
            ("ordered", &ordered),
        ];
        for (name, outcome) in named {
            println!("seed {seed} {name}: worth {:.3}", outcome.worth_share());
            for (class, row) in &outcome.by_class {
                println!(
                    "  {class}: worth {:.3}, served {:.3}",
                    row[0] / row[1],
                    row[2] / row[3]
                );
            }
            for (workspace, row) in &outcome.by_workspace {
                println!(
                    "  workspace {workspace}: worth {:.3}, served {:.3}",
                    row[0] / row[1],
                    row[2] / row[3]
                );
            }
        }
        assert!(
            ordered.worth_share() > arrival.worth_share(),
            "seed {seed}: order of arrival serves more"
        );
        assert!(
            ordered.worth_share() > threshold.worth_share(),
            "seed {seed}: a threshold serves more"
        );
        let rows = ordered
            .by_class
            .values()
            .chain(ordered.by_workspace.values());
        let served = ordered.by_class.values().map(|row| row[2]).sum::<f64>();
        let sent = ordered.by_class.values().map(|row| row[3]).sum::<f64>();
        for row in rows {
            // A class or workspace starves below a quarter of the share that all get.
            assert!(
                row[2] / row[3] >= served / sent / 4.0,
                "seed {seed}: one starves"
            );
        }
    }
}

/// Guards against requests that are reordered or refused while there is room.
#[test]
fn requests_are_ordered_only_while_capacity_is_short_and_refused_only_without_room() {
    let request = PendingRequest {
        priority: 0,
        workspace: Some("clinic"),
        work_ms: 100.0,
        first_event_ms: 300.0,
        objective_left_ms: 2_000.0,
        end_ms: 900.0,
        deadline_left_ms: 5_000.0,
        has_waited: false,
    };
    let late = PendingRequest {
        objective_left_ms: 100.0,
        ..request
    };
    let hopeless = PendingRequest {
        deadline_left_ms: 500.0,
        ..request
    };
    let waited = PendingRequest {
        has_waited: true,
        ..request
    };
    let batch = PendingRequest {
        priority: 9,
        ..request
    };
    let calm = Pressure {
        wait_share: 0.05,
        load_share: 0.5,
    };
    let waits = Pressure {
        wait_share: 0.5,
        load_share: 0.5,
    };
    let full = Pressure {
        wait_share: 0.5,
        load_share: 1.2,
    };
    let cases = [
        ("in time, room", request, calm, None),
        ("hopeless, room", hopeless, calm, None),
        (
            "in time, waits",
            request,
            waits,
            Some(Order::Send(1, OrderReason::Short)),
        ),
        (
            "waited already",
            waited,
            waits,
            Some(Order::Send(0, OrderReason::Short)),
        ),
        (
            "least urgent",
            batch,
            waits,
            Some(Order::Send(5, OrderReason::Short)),
        ),
        (
            "late, waits",
            late,
            waits,
            Some(Order::Send(7, OrderReason::Late)),
        ),
        (
            "hopeless, slots free",
            hopeless,
            waits,
            Some(Order::Send(1, OrderReason::Short)),
        ),
        ("hopeless, full", hopeless, full, Some(Order::Refuse)),
    ];
    for (name, request, pressure, expected) in cases {
        let found = ServiceOrder::default().order(&request, pressure, 0);
        assert_eq!(found, expected, "{name}");
    }
}

/// Guards against unreadable estimates that poison the means.
#[test]
fn estimates_that_are_no_numbers_count_as_no_work() {
    let mut order = ServiceOrder::default();
    let pressure = Pressure {
        wait_share: 0.5,
        load_share: 0.5,
    };
    for work_ms in [f64::NAN, f64::INFINITY, -5.0, 100.0] {
        let request = PendingRequest {
            priority: 0,
            workspace: Some("clinic"),
            work_ms,
            first_event_ms: 0.0,
            objective_left_ms: 1.0,
            end_ms: 0.0,
            deadline_left_ms: 1.0,
            has_waited: false,
        };
        let found = order.order(&request, pressure, 0);
        assert!(
            matches!(found, Some(Order::Send(1 | 2, _))),
            "{work_ms}: {found:?}"
        );
    }
}
