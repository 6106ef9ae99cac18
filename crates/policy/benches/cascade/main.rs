//! Compares the cascade over model sizes with its baselines, from light to heavy load.
//!
//! `cargo bench -p policy --bench cascade`

#[path = "../../tests/common/mod.rs"]
mod common;

use common::{policies, simulate};

const RATES_PER_S: [f64; 6] = [20.0, 40.0, 60.0, 80.0, 100.0, 120.0];

fn main() {
    print!("{:22}", "requests a second");
    for per_s in RATES_PER_S {
        print!("{per_s:8.0}");
    }
    println!();
    for policy in policies() {
        print!("{:22}", policy.name);
        for per_s in RATES_PER_S {
            print!("{:8.3}", simulate(&policy, per_s));
        }
        println!();
    }
}
