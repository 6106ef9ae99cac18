//! Learns which requests and prompt parts crash endpoints, and refuses requests with them for a while.
//!
//! A request that crashes every endpoint that begins it has crashes and never a survival, and so has a
//! prompt part that does. Any other, however often it runs when an endpoint ends, survives in between.
//! So a subject is blocked for crashes in a row, over all instances, without a survival.
//!
//! The narrowest subject that explains the crashes is blocked, which shuts out nobody else: a request
//! before the parts of its prompt. A part is held responsible once several requests with it crashed
//! endpoints.

use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap};

use crate::crash_history::{Crash, CrashBlock, CrashHistory, CrashReport, Subject, keep_most};
use crate::recent_times::RecentTimes;

/// The fewest crashes in a row for which a subject is blocked.
const MIN_CRASHES: usize = 3;

/// The crashes beyond those for a request of which some repetition survived lately. Many callers send
/// such a request, so that it often runs beside others that crash endpoints.
const SURVIVOR_CRASHES: usize = 2;

/// The crashes in a row after which a request is not repeated if an endpoint ended under it.
const SUSPECT_CRASHES: usize = 2;

/// The crashes beyond those needed after which a part is blocked even if another one has as many.
const TIED_CRASHES: usize = 2;

/// The evidence at which a part is blocked, in nats: the crashes would be this unlikely if endpoints
/// ended as often as they do under any other part.
const BLOCK_NATS: f64 = 7.0;

/// How long after a crash it counts in decisions, in milliseconds, so that all instances know it.
const SETTLING_MS: u64 = 150;

/// How long after a crash the decision on it may take, in milliseconds.
const DECISION_MS: u64 = 400;

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

/// The length of the block of several subjects of which any may have caused the crashes, in
/// milliseconds: those without fault are tried again soon.
const TIED_BLOCK_MS: u64 = 5_000;

const MAX_BLOCK_MS: u64 = 960_000;

/// The interval between the requests that try a subject after its block, in milliseconds: long enough
/// to see what became of the endpoint.
const TRIAL_INTERVAL_MS: u64 = 2_000;

/// The difference by which a block must last longer to replace one that is known, in milliseconds.
/// Instances that block a subject together do so at slightly different times.
const BLOCK_TOLERANCE_MS: u64 = 120;

/// The shortest interval between two searches for subjects to forget, in milliseconds.
const EXPIRY_INTERVAL_MS: u64 = 1_000;

/// The most subjects with crashes that are remembered, and the most that are blocked of each kind.
const MAX_SUBJECTS: usize = 2_048;
const MAX_BLOCKS: usize = 256;

/// Whether a request may be sent to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admittance {
    /// It may.
    Admitted,
    /// It may not, for this many milliseconds at least.
    Blocked(u64),
}

/// The requests and prompt parts that crash endpoints, as one instance knows them.
///
/// # Examples
///
/// ```
/// use limits::{Admittance, Crash, CrashGuard, Subject};
///
/// let bad = Subject::Request(7);
/// let mut guard = CrashGuard::default();
/// for number in 1..=3 {
///     guard.record_crash(&[bad], Crash { endpoint: number, at_ms: 1_000 * number });
/// }
/// assert_eq!(guard.set_peers(&[], 3_200), [bad]);
/// assert!(matches!(guard.admit(&[bad], |_| true, 3_300), Admittance::Blocked(_)));
/// assert_eq!(guard.admit(&[Subject::Request(8)], |_| true, 3_300), Admittance::Admitted);
/// ```
#[derive(Debug, Default)]
pub struct CrashGuard {
    /// The subjects with crashes at this instance.
    own: HashMap<Subject, CrashHistory>,
    /// When endpoints were last seen to live on, also with subjects that have no crashes.
    survivals: RecentTimes<Subject>,
    peers: HashMap<Subject, CrashHistory>,
    blocks: HashMap<Subject, CrashBlock>,
    /// When a subject that was blocked was last tried, in milliseconds.
    tried_ms: HashMap<Subject, u64>,
    /// Starts of answers of which the outcome is known, the latest counting most.
    starts: f64,
    crashed_starts: f64,
    /// When old histories were last forgotten, in milliseconds.
    forgot_ms: u64,
}

impl CrashGuard {
    /// Records that an endpoint lived on after it had begun a request with these subjects.
    pub fn record_survival(&mut self, subjects: &[Subject], now_ms: u64) {
        self.count_start(subjects, false);
        for subject in subjects {
            self.survivals.insert(*subject, now_ms);
            self.own.remove(subject);
            self.blocks.remove(subject);
        }
    }

    /// Records that an endpoint ended just after it had begun a request with these subjects, or while
    /// the request waited for its answer.
    ///
    /// If one of them is known to crash endpoints, the others are not held responsible.
    pub fn record_crash(&mut self, subjects: &[Subject], crash: Crash) {
        self.count_start(subjects, true);
        self.restore_crash(subjects, crash);
    }

