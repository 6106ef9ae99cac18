//! Learns which prompt parts crash endpoints, and refuses requests with them for a while.
//!
//! A part that crashes every endpoint that begins to answer it has crashes and never a survival. Any
//! other part, however often it is running when an endpoint ends, survives in between. So a part is
//! blocked for crashes in a row, over all instances, without a survival.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap, HashSet};

/// How long after a crash further ones count as the same event, in milliseconds: endpoints that end
/// together have another cause than one prompt each.
const EVENT_MS: u64 = 120;

/// How long a crash counts, in milliseconds.
const CRASH_LIFETIME_MS: u64 = 60_000;

/// The fewest crashes in a row for which a part is blocked.
const MIN_CRASHES: usize = 3;

/// The crashes in a row after which a request with a part is not repeated if an endpoint ended under
/// it.
const SUSPECT_CRASHES: usize = 2;

/// The crashes beyond those needed after which a part is blocked even if another one has as many.
const TIED_CRASHES: usize = 2;

/// The evidence at which a part is blocked, in nats: the crashes would be this unlikely if endpoints
/// ended as often as they do under any other part.
const BLOCK_NATS: f64 = 7.0;

/// How long after a crash it counts in decisions, in milliseconds, so that all instances know it.
const SETTLING_MS: u64 = 150;

/// The least and the largest share of answers under which endpoints end that is taken for usual.
const MIN_USUAL_SHARE: f64 = 0.03;
const MAX_USUAL_SHARE: f64 = 0.4;

/// The starts that the least share counts for before any are known.
const PRIOR_STARTS: f64 = 100.0;

/// The starts after which older ones count half.
const USUAL_STARTS: f64 = 1_000.0;

/// The length of a first block, in milliseconds. It doubles each time that a request after a block
/// crashes an endpoint again.
const FIRST_BLOCK_MS: u64 = 60_000;

const MAX_BLOCK_MS: u64 = 960_000;

/// The interval between the requests that try a part after its block, in milliseconds: long enough
/// to see what became of the endpoint.
const TRIAL_INTERVAL_MS: u64 = 2_000;

/// The shortest interval between two searches for parts to forget, in milliseconds.
const EXPIRY_INTERVAL_MS: u64 = 1_000;

/// The most parts that are remembered, and the most that are blocked.
const MAX_PARTS: usize = 8_192;
const MAX_BLOCKS: usize = 256;

/// The most crashes of one part that are remembered.
const MAX_CRASHES: usize = 16;

/// The most parts that an instance reports to others.
const MAX_REPORTED: usize = 64;

/// What instances know about one part, with times on the clock of the holder, in milliseconds.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PartHistory {
    /// Crashes of endpoints that had begun an answer just before, one for each event.
    pub crashes_ms: Vec<u64>,
    /// When an endpoint was last seen to live on after the start of an answer.
    pub survived_ms: Option<u64>,
}

impl PartHistory {
    /// Adds what another instance knows.
    pub fn merge(&mut self, other: &PartHistory) {
        for crash_ms in &other.crashes_ms {
            self.add_crash(*crash_ms);
        }
        self.survived_ms = self.survived_ms.max(other.survived_ms);
    }

    /// Adds a crash, unless it is of an event that is known.
    pub fn add_crash(&mut self, crash_ms: u64) {
        if self.crashes_ms.len() < MAX_CRASHES && !self.has_crash_near(crash_ms) {
            self.crashes_ms.push(crash_ms);
        }
    }

    /// Returns the crashes since the last survival.
    fn crashes_in_row(&self) -> usize {
        let survived_ms = self.survived_ms.unwrap_or_default();
        let later = self.crashes_ms.iter().filter(|ms| **ms > survived_ms);
        later.count()
    }

    /// Returns whether a crash at this time, in milliseconds, is of an event that is known.
    fn has_crash_near(&self, crash_ms: u64) -> bool {
        let mut crashes = self.crashes_ms.iter();
        crashes.any(|known_ms| known_ms.abs_diff(crash_ms) < EVENT_MS)
    }

    /// Forgets what is too old to count, and crashes before a survival.
    fn expire(&mut self, now_ms: u64) {
        let survived_ms = self.survived_ms.unwrap_or_default();
        self.crashes_ms
            .retain(|ms| *ms > survived_ms && now_ms < ms + CRASH_LIFETIME_MS);
        self.survived_ms
            .take_if(|ms| now_ms >= *ms + CRASH_LIFETIME_MS);
    }

    fn is_empty(&self) -> bool {
        self.crashes_ms.is_empty() && self.survived_ms.is_none()
    }
}

