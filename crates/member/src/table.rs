//! Membership table of one instance.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use kernel::Incarnation;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::member::{Member, Status};

/// Timeouts of the membership table.
#[derive(Debug, Clone, Copy)]
pub struct MemberTableSettings {
    /// Time for a suspect to refute before it is declared dead, in milliseconds.
    pub suspect_timeout_ms: u64,
    /// Time for which dead members are kept, so that late updates do not revive them, in
    /// milliseconds.
    pub dead_retention_ms: u64,
}

impl Default for MemberTableSettings {
    fn default() -> MemberTableSettings {
        MemberTableSettings {
            suspect_timeout_ms: 2_000,
            dead_retention_ms: 900_000,
        }
    }
}

/// A member with the time of its last change in this table.
#[derive(Debug, Clone)]
struct Entry {
    member: Member,
    changed_ms: u64,
}

/// An update that is still to be disseminated.
#[derive(Debug, Clone, Copy)]
struct PendingUpdate {
    incarnation: Incarnation,
    sends_left: u32,
}

/// How often each update is sent, per doubling of the number of members.
const SENDS_PER_DOUBLING: u32 = 3;

/// View that one instance holds of all members.
#[derive(Debug)]
pub struct MemberTable {
    local: Incarnation,
    settings: MemberTableSettings,
    entries: BTreeMap<Incarnation, Entry>,
    pending: VecDeque<PendingUpdate>,
}

impl MemberTable {
    /// Creates a table that contains only the local member.
    pub fn new(local: Member, settings: MemberTableSettings) -> MemberTable {
        let incarnation = local.incarnation;
        let mut entries = BTreeMap::new();
        entries.insert(
            incarnation,
            Entry {
                member: local,
                changed_ms: 0,
            },
        );
        let mut table = MemberTable {
            local: incarnation,
            settings,
            entries,
            pending: VecDeque::new(),
        };
        table.enqueue_update(incarnation);
        table
    }

    /// Returns the local member.
    pub fn local(&self) -> &Member {
        &self.entries[&self.local].member
    }

    /// Returns the members that are alive or suspect, the local one included.
    pub fn live(&self) -> Vec<&Member> {
        let members = self.entries.values().map(|entry| &entry.member);
        members
            .filter(|member| member.status != Status::Dead)
            .collect()
    }

    /// Returns a member, also if it is dead.
    pub fn get(&self, incarnation: Incarnation) -> Option<&Member> {
        self.entries.get(&incarnation).map(|entry| &entry.member)
    }

    /// Returns a hash of the live members with their versions and leaving flags, equal for
    /// equal tables, so that peers can compare theirs.
    pub fn digest(&self) -> u64 {
        let mut digest = 0;
        for member in self.live() {
            let state = member.version << 1 | u64::from(member.leaving);
            digest ^= xxh3_64_with_seed(&member.incarnation.as_u64().to_le_bytes(), state);
        }
        digest
    }

    /// Applies an update from a peer, and returns whether it changed the table.
    pub fn merge(&mut self, mut update: Member, now_ms: u64) -> bool {
        if update.incarnation == self.local {
            return self.refute(&update);
        }
        match self.entries.get(&update.incarnation) {
            Some(current) if !update.supersedes(&current.member) => return false,
            Some(current) => update.leaving |= current.member.leaving,
            None if update.status == Status::Dead => return false,
            None => {}
        }
        self.retire_older(&update, now_ms);
        let incarnation = update.incarnation;
        self.entries.insert(
            incarnation,
            Entry {
                member: update,
                changed_ms: now_ms,
            },
        );
        self.enqueue_update(incarnation);
        true
    }

    /// Records that a member missed a probe, which makes it suspect.
    pub fn record_missed_probe(&mut self, incarnation: Incarnation, now_ms: u64) {
        self.set_status(incarnation, Status::Suspect, now_ms);
    }

    /// Marks the local member as leaving.
    pub fn leave(&mut self) {
        if let Some(entry) = self.entries.get_mut(&self.local) {
            entry.member.leaving = true;
            entry.member.version += 1;
        }
        self.enqueue_update(self.local);
    }

    /// Sets whether the store does not answer the local member's calls.
    pub fn set_lost_store(&mut self, lost_store: bool) {
        if let Some(entry) = self.entries.get_mut(&self.local) {
            entry.member.lost_store = lost_store;
            entry.member.version += 1;
        }
        self.enqueue_update(self.local);
    }