    /// Leaves out the crash of an endpoint, by the hash of its run, that is not certain. Blocks stay.
    pub fn excuse_crash(&mut self, subjects: &[Subject], endpoint: u64) {
        for subject in subjects {
            if let Some(history) = self.own.get_mut(subject) {
                history.remove_crash(endpoint);
            }
        }
    }

    /// Counts a crash again that was left out.
    pub fn restore_crash(&mut self, subjects: &[Subject], crash: Crash) {
        let mut known = subjects.iter().copied();
        if let Some(part) = known.find(|subject| !subject.is_request() && self.is_blocked(subject))
        {
            self.block_again(part, crash.at_ms);
            return;
        }
        for subject in subjects {
            if self.is_blocked(subject) {
                self.block_again(*subject, crash.at_ms);
            }
            if let Some(history) = self.history(*subject, crash.at_ms) {
                history.add_crash(crash);
            }
        }
    }

    /// Takes back a crash: the endpoint that seemed to have ended lives.
    pub fn retract_crash(&mut self, subjects: &[Subject], now_ms: u64) {
        self.crashed_starts = (self.crashed_starts - 1.0).max(0.0);
        self.record_survival(subjects, now_ms);
    }

    /// Takes back the crash of an endpoint that lives and may not have begun the request.
    ///
    /// That says nothing of the parts of its prompt, which the endpoint may not have reached.
    pub fn retract_pending_crash(&mut self, subjects: &[Subject], endpoint: u64, now_ms: u64) {
        self.crashed_starts = (self.crashed_starts - 1.0).max(0.0);
        for subject in subjects {
            if subject.is_request() {
                self.record_survival(&[*subject], now_ms);
                continue;
            }
            self.excuse_crash(&[*subject], endpoint);
        }
    }

    /// Replaces what the other instances know, and decides which subjects are blocked. Returns those
    /// that were not blocked before.
    pub fn set_peers(&mut self, reports: &[CrashReport], now_ms: u64) -> Vec<Subject> {
        self.forget_old(now_ms);
        self.peers.clear();
        for report in reports {
            let subject = report.history.subject();
            let known = self.peers.entry(subject);
            known
                .or_insert_with(|| CrashHistory::new(subject))
                .merge(&report.history);
        }
        for report in reports {
            if let Some(block) = report.block {
                self.adopt_block(report.history.subject(), block, now_ms);
            }
        }
        let peers = &self.peers;
        self.blocks.retain(|subject, block| {
            let survived_ms = peers.get(subject).and_then(CrashHistory::survived_ms);
            !block.has_lapsed(now_ms) && !block.is_refuted(survived_ms)
        });
        let blocks = &self.blocks;
        self.tried_ms
            .retain(|subject, _| blocks.contains_key(subject));
        self.decide(now_ms)
    }

    /// Returns whether a request with these subjects may be sent. After a block only the instance
    /// tries a subject that `is_first` among all for it.
    pub fn admit(
        &mut self,
        subjects: &[Subject],
        is_first: impl Fn(Subject) -> bool,
        now_ms: u64,
    ) -> Admittance {
        for subject in subjects {
            let Some(block) = self.blocks.get(subject).copied() else {
                if subject.is_request() && self.is_about_to_be_blocked(*subject, now_ms) {
                    return Admittance::Blocked(DECISION_MS);
                }
                continue;
            };
            if block.has_lapsed(now_ms) {
                continue;
            }
            if now_ms < block.until_ms {
                return Admittance::Blocked(block.until_ms - now_ms);
            }
            let tried_ms = self.tried_ms.get(subject).copied().unwrap_or_default();
            if !is_first(*subject) || now_ms < tried_ms + TRIAL_INTERVAL_MS {
                return Admittance::Blocked(TRIAL_INTERVAL_MS);
            }
            self.tried_ms.insert(*subject, now_ms);
        }
        Admittance::Admitted
    }

    /// Returns whether one of these subjects may be what crashes endpoints: several did in a row under
    /// it.
    pub fn is_suspect(&self, subjects: &[Subject], now_ms: u64) -> bool {
        subjects
            .iter()
            .any(|subject| self.known_history(*subject, now_ms).crashes_in_row() >= SUSPECT_CRASHES)
    }

