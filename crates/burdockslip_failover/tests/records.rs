//! Tests that records of other writers in the store are refused.

use burdockslip_failover::{GroupRecord, Registration};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use yare::parameterized;

/// A length of 2^60 in the encoding of records.
const HUGE_LENGTH: [u8; 9] = [253, 0, 0, 0, 0, 0, 0, 0, 16];

fn registration() -> Vec<u8> {
    let registration = Registration {
        address: ([10, 1, 0, 26], 7_560).into(),
        zone: "tll-a".into(),
        capacity: 170,
    };
    registration.write().expect("it can be encoded")
}

/// Returns the record with the length of the zone's name replaced by a huge one.
fn with_huge_zone() -> Vec<u8> {
    let mut bytes = registration();
    let zone = bytes
        .windows(5)
        .position(|window| window == b"tll-a")
        .expect("the name is contained");
    bytes.splice(zone - 1..zone, HUGE_LENGTH);
    bytes
}

#[parameterized(
    empty = { Vec::new() },
    cut_off = { registration()[..8].to_vec() },
    json = { b"{\"service\":\"s\"}".to_vec() },
    huge_zone = { with_huge_zone() },
    huge_length = { HUGE_LENGTH.to_vec() },
    nested = { b"[".repeat(10_000) },
)]
/// Guards against processes that end because of a record of another writer.
fn odd_record_is_refused(bytes: Vec<u8>) {
    assert!(Registration::read(&bytes).is_err());
    assert!(GroupRecord::read(&bytes).is_err());
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against values that panic the decoder, also with a valid beginning.
    #[test]
    fn arbitrary_records_are_survived(
        kept in 0..20_usize,
        tail in prop::collection::vec(any::<u8>(), 0..60),
    ) {
        let mut bytes = registration();
        bytes.truncate(kept);
        bytes.extend(tail);
        let _ = Registration::read(&bytes);
        let _ = GroupRecord::read(&bytes);
    }
}
