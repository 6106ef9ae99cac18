//! Which instances may still have calls on the versions that a roll-out replaces.

use std::collections::HashMap;

use kernel::Incarnation;

/// What an instance says of its calls on the old versions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OldCallsReport {
    /// The calls that run.
    pub running: u64,
    /// Those of them whose answers would be lost if their endpoints ended now: they may not be repeated, or the
    /// retry budget does not cover it.
    pub lost_if_ended: u64,
    /// Whether it starts no more of them. Builds that do not say so may start some.
    pub has_moved: bool,
}

/// What may still run on the old versions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OldCallsState {
    /// Calls whose answers would be lost if their endpoints ended, as far as is known.
    Running,
    /// Only calls that would be repeated if their endpoints ended.
    Repeatable,
    /// No calls.
    Ended,
}

/// Age from which a report does not say any more which calls would be repeated, in milliseconds.
const OUTDATED_MS: u64 = 2_000;

/// Age from which a report that leaves calls to wait for is worth another one, in milliseconds.
const RENEW_MS: u64 = 400;

/// As above, of a report whose calls would all be repeated.
const RENEW_REPEATABLE_MS: u64 = 1_200;

/// An instance of the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListedInstance {
    /// This run of the instance.
    pub incarnation: Incarnation,
    /// When it was held for dead, in milliseconds, if it is. It may be cut off and go on with its calls.
    pub lost_ms: Option<u64>,
}

/// What bounds the wait for instances that say nothing, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OldCallsBound {
    /// When all new calls moved to the new version.
    pub moved_ms: u64,
    /// The longest time that a call may take.
    pub longest_call_ms: u64,
}

#[derive(Debug, Clone, Copy)]
struct Received {
    report: OldCallsReport,
    at_ms: u64,
}

/// The latest report of each instance.
///
/// # Examples
///
/// ```
/// use kernel::Incarnation;
/// use rollout::{ListedInstance, OldCalls, OldCallsBound, OldCallsReport};
///
/// let incarnation = Incarnation::from_u64(1);
/// let fleet = [ListedInstance { incarnation, lost_ms: None }];
/// let bound = OldCallsBound { moved_ms: 5_000, longest_call_ms: 2_000 };
/// let mut calls = OldCalls::default();
/// assert_eq!(calls.awaited(&fleet, &bound, 6_000), [incarnation]);
/// let report = OldCallsReport { running: 0, lost_if_ended: 0, has_moved: true };
/// calls.record(incarnation, report, 6_000);
/// assert!(calls.awaited(&fleet, &bound, 6_000).is_empty());
/// ```
#[derive(Debug, Default)]
pub struct OldCalls {
    received: HashMap<Incarnation, Received>,
}

impl OldCalls {
    /// Records a report that was received at a time, in milliseconds.
    pub fn record(&mut self, from: Incarnation, report: OldCallsReport, at_ms: u64) {
        self.received.insert(from, Received { report, at_ms });
    }

    /// Returns the instances of a fleet that may still have calls on the old versions.
    ///
    /// An instance is awaited until it reports that it has none and starts none, or until those that it may
    /// have begun have ended by their deadlines.
    pub fn awaited(
        &self,
        fleet: &[ListedInstance],
        bound: &OldCallsBound,
        now_ms: u64,
    ) -> Vec<Incarnation> {
        let mut awaited = Vec::new();
        for instance in fleet {
            let received = self.received.get(&instance.incarnation);
            if received.is_some_and(Received::is_last) {
                continue;
            }
            let known_ms = match (instance.lost_ms, received) {
                (Some(lost_ms), _) => lost_ms,
                (None, Some(received)) if received.report.has_moved => received.at_ms,
                (None, _) => bound.moved_ms,
            };
            if now_ms < known_ms + bound.longest_call_ms {
                awaited.push(instance.incarnation);
            }
        }
        awaited
    }

    /// Returns whether an instance that is awaited is to be asked for a report.
    pub fn is_due(&self, incarnation: Incarnation, now_ms: u64) -> bool {
        self.received.get(&incarnation).is_none_or(|received| {
            let age_ms = now_ms.saturating_sub(received.at_ms);
            match received.is_repeatable(now_ms) {
                true => age_ms >= RENEW_REPEATABLE_MS,
                false => !received.report.has_moved || age_ms >= RENEW_MS,
            }
        })
    }

    /// Returns what may still run on the old versions at the instances of a fleet.
    pub fn state(
        &self,
        fleet: &[ListedInstance],
        bound: &OldCallsBound,
        now_ms: u64,
    ) -> OldCallsState {
        let awaited = self.awaited(fleet, bound, now_ms);
        if awaited.is_empty() {
            return OldCallsState::Ended;
        }
        let is_repeatable = |incarnation| {
            let received = self.received.get(incarnation);
            received.is_some_and(|received| received.is_repeatable(now_ms))
        };
        if awaited.iter().all(is_repeatable) {
            OldCallsState::Repeatable
        } else {
            OldCallsState::Running
        }
    }
}

impl Received {
    /// Returns whether no call is running and none will be.
    fn is_last(&self) -> bool {
        self.report.has_moved && self.report.running == 0
    }

    /// Returns whether the answers of all calls that run would come from elsewhere.
    fn is_repeatable(&self, now_ms: u64) -> bool {
        let is_recent = now_ms < self.at_ms + OUTDATED_MS;
        self.report.has_moved && self.report.lost_if_ended == 0 && is_recent
    }
}
