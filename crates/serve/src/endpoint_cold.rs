//! Whether one endpoint is cold, as this instance's calls, its entry and peers show it.

use std::cell::Cell;
use std::sync::Arc;

use limits::{ColdDivision, ColdSight};

use crate::endpoint::{ColdLeft, Endpoint};
use crate::shared_cold::EndpointPeriod;

/// How long an entry that tells the same time again counts as written again without a change, in milliseconds.
/// Otherwise an endpoint that keeps its entry alive by writing it would stay cold for ever.
const RENEWAL_MS: u64 = 10_000;

/// How the service's cold endpoints are treated.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct ColdRules {
    /// How long an endpoint is cold after its start, in milliseconds.
    pub(crate) start_ms: u64,
    pub(crate) division: ColdDivision,
    /// Whether this instance is one of those that send.
    pub(crate) is_sender: bool,
    /// Whether it asks for the endpoint's health at the end of a cold period.
    pub(crate) is_checker: bool,
}

/// Ages by which the first sight of a run is judged, in milliseconds.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SightAges {
    /// Time since the run started, if it is known.
    pub(crate) run_ms: Option<u64>,
    /// Time since this instance first knew endpoints.
    pub(crate) instance_ms: u64,
}

/// What is known of the cold periods of one run of one endpoint. A service without a rate for cold endpoints has
/// no rules, and none of this applies.
#[derive(Debug, Default)]
pub(crate) struct EndpointCold {
    period: Arc<EndpointPeriod>,
    rules: Cell<Option<ColdRules>>,
    is_seen: Cell<bool>,
    /// What the latest entry told of for how long the endpoint stays cold, and when it was seen, in milliseconds.
    entry: Cell<Option<(ColdLeft, u64)>>,
    /// Whether a connection was refused or broke since the endpoint was last reached, so that its process may have
    /// ended. A path that was cut does not show that.
    may_have_ended: Cell<bool>,
}

impl EndpointCold {
    pub(crate) fn new(period: Arc<EndpointPeriod>) -> EndpointCold {
        EndpointCold {
            period,
            ..EndpointCold::default()
        }
    }

    pub(crate) fn rules(&self) -> Option<ColdRules> {
        self.rules.get()
    }

    pub(crate) fn set_rules(&self, rules: Option<ColdRules>) {
        self.rules.set(rules);
    }

    /// Records what the entry of the run says, when this instance sees it first or changed.
    pub(crate) fn see_entry(&self, endpoint: &Endpoint, ages: SightAges, now_ms: u64) {
        let Some(rules) = self.rules.get() else {
            return;
        };
        let is_new_run = !self.is_seen.replace(true);
        let is_new_entry = self.is_news(endpoint.cold_left, now_ms);
        if !is_new_run && !is_new_entry {
            return;
        }
        let sight = ColdSight {
            left_ms: endpoint.cold_left.map(|left| left.ms),
            is_new_run,
            run_age_ms: ages.run_ms,
            instance_age_ms: ages.instance_ms,
            start_ms: rules.start_ms,
        };
        let cold_ms = sight.cold_ms();
        if cold_ms > 0 {
            // An instance that starts guesses, and need not spread that.
            let is_told = ages.instance_ms >= rules.start_ms;
            self.period.update(now_ms, |period| {
                period.observe(cold_ms, is_told, now_ms);
            });
        }
    }

    fn is_news(&self, told: Option<ColdLeft>, now_ms: u64) -> bool {
        let Some(told) = told else {
            return false;
        };
        match self.entry.get() {
            Some((before, _)) if before.revision == told.revision => false,
            before => {
                self.entry.set(Some((told, now_ms)));
                before.is_none_or(|(before, seen_ms)| {
                    before.ms != told.ms || now_ms >= seen_ms + RENEWAL_MS
                })
            }
        }
    }

    /// Records that a connection was refused or broke, so that the process may have ended.
    pub(crate) fn record_broken(&self, now_ms: u64) {
        self.may_have_ended.set(true);
        self.observe(true, now_ms);
    }

    /// Repeats to others that the endpoint is not reached, if its process may have ended. It is cold for the whole
    /// time again from when it is.
    pub(crate) fn record_still_unreached(&self, now_ms: u64) {
        if self.may_have_ended.get() {
            self.observe(true, now_ms);
        }
    }

    /// Records that the endpoint was reached again that was out of reach.
    pub(crate) fn record_reached_again(&self, now_ms: u64) {
        self.observe(self.may_have_ended.take(), now_ms);
    }

    /// Records how long the endpoint said that it stays cold when it was asked at a time, in milliseconds.
    pub(crate) fn record_answer(&self, left_ms: u64, asked_ms: u64, now_ms: u64) {
        if self.rules.get().is_some() {
            self.period.update(now_ms, |period| {
                period.record_answer(left_ms, asked_ms, now_ms);
            });
        }
    }

    fn observe(&self, is_told: bool, now_ms: u64) {
        if let Some(rules) = self.rules.get() {
            self.period.update(now_ms, |period| {
                period.observe(rules.start_ms, is_told, now_ms);
            });
        }
    }

    /// Returns whether the endpoint counts as cold. While it is out of reach, the request that reaches it again
    /// would find it so. It may have restarted unseen until it confirms the end of a period.
    pub(crate) fn is_cold(&self, is_out_of_reach: bool, now_ms: u64) -> bool {
        let period = self.period.get();
        let counts_as_cold = period.is_cold(now_ms) || period.awaits_confirmation(now_ms);
        self.rules.get().is_some() && (is_out_of_reach || counts_as_cold)
    }

    /// Returns whether the next request that the endpoint gets from this instance is the health check at the end of
    /// its period.
    pub(crate) fn is_kept_for_check(&self, now_ms: u64) -> bool {
        let Some(rules) = self.rules.get().filter(|rules| rules.is_sender) else {
            return false;
        };
        let period = self.period.get();
        // A request within an interval of the end would delay the check.
        let is_near = (1..=rules.division.interval_ms).contains(&period.left_ms(now_ms));
        is_near || period.awaits_confirmation(now_ms)
    }

    /// Returns whether this instance is to ask the endpoint, once for each end of a period, whether it is cold no
    /// longer.
    pub(crate) fn awaits_check(&self, now_ms: u64) -> bool {
        let is_checker = self.rules.get().is_some_and(|rules| rules.is_checker);
        is_checker && self.period.get().try_ask(now_ms)
    }

    /// Records that this instance asks the endpoint now, and returns whether it did not yet at this end.
    pub(crate) fn try_ask(&self, now_ms: u64) -> bool {
        let mut is_first = false;
        self.period
            .update(now_ms, |period| is_first = period.try_ask(now_ms));
        is_first
    }

    /// Returns for how long the endpoint counts as cold, in milliseconds.
    pub(crate) fn left_ms(&self, now_ms: u64) -> u64 {
        self.period.get().left_ms(now_ms)
    }
}
