//! Overhead of the control plane per instance by the number of instances, and the cost of its parts
//! at the target size.

mod fleet;
mod parts;

use std::time::Duration;

use fleet::Fleet;
use serde_json::json;

/// The numbers of instances to measure.
const FLEET_SIZES: [usize; 5] = [3, 6, 12, 24, 48];

/// How long a fleet runs before it is measured.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// How long resource use is measured.
const MEASUREMENT: Duration = Duration::from_secs(10);

/// The number of configuration changes timed per fleet; the slowest is reported.
const CHANGE_COUNT: usize = 3;

fn main() {
    let json_only = std::env::args().any(|arg| arg == "--json");
    let parts = parts::measure();
    let mut rows = Vec::new();
    for size in FLEET_SIZES {
        let fleet = Fleet::start(size);
        std::thread::sleep(SETTLE_TIME);
        let usage = fleet.usage(MEASUREMENT);
        let mut in_force: Vec<f64> = (0..CHANGE_COUNT)
            .map(|_| fleet.time_change().as_secs_f64() * 1000.0)
            .collect();
        in_force.sort_by(f64::total_cmp);
        let row = json!({
            "instances": size,
            "cpu_percent": usage.cpu_percent,
            "rss_mb": usage.rss_mb,
            "peer_kb_per_s": usage.peer_kb_per_s,
            "reads_per_s": usage.reads_per_s,
            "writes_per_s": usage.writes_per_s,
            "in_force_ms": in_force[CHANGE_COUNT - 1],
        });
        if !json_only {
            println!("{row}");
        }
        rows.push(row);
    }
    println!("{}", json!({ "fleet": rows, "parts": parts }));
}