/// The block of a part. After it has ended, single requests try the part for as long again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PartBlock {
    /// When the block ends, in milliseconds.
    pub until_ms: u64,
    /// The length of the block, in milliseconds.
    pub length_ms: u64,
}

impl PartBlock {
    fn has_lapsed(&self, now_ms: u64) -> bool {
        now_ms >= self.until_ms + self.length_ms
    }

    /// Returns whether an endpoint survived the part since the block began.
    fn is_refuted(&self, history: Option<&PartHistory>) -> bool {
        let survived_ms = history.and_then(|history| history.survived_ms);
        let began_ms = self.until_ms.saturating_sub(self.length_ms);
        survived_ms.is_some_and(|survived_ms| survived_ms > began_ms)
    }
}

/// A part that an instance reports to others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReportedPart {
    /// Hash of the part.
    pub part: u64,
    /// What the instance saw itself.
    pub history: PartHistory,
    /// The block of the part, if it is blocked.
    pub block: Option<PartBlock>,
}

impl ReportedPart {
    /// Joins the reports on the same part, and leaves out those with the fewest crashes beyond the most
    /// that are reported.
    pub fn join(reports: impl IntoIterator<Item = ReportedPart>) -> Vec<ReportedPart> {
        let mut by_part: BTreeMap<u64, ReportedPart> = BTreeMap::new();
        for report in reports {
            let Some(known) = by_part.get_mut(&report.part) else {
                by_part.insert(report.part, report);
                continue;
            };
            known.history.merge(&report.history);
            let until_ms = |block: Option<PartBlock>| block.map(|block| block.until_ms);
            if until_ms(report.block) > until_ms(known.block) {
                known.block = report.block;
            }
        }
        let mut joined: Vec<ReportedPart> = by_part.into_values().collect();
        joined.sort_by_key(|report| {
            let crashes = report.history.crashes_in_row();
            Reverse((report.block.is_some(), crashes))
        });
        joined.truncate(MAX_REPORTED);
        joined
    }
}

/// Whether a request with a part may be sent to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admittance {
    /// It may.
    Admitted,
    /// It may not, for this many milliseconds at least.
    Blocked(u64),
}

/// The parts that crash endpoints, as one instance knows them.
///
/// # Examples
///
/// ```
/// use limits::{Admittance, PromptGuard};
///
/// let mut guard = PromptGuard::default();
/// for now_ms in [1_000, 2_000, 3_000] {
///     guard.record_crash(&[7], now_ms);
/// }
/// assert_eq!(guard.set_peers(&[], 3_200), [7]);
/// assert!(matches!(guard.admit(&[7], |_| true, 3_300), Admittance::Blocked(_)));
/// assert_eq!(guard.admit(&[8], |_| true, 3_300), Admittance::Admitted);
/// ```
#[derive(Debug, Default)]
pub struct PromptGuard {
    own: HashMap<u64, PartHistory>,
    /// The parts with crashes at this instance.
    suspects: HashSet<u64>,
    peers: HashMap<u64, PartHistory>,
    blocks: HashMap<u64, PartBlock>,
    /// When a part that was blocked was last tried, in milliseconds.
    tried_ms: HashMap<u64, u64>,
    /// Starts of answers of which the outcome is known, the latest counting most.
    starts: f64,
    crashed_starts: f64,
    /// When old histories were last forgotten, in milliseconds.
    forgot_ms: u64,
}

impl PromptGuard {
    /// Records that an endpoint lived on after it had begun to answer a prompt with these parts.
    pub fn record_survival(&mut self, parts: &[u64], now_ms: u64) {
        self.count_start(false);
        for part in parts {
            if let Some(history) = self.history(*part, now_ms) {
                history.survived_ms = Some(now_ms);
                history.crashes_ms.clear();
            }
            self.blocks.remove(part);
        }
    }

    /// Records that an endpoint ended just after it had begun to answer a prompt with these parts.
    ///
    /// If one of them is known to crash endpoints, the others are not held responsible.
    pub fn record_crash(&mut self, parts: &[u64], now_ms: u64) {
        self.count_start(true);
        let known = parts.iter().find(|part| self.blocks.contains_key(part));
        if let Some(part) = known.copied() {
            self.block_again(part, now_ms);
            return;
        }
        for part in parts {
            if let Some(history) = self.history(*part, now_ms) {
                history.add_crash(now_ms);
                self.suspects.insert(*part);
            }
        }
    }

