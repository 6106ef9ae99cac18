//! Instances that may be running although they are not among the live members.

use std::net::SocketAddr;

use crate::member::Member;
use crate::table::MemberTable;

/// An instance to look for, as after a network partition.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Absent {
    /// It is held for dead.
    Lost(Member),
    /// A configured address at which there is no live member.
    Configured(SocketAddr),
}

impl Absent {
    /// Chooses one of the absent instances at random.
    pub fn choose(
        table: &MemberTable,
        configured: &[SocketAddr],
        random: &mut fastrand::Rng,
    ) -> Option<Absent> {
        let lost = table.lost();
        let mut unanswered = Vec::new();
        for addr in configured {
            let text = addr.to_string();
            if table.live().iter().all(|live| *live.peer_addr != *text) {
                unanswered.push(*addr);
            }
        }
        let count = lost.len() + unanswered.len();
        if count == 0 {
            return None;
        }
        let chosen = random.usize(..count);
        match lost.get(chosen) {
            Some(member) => Some(Absent::Lost((*member).clone())),
            None => Some(Absent::Configured(unanswered[chosen - lost.len()])),
        }
    }
}
