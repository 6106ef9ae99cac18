//! What an instance spends on control, by the number of instances, and the cost of each part at the
//! size of the target.

mod fleet;
mod parts;

use std::time::Duration;

use fleet::Fleet;
use serde_json::json;

/// The numbers of instances.
const SIZES: [usize; 5] = [3, 6, 12, 24, 48];

/// How long the fleet runs before it is measured.
const SETTLE: Duration = Duration::from_secs(4);

/// How long it is measured.
const SLICE: Duration = Duration::from_secs(10);

/// Configuration changes whose way is timed.
const CHANGES: usize = 3;

fn main() {
    let json_only = std::env::args().any(|arg| arg == "--json");
    let parts = parts::measure();
    let mut rows = Vec::new();
    for size in SIZES {
        let fleet = Fleet::start(size);
        std::thread::sleep(SETTLE);
        let usage = fleet.usage(SLICE);
        let mut in_force: Vec<f64> = (0..CHANGES)
            .map(|_| fleet.change().as_secs_f64() * 1000.0)
            .collect();
        in_force.sort_by(f64::total_cmp);
        let row = json!({
            "instances": size,
            "cpu_percent": usage.cpu_percent,
            "rss_mb": usage.rss_mb,
            "peer_kb_per_s": usage.peer_kb_per_s,
            "reads_per_s": usage.reads_per_s,
            "writes_per_s": usage.writes_per_s,
            "in_force_ms": in_force[CHANGES - 1],
        });
        if !json_only {
            println!("{row}");
        }
        rows.push(row);
    }
    println!("{}", json!({ "fleet": rows, "parts": parts }));
}