    /// Takes back a crash: the endpoint that seemed to have ended lives.
    pub fn retract_crash(&mut self, parts: &[u64], now_ms: u64) {
        self.crashed_starts = (self.crashed_starts - 1.0).max(0.0);
        self.record_survival(parts, now_ms);
    }

    /// Replaces what the other instances know, and decides which parts are blocked. Returns those that
    /// were not blocked before.
    pub fn set_peers(&mut self, reports: &[ReportedPart], now_ms: u64) -> Vec<u64> {
        self.drop_cleared_suspects(now_ms);
        self.peers.clear();
        for report in reports {
            let known = self.peers.entry(report.part).or_default();
            known.merge(&report.history);
        }
        for report in reports {
            if let Some(block) = report.block {
                self.adopt_block(report.part, block, now_ms);
            }
        }
        let peers = &self.peers;
        self.blocks
            .retain(|part, block| !block.has_lapsed(now_ms) && !block.is_refuted(peers.get(part)));
        let blocks = &self.blocks;
        self.tried_ms.retain(|part, _| blocks.contains_key(part));
        let mut blocked = self.all_suspects();
        blocked.retain(|part| self.decide(*part, now_ms));
        blocked
    }

    /// Returns whether a request with these parts may be sent. After a block only the instance tries
    /// a part that `is_first` among all for it.
    pub fn admit(
        &mut self,
        parts: &[u64],
        is_first: impl Fn(u64) -> bool,
        now_ms: u64,
    ) -> Admittance {
        for part in parts {
            let Some(block) = self.blocks.get(part).copied() else {
                continue;
            };
            if block.has_lapsed(now_ms) {
                continue;
            }
            if now_ms < block.until_ms {
                return Admittance::Blocked(block.until_ms - now_ms);
            }
            let tried_ms = self.tried_ms.get(part).copied().unwrap_or_default();
            if !is_first(*part) || now_ms < tried_ms + TRIAL_INTERVAL_MS {
                return Admittance::Blocked(TRIAL_INTERVAL_MS);
            }
            self.tried_ms.insert(*part, now_ms);
        }
        Admittance::Admitted
    }

    /// Returns whether one of these parts may be what crashes endpoints: several did in a row under it.
    pub fn is_suspect(&self, parts: &[u64], now_ms: u64) -> bool {
        parts
            .iter()
            .any(|part| self.known_history(*part, now_ms).crashes_in_row() >= SUSPECT_CRASHES)
    }

    /// Returns the parts to report to other instances: those that are blocked or had crashes here, and
    /// the survivals of those that had crashes elsewhere.
    pub fn reported(&mut self, now_ms: u64) -> Vec<ReportedPart> {
        let mut parts: Vec<u64> = self.blocks.keys().copied().collect();
        let blocked_count = parts.len();
        let mut suspects = self.all_suspects();
        suspects.retain(|part| self.own.contains_key(part) && !self.blocks.contains_key(part));
        suspects.sort_by_key(|part| Reverse(self.known_history(*part, now_ms).crashes_in_row()));
        parts.extend(suspects);
        parts.truncate(blocked_count.max(MAX_REPORTED));
        let report = |part: u64| ReportedPart {
            part,
            history: self.own.get(&part).cloned().unwrap_or_default(),
            block: self.blocks.get(&part).copied(),
        };
        parts.into_iter().map(report).collect()
    }

    /// Returns the number of blocked parts.
    pub fn blocked_count(&self) -> usize {
        self.blocks.len()
    }

    /// Returns the parts with crashes at any instance.
    fn all_suspects(&self) -> Vec<u64> {
        let has_crashes = |history: &PartHistory| !history.crashes_ms.is_empty();
        let of_peers = self
            .peers
            .iter()
            .filter(|(_, history)| has_crashes(history));
        let mut parts: Vec<u64> = self.suspects.iter().copied().collect();
        parts.extend(of_peers.map(|(part, _)| *part));
        parts.sort_unstable();
        parts.dedup();
        parts
    }

    fn drop_cleared_suspects(&mut self, now_ms: u64) {
        let own = &mut self.own;
        self.suspects.retain(|part| {
            let history = own.get_mut(part);
            history.is_some_and(|history| {
                history.expire(now_ms);
                !history.crashes_ms.is_empty()
            })
        });
    }

    fn count_start(&mut self, crashed: bool) {
        self.starts += 1.0;
        self.crashed_starts += f64::from(u8::from(crashed));
        if self.starts > USUAL_STARTS {
            self.starts /= 2.0;
            self.crashed_starts /= 2.0;
        }
    }

