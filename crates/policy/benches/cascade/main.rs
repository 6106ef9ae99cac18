//! Compares the choice of the model's size with its baselines, from a quiet day to a heavy one.
//!
//! `cargo bench -p policy --bench cascade`

#[path = "../../tests/common/mod.rs"]
mod common;

use common::{play, policies};

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
            print!("{:8.3}", play(&policy, per_s));
        }
        println!();
    }
}
