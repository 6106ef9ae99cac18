//! The order in which engines serve the requests of a service, and which requests are refused, when
//! capacity is short.
//!
//! It answers bursts of one class that last some seconds, and a workspace that sends many times its
//! usual, on engines that queue the requests of all instances. Engines admit and preempt by a
//! number, so that instances which judge alike order their requests together without a message.
//!
//! All requests of one class that can be in time have the same number. A preempted stream pauses and its
//! prompt is read again, which costs more than the order within a class is worth.

use std::collections::HashMap;
use std::sync::Arc;

/// The mean wait, as a share of the latency objective, from which capacity counts as short. A
/// shorter wait costs hardly any request its objective.
const SHORT_WAIT_SHARE: f64 = 0.1;

/// The load of a pool, as a share of its slots, from which capacity counts as short.
const SHORT_LOAD_SHARE: f64 = 0.9;

/// Priorities above this one share its rank.
const MAX_CLASS: u8 = 3;

/// Engine priority of an urgent request in time, the step to the next class, and the engine priority of
/// requests that can only be late. The first classes have the same numbers without this order, so that its
/// start preempts nothing.
const FIRST_RANK: u8 = 2;
const CLASS_STEP: u8 = 2;
const LATE_RANK: u8 = 8;

/// Step of a request whose workspace gives way: behind the next class, so that a workspace which floods one
/// class does not take the time of the next one either.
const OVERUSE_STEP: u8 = CLASS_STEP + 1;

/// Rank of the last request in time.
const LAST_RANK_IN_TIME: u8 = LATE_RANK - 1;

/// One in so many requests of each class and workspace that would stand behind others keeps the
/// rank of its class, so that none starves.
const FLOOR_INTERVAL: u32 = 4;

/// Multiple of the mean work of the other workspaces from which a workspace gives way to them.
const OVERUSE_FACTOR: f64 = 3.0;

/// Time in which recorded work loses most of its weight, in milliseconds: several bursts.
const WORK_MEMORY_MS: f64 = 10_000.0;

/// Time in which a wait that no later request shows loses half of its weight, in milliseconds.
const WAIT_HALF_LIFE_MS: f64 = 1_000.0;

/// Weight of the latest sample in a mean wait.
const WAIT_SMOOTHING: f64 = 0.2;

/// Most workspaces whose work is remembered.
const MAX_WORKSPACES: usize = 1_024;

/// What is known about a request before it is sent. Times are in milliseconds from now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PendingRequest<'a> {
    /// Priority, where 0 is the most urgent.
    pub priority: u8,
    /// Name of its workspace, if it has one.
    pub workspace: Option<&'a str>,
    /// Engine time that it needs.
    pub work_ms: f64,
    /// Expected time to its first event, without the wait.
    pub first_event_ms: f64,
    /// Time left to its latency objective; 0 or below once that has passed, and infinite once the caller has
    /// the first event.
    pub objective_left_ms: f64,
    /// Least time to the end of its answer, without the wait: hardly any such request ends sooner.
    pub least_end_ms: f64,
    /// Time left to its deadline.
    pub deadline_left_ms: f64,
    /// Whether it can be refused as one that has not run.
    pub may_be_refused: bool,
}

/// How short the capacity of a service is.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Pressure {
    /// Mean wait for engines, as a share of the latency objective.
    pub wait_share: f64,
    /// Load of the pool, as a share of its slots.
    pub load_share: f64,
}

impl Pressure {
    /// Returns whether capacity is short, so that the order of requests matters.
    pub fn is_short(&self) -> bool {
        self.wait_share >= SHORT_WAIT_SHARE || self.load_share >= SHORT_LOAD_SHARE
    }
}

/// Why a request has its rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum OrderReason {
    /// It can be in time.
    InTime,
    /// Its workspace uses several times as much as the others.
    Overuse,
    /// It can only be late.
    Late,
    /// It keeps the rank of its class, so that its class and workspace do not starve.
    Floor,
}