    /// Returns the crashes in a row that are too many to be by chance.
    fn crashes_to_block(&self) -> usize {
        let crashed = self.crashed_starts + MIN_USUAL_SHARE * PRIOR_STARTS;
        let share = crashed / (self.starts + PRIOR_STARTS);
        let usual = share.clamp(MIN_USUAL_SHARE, MAX_USUAL_SHARE);
        let needed = (BLOCK_NATS / -usual.ln()).ceil() as usize;
        needed.max(MIN_CRASHES)
    }

    /// Returns the history of a part, or `None` if too many others are remembered.
    fn history(&mut self, part: u64, now_ms: u64) -> Option<&mut PartHistory> {
        if self.own.len() >= MAX_PARTS && !self.own.contains_key(&part) {
            self.forget_old(now_ms);
            if self.own.len() >= MAX_PARTS {
                return None;
            }
        }
        Some(self.own.entry(part).or_default())
    }

    fn forget_old(&mut self, now_ms: u64) {
        if now_ms < self.forgot_ms + EXPIRY_INTERVAL_MS {
            return;
        }
        self.forgot_ms = now_ms;
        self.own.retain(|_, history| {
            history.expire(now_ms);
            !history.is_empty()
        });
    }

    /// Returns what this instance and its peers saw of a part.
    fn known_history(&self, part: u64, now_ms: u64) -> PartHistory {
        let mut history = self.own.get(&part).cloned().unwrap_or_default();
        if let Some(peers) = self.peers.get(&part) {
            history.merge(peers);
        }
        history.expire(now_ms);
        history
    }

    /// Blocks a part if its crashes are too many to be by chance, and returns whether it did.
    fn decide(&mut self, part: u64, now_ms: u64) -> bool {
        if self.blocks.contains_key(&part) || self.blocks.len() >= MAX_BLOCKS {
            return false;
        }
        let crashes = self.unexplained_crashes(part, now_ms);
        let needed = self.crashes_to_block();
        if crashes.len() < needed {
            return false;
        }
        let is_alone = !self.has_rival(part, &crashes, now_ms);
        let is_blocked = is_alone || crashes.len() >= needed + TIED_CRASHES;
        if is_blocked {
            self.block(part, FIRST_BLOCK_MS, now_ms);
        }
        is_blocked
    }

    /// Returns whether another part was running at each of these crashes, so that it may as well be
    /// their cause.
    fn has_rival(&self, part: u64, crashes_ms: &[u64], now_ms: u64) -> bool {
        let mut others = self.all_suspects().into_iter();
        others.any(|other| {
            let history = self.known_history(other, now_ms);
            other != part && crashes_ms.iter().all(|ms| history.has_crash_near(*ms))
        })
    }

    /// Returns the crashes in a row under a part that no blocked part explains, without those that
    /// other instances may not have reported yet.
    fn unexplained_crashes(&self, part: u64, now_ms: u64) -> Vec<u64> {
        let mut crashes_ms = self.known_history(part, now_ms).crashes_ms;
        crashes_ms.retain(|ms| now_ms >= ms + SETTLING_MS);
        for blocked in self.blocks.keys() {
            let explains = self.known_history(*blocked, now_ms);
            crashes_ms.retain(|ms| *blocked == part || !explains.has_crash_near(*ms));
        }
        crashes_ms
    }

    fn block(&mut self, part: u64, length_ms: u64, now_ms: u64) {
        let until_ms = now_ms + length_ms;
        let block = PartBlock {
            until_ms,
            length_ms,
        };
        self.blocks.insert(part, block);
    }

    /// Blocks a part for longer if a request that tried it crashed an endpoint.
    fn block_again(&mut self, part: u64, now_ms: u64) {
        let Some(block) = self.blocks.get(&part).copied() else {
            return;
        };
        if now_ms >= block.until_ms {
            self.block(part, (block.length_ms * 2).min(MAX_BLOCK_MS), now_ms);
        }
    }

    /// Takes over a block of another instance if it lasts longer than the one known.
    fn adopt_block(&mut self, part: u64, block: PartBlock, now_ms: u64) {
        let known = self.blocks.get(&part);
        let histories = [self.own.get(&part), self.peers.get(&part)];
        if histories.iter().any(|history| block.is_refuted(*history)) {
            return;
        }
        let is_later = known.is_none_or(|known| block.until_ms > known.until_ms + EVENT_MS);
        let has_room = known.is_some() || self.blocks.len() < MAX_BLOCKS;
        if is_later && has_room && now_ms < block.until_ms {
            self.blocks.insert(part, block);
        }
    }
}
