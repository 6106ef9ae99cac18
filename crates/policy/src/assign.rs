//! The stable assignment of requests to experiment arms.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The number of bits of a double's fraction.
const FRACTION_BITS: u32 = 53;

/// Maps a salt and a key to a number from 0 to below 1, the same on every instance.
pub fn unit_hash(salt: &str, key: &str) -> f64 {
    let seed = xxh3_64_with_seed(salt.as_bytes(), 0);
    let hash = xxh3_64_with_seed(key.as_bytes(), seed);
    (hash >> (u64::BITS - FRACTION_BITS)) as f64 / (1u64 << FRACTION_BITS) as f64
}

/// Returns the arm of a key, given the shares of the arms.
pub fn assign_arm(salt: &str, key: &str, shares: &[f64]) -> usize {
    let point = unit_hash(salt, key);
    let mut sum = 0.0;
    for (index, share) in shares.iter().enumerate() {
        sum += share;
        if point < sum {
            return index;
        }
    }
    shares.len().saturating_sub(1)
}
