//! Draws random numbers: from the operating system, or from the seed of a paused run.

use std::ops::Range;

use rand::{Rng, RngCore};

use crate::paused;

/// Returns a random 64-bit number.
pub fn random_u64() -> u64 {
    paused::with_rng(RngCore::next_u64).unwrap_or_else(|| rand::rng().next_u64())
}

/// Returns a random number in `range`, or its start if the range is empty.
pub fn random_range(range: Range<u64>) -> u64 {
    if range.is_empty() {
        return range.start;
    }
    paused::with_rng(|rng| rng.random_range(range.clone()))
        .unwrap_or_else(|| rand::rng().random_range(range))
}

/// Returns `N` random bytes fit for secrets when not in a paused run.
pub fn random_bytes<const N: usize>() -> [u8; N] {
    let mut bytes = [0; N];
    if paused::with_rng(|rng| rng.fill_bytes(&mut bytes)).is_none() {
        rand::rng().fill_bytes(&mut bytes);
    }
    bytes
}
