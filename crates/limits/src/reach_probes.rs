//! Which endpoints an instance probes by connections without a request, and which it takes for reached
//! again without one.
//!
//! It answers the end of many endpoints, and cuts between instances and endpoints, in fleets of a few
//! to hundreds of instances: what all of them see needs no probe by each.

/// The probes of one endpoint in a second that all instances keep to together.
const MAX_ENDPOINT_PROBES_PER_S: usize = 5;

/// The number of instances that look for the return of one endpoint where those that are cut off take
/// turns. The other probes that it bears are those that learn how far a cut goes, or look for its end.
const PROBERS: usize = 3;

/// The number of instances that look for the return of one endpoint elsewhere.
const PROBERS_WITHOUT_TURNS: usize = 5;

/// The largest fleet in which each instance probes all endpoints that it does not reach, since that is
/// sooner than news of others and costs little.
const SMALL_FLEET: usize = 12;

/// The shortest interval between the probes of one endpoint by one of its probers, in milliseconds.
const PROBER_INTERVAL_MS: u64 = 1_000;

/// The longest interval between the probes of one endpoint by one of its probers, in milliseconds.
const MAX_PROBER_INTERVAL_MS: u64 = 2_000;

/// The longest interval between the probes by an instance that is cut off, in milliseconds, unless the
/// size of the fleet or the share of each endpoint in all probes demands a longer one.
const MAX_CUT_OFF_INTERVAL_MS: u64 = 1_000;

/// Probes in a second from all instances of a large fleet together if each is cut off.
const MAX_CUT_OFF_PROBES_PER_S: u64 = 150;

/// The largest number of instances for each endpoint of a service with which those that are cut off take
/// turns.
const MAX_INSTANCES_PER_ENDPOINT: usize = 2;

/// Of so many probes for the end of a cut, one is of any endpoint, since all those of which the instance
/// is a prober may have ended.
const CUT_OFF_ROUND: u64 = 4;

/// The shortest interval between the probes of one endpoint, in milliseconds.
pub const MIN_PROBE_INTERVAL_MS: u64 = 400;

/// How long an endpoint may have been silent to count as reached without a probe, in milliseconds.
const RECENT_MS: u64 = 500;

/// Endpoints of a service that are out of reach together for another reason than their own end.
const SUSPICIOUS_COUNT: usize = 2;

/// The same for a large service of which as many others are out of reach, though some are in reach: its
/// endpoints end one by one.
const SUSPICIOUS_COUNT_AMID_ENDS: usize = 4;

/// Endpoints that fail in a row, without a connection to any other, of an instance that is cut off. Half
/// of the endpoints of a service being gone looks like this once in 256 times.
const CUT_OFF_COUNT: usize = 8;

/// The largest service of which all endpoints are probed at once when a cut begins or ends.
const SMALL_SERVICE: usize = 16;

/// Probes that are saved up for the next cut from a small service: one for each endpoint.
const MAX_TOKENS: f64 = SMALL_SERVICE as f64;

/// Probes that are saved up for the next cut from a larger service: those that show it, beyond the
/// requests that raised the suspicion.
const MAX_TOKENS_LARGE: f64 = (CUT_OFF_COUNT - SUSPICIOUS_COUNT) as f64;

/// Probes that each request adds, which bounds what probes add to the connections of requests.
const TOKENS_PER_REQUEST: f64 = 0.02;

/// What an instance knows of its path to one endpoint. Times are in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Path {
    /// When the latest connection that was established was opened.
    pub connected_ms: Option<u64>,
    /// When the latest connection that was not established was opened.
    pub failed_ms: Option<u64>,
    /// Since when no connection was established, if the latest one was not.
    pub unreached_since_ms: Option<u64>,
    /// When bytes last arrived.
    pub received_ms: u64,
    /// When the endpoint was last probed.
    pub probed_ms: Option<u64>,
    /// When a peer last reported that it reaches the endpoint again.
    pub peer_reached_ms: Option<u64>,
    /// How many instances come before this one in the rank for the endpoint. It matters while the endpoint
    /// is out of reach or the instance is cut off.
    pub rank: usize,
}

