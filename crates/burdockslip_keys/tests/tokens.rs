//! Tests session tokens.

use burdockslip_keys::{MAX_FLOORS, MAX_TOKEN_BYTES, Token, TokenSecrets};
use burdockslip_types::{ErrorKind, GroupName, LogPosition};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const FIRST: &[u8; 32] = b"first secret, thirty-two bytes..";
const SECOND: &[u8; 32] = b"second secret, thirty-two bytes.";

fn secrets(current: &[u8], older: Option<&[u8]>) -> TokenSecrets {
    TokenSecrets::new(current, older).expect("the secrets are long enough")
}

fn token(count: usize) -> Token {
    let floors = (0..count).map(|index| {
        let name = format!("{index:02}{}", "x".repeat(61));
        (GroupName::from(name), LogPosition::new(u64::MAX, u64::MAX))
    });
    Token {
        organisation: "o".repeat(63).into(),
        floors: floors.collect(),
    }
}

fn kind<T>(result: burdockslip_types::Result<T>) -> Option<ErrorKind> {
    result.err().map(|report| *report.current_context())
}

/// Guards against a token with the maximum number of groups that is too long to be
/// sent.
#[test]
fn size_is_bounded() {
    let secrets = secrets(FIRST, None);
    let text = token(MAX_FLOORS).sign(&secrets).expect("it fits");
    assert!(text.len() <= MAX_TOKEN_BYTES);
    assert_eq!(
        kind(token(MAX_FLOORS + 1).sign(&secrets)),
        Some(ErrorKind::TooLarge)
    );
    let long = "x".repeat(MAX_TOKEN_BYTES + 1);
    assert_eq!(
        kind(Token::verify(&long, "acme", &secrets)),
        Some(ErrorKind::InvalidInput)
    );
}

/// Guards against an organisation that uses the session token of another.
#[test]
fn token_of_another_organisation_is_refused() {
    let secrets = secrets(FIRST, None);
    let token = Token {
        organisation: "acme".into(),
        floors: token(1).floors,
    };
    let text = token.sign(&secrets).expect("it fits");
    assert_eq!(
        Token::verify(&text, "acme", &secrets).expect("it is its own"),
        token
    );
    for other in ["", "acm", "acme2", "other"] {
        assert_eq!(
            kind(Token::verify(&text, other, &secrets)),
            Some(ErrorKind::InvalidInput)
        );
    }
}

/// Guards against sessions that fail while the signing secret is rotated.
#[test]
fn older_secret_is_accepted_during_rotation() {
    let name = token(1).organisation;
    let text = token(1).sign(&secrets(FIRST, None)).expect("it fits");
    let rotated = secrets(SECOND, Some(FIRST));
    assert_eq!(
        Token::verify(&text, name.as_str(), &rotated).expect("accepted"),
        token(1)
    );
    let done = secrets(SECOND, None);
    assert_eq!(
        kind(Token::verify(&text, name.as_str(), &done)),
        Some(ErrorKind::InvalidInput)
    );
}

/// Guards against secrets that are short enough to guess, and secrets in logs.
#[test]
fn secrets_are_long_and_hidden() {
    assert_eq!(
        kind(TokenSecrets::new(b"short", None)),
        Some(ErrorKind::InvalidInput)
    );
    assert_eq!(
        kind(TokenSecrets::new(FIRST, Some(b"short"))),
        Some(ErrorKind::InvalidInput)
    );
    assert_eq!(
        format!("{:?}", secrets(FIRST, Some(SECOND))),
        "TokenSecrets"
    );
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

    /// Guards against tokens that lose or change a floor when they are decoded.
    #[test]
    fn tokens_round_trip(
        floors in proptest::collection::btree_map("[a-z]{1,8}", any::<(u64, u64)>(), 0..MAX_FLOORS),
    ) {
        let floors = floors.into_iter();
        let floors = floors.map(|(name, (term, position))| (name.into(), LogPosition::new(term, position)));
        let token = Token { organisation: "acme".into(), floors: floors.collect() };
        let secrets = secrets(FIRST, None);
        let text = token.sign(&secrets).expect("it fits");
        prop_assert_eq!(Token::verify(&text, "acme", &secrets).expect("it is its own"), token);
    }

    /// Guards against a modified token that is accepted.
    #[test]
    fn changed_character_is_refused(index: prop::sample::Index, byte in 0x20_u8..0x7f) {
        let secrets = secrets(FIRST, None);
        let token = Token { organisation: "acme".into(), floors: token(2).floors };
        let mut text = token.sign(&secrets).expect("it fits").into_bytes();
        let index = index.index(text.len());
        prop_assume!(text[index] != byte);
        text[index] = byte;
        let text = String::from_utf8(text).expect("it is ASCII");
        prop_assert!(Token::verify(&text, "acme", &secrets).is_err());
    }

    /// Guards against a decoder that panics on input from a client.
    #[test]
    fn decoder_accepts_any_text(text in "\\PC{0,300}") {
        prop_assert!(Token::verify(&text, "acme", &secrets(FIRST, None)).is_err());
    }
}
