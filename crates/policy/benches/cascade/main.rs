//! Compares the cascade over model sizes with its baselines, from light to heavy load.
//!
//! `cargo bench -p policy --bench cascade`

#[path = "../../tests/common/mod.rs"]
mod common;

use common::{Policy, TWO_SIZES, World, simulate};

const RATES_PER_S: [f64; 6] = [20.0, 40.0, 60.0, 80.0, 100.0, 120.0];

const POLICIES: &[Policy] = &[
    Policy::ExpectedGain,
    Policy::FixedThreshold(50),
    Policy::Largest,
    Policy::Smallest,
];

fn main() {
    print!("{:22}", "requests a second");
    for per_s in RATES_PER_S {
        print!("{per_s:8.0}");
    }
    println!();
    for policy in POLICIES {
        print!("{:22}", format!("{policy:?}"));
        for per_s in RATES_PER_S {
            let world = World {
                sizes: TWO_SIZES,
                per_s,
                burst: 1.0,
            };
            print!("{:8.3}", simulate(&world, *policy).value);
        }
        println!();
    }
}