/// What to do about the endpoints of a service, by their indices.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct ProbePlan {
    /// Endpoints to probe.
    pub probe: Vec<usize>,
    /// Endpoints that were out of reach and may get requests again without a probe.
    pub restore: Vec<usize>,
}

/// Probes of the endpoints of one service by one instance.
#[derive(Debug)]
pub struct ReachProbes {
    tokens: f64,
    is_cut_off: bool,
    /// When the instance was found to be cut off, and when it last probed for the end of that.
    cut_off_since_ms: u64,
    cut_off_probe_ms: Option<u64>,
    /// When it is to choose among all endpoints for that at the latest.
    cut_off_any_due_ms: u64,
}

impl Default for ReachProbes {
    fn default() -> ReachProbes {
        ReachProbes {
            tokens: MAX_TOKENS,
            is_cut_off: false,
            cut_off_since_ms: 0,
            cut_off_probe_ms: None,
            cut_off_any_due_ms: 0,
        }
    }
}

/// Returns whether an instance with these paths reaches no endpoint of the service.
fn is_cut_off(paths: &[Path]) -> bool {
    let unreached = paths.iter().filter(|path| path.is_unreached()).count();
    unreached > 0 && (unreached == paths.len() || failures_in_a_row(paths) >= CUT_OFF_COUNT)
}

/// Returns the endpoints that came to be out of reach after the latest connection to any was established.
/// Those that were so before are no sign of a cut if they fail again.
fn fallen(paths: &[Path]) -> impl Iterator<Item = &Path> {
    let connected_ms = paths.iter().filter_map(|path| path.connected_ms).max();
    paths.iter().filter(move |path| {
        path.is_unreached() && path.failed_ms.min(path.unreached_since_ms) > connected_ms
    })
}

/// Returns the number of endpoints that failed in a row.
fn failures_in_a_row(paths: &[Path]) -> usize {
    fallen(paths).count()
}

/// Returns the interval at which each instance of a fleet may probe if all are cut off, in milliseconds.
fn cut_off_share_ms(instances: usize) -> u64 {
    1_000 * instances as u64 / MAX_CUT_OFF_PROBES_PER_S
}

/// Returns whether instances that are cut off take turns at each endpoint. If a service has few endpoints,
/// most would wait for long, and each endpoint bears requests of many instances.
fn takes_turns(endpoints: usize, instances: usize) -> bool {
    instances > SMALL_FLEET && instances <= endpoints * MAX_INSTANCES_PER_ENDPOINT
}

/// Returns how many instances look for the return of one endpoint.
fn probers(endpoints: usize, instances: usize) -> usize {
    if takes_turns(endpoints, instances) {
        PROBERS
    } else {
        PROBERS_WITHOUT_TURNS
    }
}

/// Returns the interval at which an instance that is cut off follows news of peers, in milliseconds.
fn news_interval_ms(endpoints: usize, instances: usize) -> u64 {
    if takes_turns(endpoints, instances) {
        PROBER_INTERVAL_MS
    } else {
        MIN_PROBE_INTERVAL_MS
    }
}

/// Returns the interval at which each instance of a fleet may probe if all are cut off, so that an
/// endpoint gets no more probes than it bears, in milliseconds.
fn endpoint_share_ms(endpoints: usize, instances: usize) -> u64 {
    1_000 * instances as u64 / (MAX_ENDPOINT_PROBES_PER_S * endpoints) as u64
}

/// Returns an endpoint that a peer reached again for this instance to probe.
fn news_to_follow(
    paths: &[Path],
    instances: usize,
    now_ms: u64,
    random: &mut fastrand::Rng,
) -> Option<usize> {
    let takes_turns = takes_turns(paths.len(), instances);
    let may_follow = |index: &usize| {
        let path = &paths[*index];
        path.is_restored() && (!takes_turns || path.is_in_turn(now_ms))
    };
    random.choice((0..paths.len()).filter(may_follow).collect::<Vec<_>>())
}

