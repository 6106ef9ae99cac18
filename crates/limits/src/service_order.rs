//! The order in which engines serve the requests of a service, and which requests are refused, when
//! capacity is short.
//!
//! It answers bursts of one class that last some seconds, and a workspace that sends many times its
//! usual, on engines that queue the requests of all instances. Engines admit and preempt by a
//! number, so that instances which judge alike order their requests together without a message.

use std::collections::HashMap;
use std::sync::Arc;

/// The mean wait, as a share of the latency objective, from which capacity counts as short. A
/// shorter wait costs hardly any request its objective.
const SHORT_WAIT_SHARE: f64 = 0.1;

/// The load of a pool, as a share of its slots, from which capacity counts as short.
const SHORT_LOAD_SHARE: f64 = 0.9;

/// Priorities above this one share its rank.
const MAX_CLASS: u8 = 2;

/// Engine priority of an urgent request in time, and the steps to the next class and to requests
/// that can only be late.
const FIRST_RANK: u8 = 1;
const CLASS_STEP: u8 = 2;
const LATE_RANK: u8 = 7;

/// Rank of the last request in time.
const LAST_RANK_IN_TIME: u8 = LATE_RANK - 1;

/// One in so many requests of each class and workspace that would stand behind others keeps the
/// rank of its class, so that none starves.
const FLOOR_INTERVAL: u32 = 4;

/// Multiple of the mean work of the other workspaces from which a workspace gives way to them.
const OVERUSE_FACTOR: f64 = 3.0;

/// Time in which recorded work loses most of its weight, in milliseconds: several bursts.
const WORK_MEMORY_MS: f64 = 10_000.0;

/// Weight of the latest sample in the mean work of a class.
const SMOOTHING: f64 = 0.05;

/// Time in which a wait that no later request shows loses half of its weight, in milliseconds.
const WAIT_HALF_LIFE_MS: f64 = 1_000.0;

/// Weight of the latest sample in the mean wait of a class.
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
    /// Time left to its latency objective; 0 or below once that has passed.
    pub objective_left_ms: f64,
    /// Expected time to the end of its answer, without the wait.
    pub end_ms: f64,
    /// Time left to its deadline.
    pub deadline_left_ms: f64,
    /// Whether it has waited for an earlier attempt.
    pub has_waited: bool,
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
    /// In time, with at most the usual work of its class.
    Short,
    /// In time, with more work than usual.
    Long,
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
            OrderReason::Short => "short",
            OrderReason::Long => "long",
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

/// Mean wait of a class, in milliseconds.
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

/// Orders the requests of one service on one instance.
///
/// Urgent requests wait less than others, so that waits are measured for each class.
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
///     end_ms: 900.0,
///     deadline_left_ms: 5_000.0,
///     has_waited: false,
/// };
/// let mut order = ServiceOrder::default();
/// assert_eq!(order.order(&request, Pressure::default(), 0), None);
/// let pressure = Pressure { wait_share: 0.5, load_share: 0.7 };
/// assert_eq!(order.order(&request, pressure, 0), Some(Order::Send(3, OrderReason::Short)));
/// ```
#[derive(Debug, Default)]
pub struct ServiceOrder {
    mean_work_ms: [Option<f64>; MAX_CLASS as usize + 1],
    waits: [Wait; MAX_CLASS as usize + 1],
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
        let is_long = self.record(request, now_ms);
        if !pressure.is_short() {
            return None;
        }
        let class = request.priority.min(MAX_CLASS);
        let wait_ms = self.waits[usize::from(class)].at(now_ms);
        let is_full = pressure.load_share >= 1.0;
        if is_full && wait_ms + request.end_ms > request.deadline_left_ms {
            return Some(Order::Refuse);
        }
        let rank = FIRST_RANK + CLASS_STEP * class;
        let is_late = wait_ms + request.first_event_ms > request.objective_left_ms;
        let (rank, reason) = if is_late {
            (LATE_RANK + class, OrderReason::Late)
        } else if self.is_overused(request.workspace, now_ms) {
            let lowered = rank + CLASS_STEP + 1;
            (lowered.min(LAST_RANK_IN_TIME), OrderReason::Overuse)
        } else if is_long {
            (rank + 1, OrderReason::Long)
        } else {
            (rank, OrderReason::Short)
        };
        let gives_way = matches!(reason, OrderReason::Late | OrderReason::Overuse);
        if gives_way && self.takes_floor(request.workspace, class) {
            let rank = FIRST_RANK + CLASS_STEP * class + 1;
            return Some(Order::Send(rank, OrderReason::Floor));
        }
        let rank = rank - u8::from(request.has_waited);
        Some(Order::Send(rank, reason))
    }

    /// Records how long a request of a priority waited for its first event beyond undisturbed prefill.
    pub fn record_wait(&mut self, priority: u8, wait_ms: f64, now_ms: u64) {
        if !wait_ms.is_finite() {
            return;
        }
        let wait = &mut self.waits[usize::from(priority.min(MAX_CLASS))];
        let mean_ms = wait.at(now_ms);
        wait.mean_ms = mean_ms + WAIT_SMOOTHING * (wait_ms.max(0.0) - mean_ms);
        wait.updated_ms = now_ms;
    }

    /// Records the work of a request, and returns whether it is more than usual for its class.
    fn record(&mut self, request: &PendingRequest<'_>, now_ms: u64) -> bool {
        let work_ms = if request.work_ms.is_finite() {
            request.work_ms.max(0.0)
        } else {
            0.0
        };
        let mean = &mut self.mean_work_ms[usize::from(request.priority.min(MAX_CLASS))];
        let usual_ms = mean.unwrap_or(work_ms);
        *mean = Some(usual_ms + SMOOTHING * (work_ms - usual_ms));
        self.total.add(work_ms, now_ms);
        if let Some(usage) = self.usage(request.workspace, now_ms) {
            usage.add(work_ms, now_ms);
        }
        work_ms > usual_ms
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

    /// Returns whether this request is the one in several that does not give way.
    fn takes_floor(&mut self, workspace: Option<&str>, class: u8) -> bool {
        let usage = workspace.and_then(|name| self.workspaces.get_mut(name));
        let usage = usage.unwrap_or(&mut self.total);
        let count = &mut usage.floors[usize::from(class)];
        *count = (*count + 1) % FLOOR_INTERVAL;
        *count == 0
    }
}
