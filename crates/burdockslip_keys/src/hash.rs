//! The hash that the store contains in place of a key.

use std::fmt;

use base64ct::{Base64UrlUnpadded, Encoding};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use subtle::{Choice, ConstantTimeEq};

/// The length of a SHA-256 hash.
const HASH_BYTES: usize = 32;

/// The SHA-256 hash of a key, compared in constant time.
///
/// A key has 256 random bits, so its hash cannot be reversed by a search for the
/// key, and needs no salt.
#[derive(Clone, Copy, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct KeyHash([u8; HASH_BYTES]);

impl KeyHash {
    pub(crate) fn of(bytes: &[u8]) -> Self {
        Self(Sha256::digest(bytes).into())
    }

    /// Returns a hash that belongs to no key.
    ///
    /// Comparing an unknown key with it takes as long as any other comparison.
    pub(crate) const fn placeholder() -> Self {
        Self([0; HASH_BYTES])
    }
}

impl ConstantTimeEq for KeyHash {
    fn ct_eq(&self, other: &Self) -> Choice {
        self.0.ct_eq(&other.0)
    }
}

impl PartialEq for KeyHash {
    fn eq(&self, other: &Self) -> bool {
        self.ct_eq(other).into()
    }
}

impl Eq for KeyHash {}

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyHash")
    }
}

impl From<KeyHash> for String {
    fn from(hash: KeyHash) -> Self {
        Base64UrlUnpadded::encode_string(&hash.0)
    }
}

impl TryFrom<String> for KeyHash {
    type Error = &'static str;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        let mut bytes = [0; HASH_BYTES];
        match Base64UrlUnpadded::decode(&text, &mut bytes) {
            Ok(decoded) if decoded.len() == HASH_BYTES => Ok(Self(bytes)),
            _ => Err("a SHA-256 hash in unpadded base64url"),
        }
    }
}