/// Returns the endpoint among these that was not probed for longest.
fn oldest(
    paths: &[Path],
    indices: impl Iterator<Item = usize>,
    random: &mut fastrand::Rng,
) -> Option<usize> {
    indices.min_by_key(|index| (paths[*index].probed_ms, random.u32(..)))
}

/// Returns the endpoint that was not probed for longest of those of which this instance is a prober, where
/// instances take turns.
fn oldest_of_prober(paths: &[Path], instances: usize, random: &mut fastrand::Rng) -> Option<usize> {
    if !takes_turns(paths.len(), instances) {
        return None;
    }
    let is_prober = |index: &usize| paths[*index].rank < PROBERS;
    oldest(paths, (0..paths.len()).filter(is_prober), random)
}

/// Returns the longest interval of the probes for the end of a cut, in milliseconds.
fn max_cut_off_interval_ms(endpoints: usize, instances: usize) -> u64 {
    cut_off_share_ms(instances)
        .max(endpoint_share_ms(endpoints, instances))
        .max(MAX_CUT_OFF_INTERVAL_MS)
}

/// Returns when this instance last probed, as its prober, an endpoint that failed with the cut. Others may
/// have ended before, so that their probes do not show its end.
fn last_prober_ms(paths: &[Path], instances: usize) -> Option<u64> {
    if !takes_turns(paths.len(), instances) {
        return None;
    }
    let probed = fallen(paths).filter(|path| path.rank < PROBERS);
    probed.filter_map(|path| path.probed_ms).max()
}

impl Path {
    fn is_unreached(&self) -> bool {
        self.unreached_since_ms.is_some()
    }

    /// Returns whether a peer reached the endpoint after this instance last did not.
    fn is_restored(&self) -> bool {
        self.is_unreached() && self.peer_reached_ms > self.failed_ms.max(self.probed_ms)
    }

    fn waited(&self, interval_ms: u64, now_ms: u64) -> bool {
        self.probed_ms
            .is_none_or(|probed_ms| now_ms >= probed_ms + interval_ms)
    }

    /// Returns whether it is this instance's turn to follow the latest news of the endpoint. Turns go by
    /// rank, as many in a second as an endpoint bears.
    fn is_in_turn(&self, now_ms: u64) -> bool {
        let Some(reached_ms) = self.peer_reached_ms else {
            return false;
        };
        let turn = (self.rank / MAX_ENDPOINT_PROBES_PER_S) as u64;
        now_ms.saturating_sub(reached_ms) / 1_000 >= turn
    }

    /// Returns whether one of the endpoint's probers probes it now, at no more than an interval.
    fn is_due_to_prober(&self, probers: usize, max_interval_ms: u64, now_ms: u64) -> bool {
        let Some(since_ms) = self.unreached_since_ms else {
            return false;
        };
        let age_ms = now_ms.saturating_sub(since_ms);
        let interval_ms = age_ms.clamp(PROBER_INTERVAL_MS, max_interval_ms);
        self.rank < probers && self.waited(interval_ms, now_ms)
    }

    /// Returns whether the result of the latest probe may be yet to come.
    fn is_awaited(&self, now_ms: u64) -> bool {
        self.probed_ms > self.connected_ms.max(self.failed_ms) && !self.waited(RECENT_MS, now_ms)
    }

    /// Returns whether nothing is known of the path since another endpoint came to be out of reach.
    fn is_in_doubt(&self, newest_ms: Option<u64>, now_ms: u64) -> bool {
        !self.is_unreached()
            && now_ms >= self.received_ms + RECENT_MS
            && self.connected_ms.max(self.probed_ms) < newest_ms
    }
}

impl ReachProbes {
    /// Returns whether the instance reached no endpoint of the service when the last plan was made.
    pub fn is_cut_off(&self) -> bool {
        self.is_cut_off
    }