impl OrderReason {
    /// Returns the name for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            OrderReason::InTime => "in_time",
            OrderReason::Overuse => "overuse",
            OrderReason::Late => "late",
            OrderReason::Floor => "floor",
        }
    }
}

/// What happens to a request when capacity is short.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Order {
    /// It is sent with this engine priority, where 0 is the most urgent.
    Send(u8, OrderReason),
    /// It cannot end before its deadline and is refused.
    Refuse,
}

/// Recent work of one workspace, in milliseconds of engine time.
#[derive(Debug, Default)]
struct Usage {
    work_ms: f64,
    updated_ms: u64,
    floors: [u32; MAX_CLASS as usize + 1],
}

impl Usage {
    fn at(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        self.work_ms * (-age_ms / WORK_MEMORY_MS).exp()
    }

    fn add(&mut self, work_ms: f64, now_ms: u64) {
        self.work_ms = self.at(now_ms) + work_ms;
        self.updated_ms = now_ms;
    }
}

/// Mean wait of requests, in milliseconds.
#[derive(Debug, Clone, Copy, Default)]
struct Wait {
    mean_ms: f64,
    updated_ms: u64,
}

impl Wait {
    fn at(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        self.mean_ms * 0.5_f64.powf(age_ms / WAIT_HALF_LIFE_MS)
    }
}

/// Mean waits of the requests of one class.
#[derive(Debug, Default)]
struct ClassWaits {
    /// Of those with the engine priority of the class.
    in_time: Wait,
    overuse: Wait,
    late: Wait,
}

impl ClassWaits {
    fn of(&mut self, reason: OrderReason) -> &mut Wait {
        match reason {
            OrderReason::InTime | OrderReason::Floor => &mut self.in_time,
            OrderReason::Overuse => &mut self.overuse,
            OrderReason::Late => &mut self.late,
        }
    }
}

/// Orders the requests of one service on one instance.
///
/// Urgent requests wait less than others, so that waits are measured for each class. Those of requests that
/// give way say nothing of others of their class, and are measured apart for each reason.
///
/// # Examples
///
/// ```
/// use limits::{Order, OrderReason, PendingRequest, Pressure, ServiceOrder};
///
/// let request = PendingRequest {
///     priority: 1,
///     workspace: None,
///     work_ms: 100.0,
///     first_event_ms: 300.0,
///     objective_left_ms: 2_000.0,
///     least_end_ms: 900.0,
///     deadline_left_ms: 5_000.0,
///     may_be_refused: true,
/// };
/// let mut order = ServiceOrder::default();
/// assert_eq!(order.order(&request, Pressure::default(), 0), None);
/// let pressure = Pressure { wait_share: 0.5, load_share: 0.7 };
/// assert_eq!(order.order(&request, pressure, 0), Some(Order::Send(4, OrderReason::InTime)));
/// ```
#[derive(Debug, Default)]
pub struct ServiceOrder {
    waits: [ClassWaits; MAX_CLASS as usize + 1],
    workspaces: HashMap<Arc<str>, Usage>,
    total: Usage,
}