    /// Declares suspects dead after the timeout, and removes dead members after the retention time.
    pub fn tick(&mut self, now_ms: u64) {
        let settings = self.settings;
        let overdue = |entry: &&Entry| {
            entry.member.status == Status::Suspect
                && now_ms >= entry.changed_ms + settings.suspect_timeout_ms
        };
        let overdue: Vec<Incarnation> = self
            .entries
            .values()
            .filter(overdue)
            .map(|entry| entry.member.incarnation)
            .collect();
        for incarnation in overdue {
            self.set_status(incarnation, Status::Dead, now_ms);
        }
        self.entries.retain(|_, entry| {
            entry.member.status != Status::Dead
                || now_ms < entry.changed_ms + settings.dead_retention_ms
        });
    }

    /// Returns up to `count` random live peers to probe.
    pub fn probe_targets(&self, count: usize, random: &mut fastrand::Rng) -> Vec<Member> {
        let mut peers: Vec<&Member> = self
            .live()
            .into_iter()
            .filter(|member| member.incarnation != self.local)
            .collect();
        random.shuffle(&mut peers);
        peers.into_iter().take(count).cloned().collect()
    }

    /// Returns the members that are held for dead and may be running: they neither left nor were replaced
    /// at their address.
    pub fn lost(&self) -> Vec<&Member> {
        let lost = self.lost_since().into_iter();
        lost.map(|(member, _)| member).collect()
    }

    /// Returns the members of [`MemberTable::lost`], with the times from which they are held for dead, in
    /// milliseconds.
    pub fn lost_since(&self) -> Vec<(&Member, u64)> {
        let live = self.live();
        let taken: BTreeSet<&str> = live.iter().map(|member| &*member.peer_addr).collect();
        let mut lost = Vec::new();
        for entry in self.entries.values() {
            let member = &entry.member;
            let may_run = member.status == Status::Dead && !member.leaving;
            if may_run && !member.peer_addr.is_empty() && !taken.contains(&*member.peer_addr) {
                lost.push((member, entry.changed_ms));
            }
        }
        lost
    }

    /// Returns up to `count` updates for one message: the local member first, then the latest.
    ///
    /// Each update counts as sent and is dropped after its last send.
    pub fn take_updates(&mut self, count: usize) -> Vec<Member> {
        let mut updates = vec![self.local().clone()];
        let mut kept = VecDeque::new();
        while let Some(mut update) = self.pending.pop_front() {
            let Some(entry) = self.entries.get(&update.incarnation) else {
                continue;
            };
            if updates.len() >= count {
                kept.push_back(update);
                continue;
            }
            if update.incarnation != self.local {
                updates.push(entry.member.clone());
            }
            update.sends_left -= 1;
            if update.sends_left > 0 {
                kept.push_back(update);
            }
        }
        self.pending = kept;
        updates
    }

    /// Returns all live members, for a peer that joins or whose digest differs.
    pub fn snapshot(&self) -> Vec<Member> {
        self.live().into_iter().cloned().collect()
    }

    fn set_status(&mut self, incarnation: Incarnation, status: Status, now_ms: u64) {
        let Some(entry) = self.entries.get_mut(&incarnation) else {
            return;
        };
        if incarnation == self.local || entry.member.status >= status {
            return;
        }
        entry.member.status = status;
        entry.changed_ms = now_ms;
        self.enqueue_update(incarnation);
    }

    /// Refutes a suspicion of the local member with a higher version.
    fn refute(&mut self, update: &Member) -> bool {
        let Some(entry) = self.entries.get_mut(&self.local) else {
            return false;
        };
        if update.status == Status::Alive || update.version < entry.member.version {
            return false;
        }
        entry.member.version = update.version + 1;
        self.enqueue_update(self.local);
        true
    }

    /// Declares earlier incarnations at the same peer address dead.
    fn retire_older(&mut self, update: &Member, now_ms: u64) {
        let same_address = |entry: &&Entry| {
            let current = &entry.member;
            current.peer_addr == update.peer_addr
                && !current.peer_addr.is_empty()
                && current.incarnation != update.incarnation
        };
        let older =
            |entry: &&Entry| same_address(entry) && entry.member.started_ms < update.started_ms;
        let older: Vec<Incarnation> = self
            .entries
            .values()
            .filter(older)
            .map(|entry| entry.member.incarnation)
            .collect();
        for incarnation in older {
            self.set_status(incarnation, Status::Dead, now_ms);
        }
    }

    fn enqueue_update(&mut self, incarnation: Incarnation) {
        let doublings = usize::BITS - self.entries.len().leading_zeros();
        self.pending
            .retain(|update| update.incarnation != incarnation);
        self.pending.push_front(PendingUpdate {
            incarnation,
            sends_left: SENDS_PER_DOUBLING * doublings.max(1),
        });
    }
}