    /// Adds what a request permits to probe.
    pub fn record_request(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_REQUEST).min(MAX_TOKENS);
    }

    /// Returns what to do now, before `instances` instances that share the endpoints.
    pub fn plan(
        &mut self,
        paths: &[Path],
        instances: usize,
        now_ms: u64,
        random: &mut fastrand::Rng,
    ) -> ProbePlan {
        let mut plan = ProbePlan::default();
        let was_cut_off = self.is_cut_off;
        self.is_cut_off = is_cut_off(paths);
        if paths.iter().all(|path| !path.is_unreached()) {
            return plan;
        }
        plan.probe = self.due_to_probers(paths, instances, now_ms);
        if self.is_cut_off {
            if !was_cut_off {
                self.cut_off_since_ms = now_ms;
                // Instances that are cut off together do not probe any endpoint together.
                let max_ms = max_cut_off_interval_ms(paths.len(), instances) * CUT_OFF_ROUND;
                self.cut_off_any_due_ms = now_ms + random.u64(..max_ms);
            }
            plan.probe
                .extend(self.end_of_cut(paths, instances, now_ms, random));
        } else if was_cut_off {
            self.recover(paths, &mut plan);
        } else {
            plan.probe.extend(self.explore(paths, now_ms, random));
        }
        if !self.is_cut_off {
            let restored = (0..paths.len()).filter(|index| paths[*index].is_restored());
            plan.restore.extend(restored);
        }
        plan.restore.sort_unstable();
        plan.restore.dedup();
        plan.probe.sort_unstable();
        plan.probe.dedup();
        plan.probe
            .retain(|index| plan.restore.binary_search(index).is_err());
        plan
    }

    /// Returns the endpoints that this instance probes now for the whole fleet.
    fn due_to_probers(&self, paths: &[Path], instances: usize, now_ms: u64) -> Vec<usize> {
        let probers = probers(paths.len(), instances);
        let max_interval_ms = self.max_prober_interval_ms(paths, instances);
        let is_due = |index: &usize| {
            let path = &paths[*index];
            if instances <= SMALL_FLEET {
                return path.is_unreached() && path.waited(MIN_PROBE_INTERVAL_MS, now_ms);
            }
            path.is_due_to_prober(probers, max_interval_ms, now_ms)
        };
        (0..paths.len()).filter(is_due).collect()
    }

    /// Returns the longest interval between the probes of one endpoint by one of its probers, in
    /// milliseconds. The probers that are cut off share what such instances may send.
    fn max_prober_interval_ms(&self, paths: &[Path], instances: usize) -> u64 {
        if !self.is_cut_off || !takes_turns(paths.len(), instances) {
            return MAX_PROBER_INTERVAL_MS;
        }
        let probed = paths.iter().filter(|path| path.rank < PROBERS).count();
        let share_ms = probed as u64 * cut_off_share_ms(instances);
        share_ms.max(MAX_PROBER_INTERVAL_MS)
    }

    /// Returns the endpoint to probe for the end of a cut from all of them, if it is time for one.
    fn end_of_cut(
        &mut self,
        paths: &[Path],
        instances: usize,
        now_ms: u64,
        random: &mut fastrand::Rng,
    ) -> Option<usize> {
        let last_ms = self.cut_off_probe_ms.max(last_prober_ms(paths, instances));
        let waited = |interval_ms| last_ms.is_none_or(|last_ms| now_ms >= last_ms + interval_ms);
        let news_interval_ms = news_interval_ms(paths.len(), instances);
        if let Some(followed) = news_to_follow(paths, instances, now_ms, random) {
            if !waited(news_interval_ms) {
                return None;
            }
            self.cut_off_probe_ms = Some(now_ms);
            return Some(followed);
        }
        let mut interval_ms = self.cut_off_interval_ms(paths.len(), instances, now_ms);
        // Peers that reach any endpoint again may have been cut off by the same fault.
        let news_ms = paths.iter().filter_map(|path| path.peer_reached_ms).max();
        if news_ms > last_ms {
            let share_ms = endpoint_share_ms(paths.len(), instances);
            interval_ms = interval_ms.min(share_ms.max(news_interval_ms));
        }
        let is_any_due = now_ms >= self.cut_off_any_due_ms;
        if takes_turns(paths.len(), instances) && is_any_due {
            return self.probe_any(paths, instances, now_ms, random);
        }
        if !waited(interval_ms) {
            return None;
        }
        self.cut_off_probe_ms = Some(now_ms);
        oldest_of_prober(paths, instances, random)
            .or_else(|| self.probe_any(paths, instances, now_ms, random))
    }

    /// Returns the endpoint that was not probed for longest, to be probed now for the end of a cut.
    fn probe_any(
        &mut self,
        paths: &[Path],
        instances: usize,
        now_ms: u64,
        random: &mut fastrand::Rng,
    ) -> Option<usize> {
        let max_ms = max_cut_off_interval_ms(paths.len(), instances);
        self.cut_off_probe_ms = Some(now_ms);
        self.cut_off_any_due_ms = now_ms + max_ms * CUT_OFF_ROUND;
        oldest(paths, 0..paths.len(), random)
    }

    /// Returns the interval of the probes for the end of a cut, in milliseconds.
    fn cut_off_interval_ms(&self, endpoints: usize, instances: usize, now_ms: u64) -> u64 {
        let min_ms =
            endpoint_share_ms(endpoints, instances).max(news_interval_ms(endpoints, instances));
        let max_ms = max_cut_off_interval_ms(endpoints, instances);
        now_ms
            .saturating_sub(self.cut_off_since_ms)
            .clamp(min_ms, max_ms)
    }

    /// Plans what to do about the endpoints that are still out of reach after the end of a cut.
    fn recover(&mut self, paths: &[Path], plan: &mut ProbePlan) {
        let unreached = (0..paths.len()).filter(|index| paths[*index].is_unreached());
        if paths.len() > SMALL_SERVICE {
            plan.restore.extend(unreached);
            return;
        }
        for index in unreached {
            if !self.try_take() {
                return;
            }
            plan.probe.push(index);
        }
    }

    /// Returns the endpoints to probe to learn how far a cut goes.
    fn explore(&mut self, paths: &[Path], now_ms: u64, random: &mut fastrand::Rng) -> Vec<usize> {
        let newest_ms = paths
            .iter()
            .filter_map(|path| path.unreached_since_ms)
            .max();
        let unreached = paths.iter().filter(|path| path.is_unreached()).count();
        let failures = failures_in_a_row(paths);
        let is_small = paths.len() <= SMALL_SERVICE;
        let suspicious = if is_small { unreached } else { failures };
        let least = if !is_small && unreached >= failures + SUSPICIOUS_COUNT_AMID_ENDS {
            SUSPICIOUS_COUNT_AMID_ENDS
        } else {
            SUSPICIOUS_COUNT.min(paths.len()).max(1)
        };
        if suspicious < least {
            return Vec::new();
        }
        let max_tokens = if is_small {
            MAX_TOKENS
        } else {
            MAX_TOKENS_LARGE
        };
        self.tokens = self.tokens.min(max_tokens);
        let in_doubt = |index: &usize| paths[*index].is_in_doubt(newest_ms, now_ms);
        let mut candidates: Vec<usize> = (0..paths.len()).filter(in_doubt).collect();
        random.shuffle(&mut candidates);
        if !is_small {
            // As many as failed, so that a few rounds suffice, and no more than a cut is known by.
            let awaited = paths.iter().filter(|path| path.is_awaited(now_ms)).count();
            let missing = CUT_OFF_COUNT.saturating_sub(failures + awaited);
            candidates.truncate(failures.min(missing));
        }
        let mut chosen = Vec::new();
        for index in candidates {
            if !self.try_take() {
                break;
            }
            chosen.push(index);
        }
        chosen
    }

    fn try_take(&mut self) -> bool {
        let may_take = self.tokens >= 1.0;
        if may_take {
            self.tokens -= 1.0;
        }
        may_take
    }
}