impl ServiceOrder {
    /// Returns the place of a request, or `None` while capacity is not short.
    pub fn order(
        &mut self,
        request: &PendingRequest<'_>,
        pressure: Pressure,
        now_ms: u64,
    ) -> Option<Order> {
        self.record(request, now_ms);
        if !pressure.is_short() {
            return None;
        }
        let class = request.priority.min(MAX_CLASS);
        let class_rank = ServiceOrder::class_rank(class);
        let (rank, reason) = if self.is_overused(request.workspace, now_ms) {
            (
                (class_rank + OVERUSE_STEP).min(LAST_RANK_IN_TIME),
                OrderReason::Overuse,
            )
        } else {
            (class_rank, OrderReason::InTime)
        };
        let wait_ms = self.waits[usize::from(class)].of(reason).at(now_ms);
        let is_late = wait_ms + request.first_event_ms > request.objective_left_ms;
        let (rank, reason) = if is_late {
            (LATE_RANK, OrderReason::Late)
        } else {
            (rank, reason)
        };
        let gives_way = reason != OrderReason::InTime;
        let (rank, reason) = if gives_way && self.is_floor_due(request.workspace, class) {
            (class_rank, OrderReason::Floor)
        } else {
            (rank, reason)
        };
        let wait_ms = self.waits[usize::from(class)].of(reason).at(now_ms);
        let is_full = pressure.load_share >= 1.0;
        let ends_late = wait_ms + request.least_end_ms > request.deadline_left_ms;
        if is_full && ends_late && request.may_be_refused {
            return Some(Order::Refuse);
        }
        if reason == OrderReason::Floor {
            *self.floor_count(request.workspace, class) = 0;
        }
        Some(Order::Send(rank, reason))
    }

    /// Returns the engine priority of all requests of a priority that can be in time.
    pub fn class_rank(priority: u8) -> u8 {
        (FIRST_RANK + CLASS_STEP * priority.min(MAX_CLASS)).min(LAST_RANK_IN_TIME)
    }

    /// Records how long a request of a priority that was sent for a reason waited for its first event beyond
    /// undisturbed prefill.
    pub fn record_wait(&mut self, priority: u8, reason: OrderReason, wait_ms: f64, now_ms: u64) {
        if !wait_ms.is_finite() {
            return;
        }
        let class = usize::from(priority.min(MAX_CLASS));
        let wait = self.waits[class].of(reason);
        let mean_ms = wait.at(now_ms);
        wait.mean_ms = mean_ms + WAIT_SMOOTHING * (wait_ms.max(0.0) - mean_ms);
        wait.updated_ms = now_ms;
    }

    fn record(&mut self, request: &PendingRequest<'_>, now_ms: u64) {
        let work_ms = if request.work_ms.is_finite() {
            request.work_ms.max(0.0)
        } else {
            0.0
        };
        self.total.add(work_ms, now_ms);
        if let Some(usage) = self.usage(request.workspace, now_ms) {
            usage.add(work_ms, now_ms);
        }
    }

    fn usage(&mut self, workspace: Option<&str>, now_ms: u64) -> Option<&mut Usage> {
        let name = workspace?;
        if !self.workspaces.contains_key(name) {
            if self.workspaces.len() >= MAX_WORKSPACES {
                self.workspaces
                    .retain(|_, usage| usage.updated_ms + WORK_MEMORY_MS as u64 > now_ms);
            }
            self.workspaces.insert(name.into(), Usage::default());
        }
        self.workspaces.get_mut(name)
    }

    /// Returns whether a workspace uses several times as much as the others on average.
    fn is_overused(&self, workspace: Option<&str>, now_ms: u64) -> bool {
        let Some(usage) = workspace.and_then(|name| self.workspaces.get(name)) else {
            return false;
        };
        let others = self.workspaces.len().saturating_sub(1);
        if others == 0 {
            return false;
        }
        let own_ms = usage.at(now_ms);
        let others_ms = (self.total.at(now_ms) - own_ms).max(0.0) / others as f64;
        own_ms > OVERUSE_FACTOR * others_ms
    }

    /// Counts a request that would give way, and returns whether it is the one in several that does not. It
    /// remains due until one is sent, so that refusals do not use it up.
    fn is_floor_due(&mut self, workspace: Option<&str>, class: u8) -> bool {
        let count = self.floor_count(workspace, class);
        *count = (*count + 1).min(FLOOR_INTERVAL);
        *count == FLOOR_INTERVAL
    }

    fn floor_count(&mut self, workspace: Option<&str>, class: u8) -> &mut u32 {
        let usage = workspace.and_then(|name| self.workspaces.get_mut(name));
        let usage = usage.unwrap_or(&mut self.total);
        &mut usage.floors[usize::from(class)]
    }
}
