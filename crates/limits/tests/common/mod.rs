//! What played fleets have in common.

#![allow(dead_code, reason = "each test file uses a part")]

pub mod endpoint_paths;

use limits::{CrashGuard, CrashReport};

/// Reports what each guard holds to all others, as if it took no time.
pub fn exchange(guards: &mut [CrashGuard], now_ms: u64) {
    let reports: Vec<Vec<CrashReport>> = guards
        .iter_mut()
        .map(|guard| guard.reported(now_ms))
        .collect();
    for (index, guard) in guards.iter_mut().enumerate() {
        let mut others = Vec::new();
        for (from, report) in reports.iter().enumerate() {
            if from != index {
                others.extend(report.iter().cloned());
            }
        }
        guard.set_peers(&others, now_ms);
    }
}