    /// Returns the subjects to report to other instances: those that are blocked or had crashes here,
    /// and the survivals of those that had crashes elsewhere.
    pub fn reported(&mut self, now_ms: u64) -> Vec<CrashReport> {
        let mut subjects: Vec<Subject> = self.blocks.keys().copied().collect();
        let mut suspects = self.all_suspects();
        suspects.retain(|subject| {
            let is_known = self.own.contains_key(subject) || self.survivals.get(subject).is_some();
            is_known && !self.is_blocked(subject)
        });
        suspects.sort_by_key(|subject| {
            let history = self.known_history(*subject, now_ms);
            let latest = history.crashes().iter().map(|crash| crash.at_ms).max();
            Reverse((history.crashes_in_row(), latest))
        });
        subjects.extend(suspects);
        keep_most(&mut subjects, |subject| *subject);
        let report = |subject: Subject| CrashReport {
            history: self.own_history(subject),
            block: self.blocks.get(&subject).copied(),
        };
        subjects.into_iter().map(report).collect()
    }

    /// Returns the number of blocked requests.
    pub fn blocked_requests(&self) -> usize {
        self.blocks_of_kind(true)
    }

    /// Returns the number of blocked prompt parts.
    pub fn blocked_parts(&self) -> usize {
        self.blocks_of_kind(false)
    }

    fn blocks_of_kind(&self, of_requests: bool) -> usize {
        let subjects = self.blocks.keys();
        subjects
            .filter(|subject| subject.is_request() == of_requests)
            .count()
    }

    fn is_blocked(&self, subject: &Subject) -> bool {
        self.blocks.contains_key(subject)
    }

    /// Returns the subjects with crashes at any instance, requests first.
    fn all_suspects(&self) -> Vec<Subject> {
        let has_crashes = |history: &&CrashHistory| !history.crashes().is_empty();
        let of_peers = self.peers.values().filter(has_crashes);
        let of_any = self.own.keys().copied();
        let suspects: BTreeSet<Subject> =
            of_any.chain(of_peers.map(CrashHistory::subject)).collect();
        suspects.into_iter().collect()
    }

    /// Counts the start of an answer to a prompt that shares parts.
    fn count_start(&mut self, subjects: &[Subject], crashed: bool) {
        if subjects.iter().all(|subject| subject.is_request()) {
            return;
        }
        self.starts += 1.0;
        self.crashed_starts += f64::from(u8::from(crashed));
        if self.starts > USUAL_STARTS {
            self.starts /= 2.0;
            self.crashed_starts /= 2.0;
        }
    }

    /// Returns the crashes in a row that are too many to be by chance.
    fn crashes_to_block(&self, history: &CrashHistory) -> usize {
        if history.subject().is_request() {
            let survived = history.survived_ms().is_some();
            return MIN_CRASHES + if survived { SURVIVOR_CRASHES } else { 0 };
        }
        let crashed = self.crashed_starts + MIN_USUAL_SHARE * PRIOR_STARTS;
        let share = crashed / (self.starts + PRIOR_STARTS);
        let usual = share.clamp(MIN_USUAL_SHARE, MAX_USUAL_SHARE);
        let needed = (BLOCK_NATS / -usual.ln()).ceil() as usize;
        needed.max(MIN_CRASHES)
    }

    /// Returns the history of a subject with crashes, or `None` if too many others are remembered.
    fn history(&mut self, subject: Subject, now_ms: u64) -> Option<&mut CrashHistory> {
        if self.own.len() >= MAX_SUBJECTS && !self.own.contains_key(&subject) {
            self.forget_old(now_ms);
            if self.own.len() >= MAX_SUBJECTS {
                return None;
            }
        }
        let history = self.own.entry(subject);
        Some(history.or_insert_with(|| CrashHistory::new(subject)))
    }

    fn forget_old(&mut self, now_ms: u64) {
        if now_ms < self.forgot_ms + EXPIRY_INTERVAL_MS {
            return;
        }
        self.forgot_ms = now_ms;
        self.own.retain(|_, history| {
            history.expire(now_ms);
            !history.crashes().is_empty()
        });
    }

    /// Returns what this instance saw of a subject.
    fn own_history(&self, subject: Subject) -> CrashHistory {
        let own = self.own.get(&subject).cloned();
        let mut history = own.unwrap_or_else(|| CrashHistory::new(subject));
        history.add_survival(self.survivals.get(&subject));
        history
    }

    /// Returns what this instance and its peers saw of a subject.
    fn known_history(&self, subject: Subject, now_ms: u64) -> CrashHistory {
        let mut history = self.own_history(subject);
        if let Some(peers) = self.peers.get(&subject) {
            history.merge(peers);
        }
        history.expire(now_ms);
        history
    }

    /// Returns whether a subject has crashes enough to be blocked, on which is not decided yet.
    fn is_about_to_be_blocked(&self, subject: Subject, now_ms: u64) -> bool {
        if !self.own.contains_key(&subject) && !self.peers.contains_key(&subject) {
            return false;
        }
        let history = self.known_history(subject, now_ms);
        history.crashes_in_row() >= self.crashes_to_block(&history)
            && history
                .crashes()
                .iter()
                .any(|crash| now_ms < crash.at_ms + DECISION_MS)
    }

