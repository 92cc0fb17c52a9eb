//! Stable hashing: the same input gives the same value in every process and release.
//!
//! Balancers compute placements independently, so all of them must agree on these values.

use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Hashes a byte string.
pub fn bytes(data: &[u8]) -> u64 {
    xxh3_64(data)
}

/// Hashes two keys into one value, such as the score of a candidate in rendezvous hashing. The
/// order of the keys matters.
pub fn pair(left: u64, right: u64) -> u64 {
    xxh3_64_with_seed(&left.to_le_bytes(), right)
}
