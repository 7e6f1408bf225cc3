//! Tests keys, their records and authentication.

use burdockslip_keys::{Key, KeyHash, KeyId, KeyPath, KeyRecord, KeyRing, KeyState};
use burdockslip_runtime::paused;
use burdockslip_types::ErrorKind;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use yare::parameterized;

fn generate(seed: u64) -> Key {
    paused::run(seed, async { Key::generate() })
}

fn entry(organisation: &str, key: &Key, state: KeyState) -> (String, Vec<u8>) {
    let path = KeyPath {
        organisation: organisation.into(),
        id: key.id(),
    };
    let record = KeyRecord {
        hash: key.hash(),
        state,
    };
    (path.render(), record.render())
}

fn ring(entries: &[(String, Vec<u8>)]) -> KeyRing {
    let entries = entries.iter();
    let (ring, malformed) =
        KeyRing::from_entries(entries.map(|(path, value)| (path.as_str(), value.as_slice())));
    assert_eq!(malformed, Vec::<String>::new());
    ring
}

fn outcome(ring: &KeyRing, organisation: &str, key: &Key) -> Result<KeyId, ErrorKind> {
    let result = ring.authenticate(organisation, key);
    result.map_err(|report| *report.current_context())
}

/// Guards against a generated key that is parsed as a different one.
#[test]
fn generated_key_parses() {
    let key = generate(1);
    let text = key.reveal();
    let parsed = Key::parse(text.as_bytes()).expect("it was generated");
    assert_eq!(parsed.id(), key.id());
    assert_eq!(parsed.hash(), key.hash());
    assert!(text.starts_with("bsk_"));
}

/// Guards against secrets in logs: `Debug` and `Display` show only the id.
#[test]
fn printing_hides_the_secret() {
    let key = generate(2);
    let text = key.reveal();
    let body = text.strip_prefix("bsk_").expect("it has the prefix");
    for printed in [format!("{key:?}"), format!("{key:#?}"), key.to_string()] {
        for start in 0..body.len() - 12 {
            assert!(!printed.contains(&body[start..start + 12]), "{printed}");
        }
    }
    assert_eq!(format!("{:?}", key.hash()), "KeyHash");
}

/// Guards against authentication with a wrong key, state or organisation.
#[parameterized(
    live = { "acme", 1, Ok(()) },
    second_live = { "acme", 2, Ok(()) },
    revoked = { "acme", 3, Err(ErrorKind::KeyRevoked) },
    unknown = { "acme", 9, Err(ErrorKind::BadKey) },
    of_another = { "acme", 4, Err(ErrorKind::BadKey) },
    of_another_revoked = { "other", 3, Err(ErrorKind::BadKey) },
    unknown_organisation = { "nobody", 1, Err(ErrorKind::BadKey) },
)]
fn authentication(organisation: &str, seed: u64, expected: Result<(), ErrorKind>) {
    let ring = ring(&[
        entry("acme", &generate(1), KeyState::Live),
        entry("acme", &generate(2), KeyState::Live),
        entry("acme", &generate(3), KeyState::Revoked),
        entry("other", &generate(4), KeyState::Live),
    ]);
    let key = generate(seed);
    assert_eq!(
        outcome(&ring, organisation, &key),
        expected.map(|()| key.id())
    );
    assert_eq!(ring.is_live(organisation, &key.id()), expected.is_ok());
}

/// Guards against a key that is accepted for its id although its secret differs.
#[test]
fn id_alone_does_not_authenticate() {
    let key = generate(1);
    let (path, _) = entry("acme", &key, KeyState::Live);
    for state in [KeyState::Live, KeyState::Revoked] {
        let (_, value) = entry("acme", &generate(2), state);
        let ring = ring(&[(path.clone(), value)]);
        assert_eq!(outcome(&ring, "acme", &key), Err(ErrorKind::BadKey));
    }
}

/// Guards against a key that is still accepted after it was revoked or deleted, or
/// after its record became malformed.
#[test]
fn withdrawal_takes_effect() {
    let key = generate(1);
    let (path, value) = entry("acme", &key, KeyState::Live);
    let mut ring = ring(&[(path.clone(), value.clone())]);
    let (_, revoked) = entry("acme", &key, KeyState::Revoked);
    ring.put(&path, &revoked).expect("it is a record");
    assert_eq!(outcome(&ring, "acme", &key), Err(ErrorKind::KeyRevoked));
    ring.put(&path, &value).expect("it is a record");
    ring.delete(&path);
    assert_eq!(outcome(&ring, "acme", &key), Err(ErrorKind::BadKey));
    assert!(ring.is_empty());
    ring.put(&path, &value).expect("it is a record");
    assert!(ring.put(&path, b"{}").is_err());
    assert_eq!(outcome(&ring, "acme", &key), Err(ErrorKind::BadKey));
}

/// Guards against a malformed record that makes all others unusable.
#[test]
fn malformed_records_are_listed() {
    let (path, value) = entry("acme", &generate(1), KeyState::Live);
    let bad = "burdockslip/keys/acme/0000000000000000";
    let entries = [(bad, b"{".as_slice()), (&path, &value), ("other", b"")];
    let (ring, malformed) = KeyRing::from_entries(entries);
    assert_eq!(malformed, [bad, "other"]);
    assert_eq!(ring.len(), 1);
}

/// Uses a fixed seed, so that the result of a run depends only on the source tree.
fn fixed_seed() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(fixed_seed())]

    /// Guards against parsers that panic on input from a client or the store.
    #[test]
    fn decoders_accept_any_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        prop_assert!(Key::parse(&bytes).is_err());
        prop_assert!(KeyRecord::parse(&bytes).is_err());
        let text = String::from_utf8_lossy(&bytes);
        prop_assert!(KeyPath::parse(&text).is_err());
        prop_assert!(KeyHash::try_from(text.into_owned()).is_err());
    }

    /// Guards against mistyped keys that get as far as the lookup.
    #[test]
    fn changed_character_is_refused(seed: u64, index in 0_usize..63, byte in 0x20_u8..0x7f) {
        let mut text = generate(seed).reveal().as_bytes().to_vec();
        prop_assume!(text[index] != byte);
        text[index] = byte;
        prop_assert!(Key::parse(&text).is_err());
    }

    /// Guards against store keys that cannot be parsed after rendering.
    #[test]
    fn paths_round_trip(seed: u64, organisation in "[a-z0-9][a-z0-9_-]{0,62}") {
        let path = KeyPath { organisation: organisation.into(), id: generate(seed).id() };
        prop_assert_eq!(KeyPath::parse(&path.render()).expect("it was rendered"), path);
    }
}