    /// Blocks the subjects whose crashes are too many to be by chance, and returns them.
    fn decide(&mut self, now_ms: u64) -> Vec<Subject> {
        let suspects = self.all_suspects().into_iter();
        let (requests, parts): (Vec<Subject>, Vec<Subject>) =
            suspects.partition(|subject| subject.is_request());
        let mut blocked = Vec::new();
        for kind in [requests, parts] {
            // Those with the same crashes are blocked together, as one would explain those of the other.
            let mut due = Vec::new();
            for subject in &kind {
                if let Some(length_ms) = self.due_block_ms(*subject, &kind, now_ms) {
                    due.push((*subject, length_ms));
                }
            }
            for (subject, length_ms) in due {
                if self.block_new(subject, length_ms, now_ms) {
                    blocked.push(subject);
                }
            }
        }
        blocked
    }

    /// Returns the length of the block that one of the suspects of a kind is due, in milliseconds, if it
    /// is due one.
    fn due_block_ms(&self, subject: Subject, suspects: &[Subject], now_ms: u64) -> Option<u64> {
        if self.is_blocked(&subject) {
            return None;
        }
        let history = self.known_history(subject, now_ms);
        let needed = self.crashes_to_block(&history);
        if history.crashes().len() < needed {
            return None;
        }
        let crashes = self.unexplained_crashes(&history, now_ms);
        if crashes.len() < needed {
            return None;
        }
        let mut others = suspects.iter().filter(|other| **other != subject);
        let is_tied = others.any(|other| {
            let history = self.known_history(*other, now_ms);
            crashes.iter().all(|crash| history.has_event_of(*crash))
        });
        if !is_tied {
            return Some(FIRST_BLOCK_MS);
        }
        if subject.is_request() {
            return Some(TIED_BLOCK_MS);
        }
        (crashes.len() >= needed + TIED_CRASHES).then_some(TIED_BLOCK_MS)
    }

    /// Returns the crashes in a row under a subject that no blocked one explains, without those that
    /// other instances may not have reported yet.
    fn unexplained_crashes(&self, history: &CrashHistory, now_ms: u64) -> Vec<Crash> {
        let mut crashes = history.crashes().to_vec();
        crashes.retain(|crash| now_ms >= crash.at_ms + SETTLING_MS);
        for blocked in self.blocks.keys() {
            if *blocked == history.subject() {
                continue;
            }
            let explains = self.known_history(*blocked, now_ms);
            // The first crash under a request may be due to a part that others have as well.
            let mut spared = usize::from(blocked.is_request() && !history.subject().is_request());
            crashes.retain(|crash| {
                if !explains.has_event_of(*crash) {
                    return true;
                }
                let is_spared = spared > 0;
                spared = spared.saturating_sub(1);
                is_spared
            });
        }
        crashes
    }

    /// Blocks a subject unless too many are, and returns whether it did.
    fn block_new(&mut self, subject: Subject, length_ms: u64, now_ms: u64) -> bool {
        let has_room = self.blocks_of_kind(subject.is_request()) < MAX_BLOCKS;
        if has_room {
            self.block(subject, length_ms, now_ms);
        }
        has_room
    }

    fn block(&mut self, subject: Subject, length_ms: u64, now_ms: u64) {
        let until_ms = now_ms + length_ms;
        let block = CrashBlock {
            until_ms,
            length_ms,
        };
        self.blocks.insert(subject, block);
    }

    /// Blocks a subject for longer if a request that tried it crashed an endpoint.
    fn block_again(&mut self, subject: Subject, now_ms: u64) {
        let Some(block) = self.blocks.get(&subject).copied() else {
            return;
        };
        if now_ms >= block.until_ms {
            let length_ms = (block.length_ms * 2).clamp(FIRST_BLOCK_MS, MAX_BLOCK_MS);
            self.block(subject, length_ms, now_ms);
        }
    }

    /// Takes over a block of another instance if it lasts longer than the one known.
    fn adopt_block(&mut self, subject: Subject, block: CrashBlock, now_ms: u64) {
        let of_peers = self.peers.get(&subject);
        let survived_ms = of_peers.and_then(CrashHistory::survived_ms);
        if block.is_refuted(survived_ms.max(self.survivals.get(&subject))) {
            return;
        }
        let known = self.blocks.get(&subject);
        let is_later =
            known.is_none_or(|known| block.until_ms > known.until_ms + BLOCK_TOLERANCE_MS);
        let has_room = known.is_some() || self.blocks_of_kind(subject.is_request()) < MAX_BLOCKS;
        if is_later && has_room && now_ms < block.until_ms {
            self.blocks.insert(subject, block);
        }
    }
}
