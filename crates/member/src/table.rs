//! The table of members.

use std::collections::{BTreeMap, VecDeque};

use kernel::Incarnation;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::member::{Member, Status};

/// Times of the table.
#[derive(Debug, Clone, Copy)]
pub struct MemberTableSettings {
    /// How long a suspect has to refute, in milliseconds.
    pub suspect_timeout_ms: u64,
    /// How long the dead are remembered, in milliseconds.
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

/// A member with the time of its last change.
#[derive(Debug, Clone)]
struct Entry {
    member: Member,
    since_ms: u64,
}

/// News that is still to be passed on.
#[derive(Debug, Clone, Copy)]
struct Rumor {
    about: Incarnation,
    sends_left: u32,
}

/// How often news is passed on, per doubling of the members.
const SENDS_PER_DOUBLING: u32 = 3;

/// What one instance knows of all.
#[derive(Debug)]
pub struct MemberTable {
    me: Incarnation,
    settings: MemberTableSettings,
    entries: BTreeMap<Incarnation, Entry>,
    rumors: VecDeque<Rumor>,
}

impl MemberTable {
    /// Starts with oneself.
    pub fn new(me: Member, settings: MemberTableSettings) -> MemberTable {
        let incarnation = me.incarnation;
        let mut entries = BTreeMap::new();
        entries.insert(
            incarnation,
            Entry {
                member: me,
                since_ms: 0,
            },
        );
        let mut table = MemberTable {
            me: incarnation,
            settings,
            entries,
            rumors: VecDeque::new(),
        };
        table.spread_news(incarnation);
        table
    }

    /// Returns oneself.
    pub fn local(&self) -> &Member {
        &self.entries[&self.me].member
    }

    /// Returns the members that are not dead.
    pub fn live(&self) -> Vec<&Member> {
        let members = self.entries.values().map(|entry| &entry.member);
        members
            .filter(|member| member.status != Status::Dead)
            .collect()
    }

    /// Finds a member, dead ones included.
    pub fn get(&self, incarnation: Incarnation) -> Option<&Member> {
        self.entries.get(&incarnation).map(|entry| &entry.member)
    }

    /// Returns a hash of the live table, equal for equal tables.
    pub fn digest(&self) -> u64 {
        let mut digest = 0;
        for member in self.live() {
            let state = member.version << 1 | u64::from(member.leaving);
            digest ^= xxh3_64_with_seed(&member.incarnation.as_u64().to_le_bytes(), state);
        }
        digest
    }

    /// Takes in what a peer says of a member, and returns whether it was news.
    pub fn merge(&mut self, mut update: Member, now_ms: u64) -> bool {
        if update.incarnation == self.me {
            return self.refute(&update);
        }
        match self.entries.get(&update.incarnation) {
            Some(held) if !update.supersedes(&held.member) => return false,
            Some(held) => update.leaving |= held.member.leaving,
            None if update.status == Status::Dead => return false,
            None => {}
        }
        self.replace_older(&update, now_ms);
        let incarnation = update.incarnation;
        self.entries.insert(
            incarnation,
            Entry {
                member: update,
                since_ms: now_ms,
            },
        );
        self.spread_news(incarnation);
        true
    }

    /// Notes that a member missed a probe.
    pub fn record_missed_probe(&mut self, incarnation: Incarnation, now_ms: u64) {
        self.set_status(incarnation, Status::Suspect, now_ms);
    }

    /// Starts to leave.
    pub fn leave(&mut self) {
        if let Some(entry) = self.entries.get_mut(&self.me) {
            entry.member.leaving = true;
            entry.member.version += 1;
        }
        self.spread_news(self.me);
    }

    /// Declares the suspects that did not refute in time dead, and forgets the long dead.
    pub fn tick(&mut self, now_ms: u64) {
        let settings = self.settings;
        let overdue = |entry: &&Entry| {
            entry.member.status == Status::Suspect
                && now_ms >= entry.since_ms + settings.suspect_timeout_ms
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
                || now_ms < entry.since_ms + settings.dead_retention_ms
        });
    }

    /// Chooses peers to probe.
    pub fn probe_targets(&self, count: usize, random: &mut fastrand::Rng) -> Vec<Member> {
        let mut peers: Vec<&Member> = self
            .live()
            .into_iter()
            .filter(|member| member.incarnation != self.me)
            .collect();
        random.shuffle(&mut peers);
        peers.into_iter().take(count).cloned().collect()
    }

    /// Takes the news to pass on with one message: oneself first, then the latest.
    pub fn take_updates(&mut self, count: usize) -> Vec<Member> {
        let mut news = vec![self.local().clone()];
        let mut kept = VecDeque::new();
        while let Some(mut rumor) = self.rumors.pop_front() {
            let Some(entry) = self.entries.get(&rumor.about) else {
                continue;
            };
            if news.len() >= count {
                kept.push_back(rumor);
                continue;
            }
            if rumor.about != self.me {
                news.push(entry.member.clone());
            }
            rumor.sends_left -= 1;
            if rumor.sends_left > 0 {
                kept.push_back(rumor);
            }
        }
        self.rumors = kept;
        news
    }

    /// Returns every member, for a peer that joins or whose table differs.
    pub fn snapshot(&self) -> Vec<Member> {
        self.live().into_iter().cloned().collect()
    }

    fn set_status(&mut self, incarnation: Incarnation, status: Status, now_ms: u64) {
        let Some(entry) = self.entries.get_mut(&incarnation) else {
            return;
        };
        if incarnation == self.me || entry.member.status >= status {
            return;
        }
        entry.member.status = status;
        entry.since_ms = now_ms;
        self.spread_news(incarnation);
    }

    /// Answers a suspicion of oneself with a higher version.
    fn refute(&mut self, update: &Member) -> bool {
        let Some(entry) = self.entries.get_mut(&self.me) else {
            return false;
        };
        if update.status == Status::Alive || update.version < entry.member.version {
            return false;
        }
        entry.member.version = update.version + 1;
        self.spread_news(self.me);
        true
    }

    /// Declares earlier incarnations at the same address dead.
    fn replace_older(&mut self, update: &Member, now_ms: u64) {
        let same_place = |entry: &&Entry| {
            let held = &entry.member;
            held.peer_addr == update.peer_addr
                && !held.peer_addr.is_empty()
                && held.incarnation != update.incarnation
        };
        let older =
            |entry: &&Entry| same_place(entry) && entry.member.started_ms < update.started_ms;
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

    fn spread_news(&mut self, about: Incarnation) {
        let doublings = usize::BITS - self.entries.len().leading_zeros();
        self.rumors.retain(|rumor| rumor.about != about);
        self.rumors.push_front(Rumor {
            about,
            sends_left: SENDS_PER_DOUBLING * doublings.max(1),
        });
    }
}
