//! Random numbers, seeded by the operating system or by the seed of a paused run.

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

/// Returns `N` random bytes; outside a paused run they are fit for secrets.
pub fn random_bytes<const N: usize>() -> [u8; N] {
    let mut bytes = [0; N];
    if paused::with_rng(|rng| rng.fill_bytes(&mut bytes)).is_none() {
        rand::rng().fill_bytes(&mut bytes);
    }
    bytes
}
