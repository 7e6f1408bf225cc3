//! The key with which a client authenticates.

use std::fmt;
use std::sync::Arc;

use base64ct::{Base64UrlUnpadded, Encoding};
use burdockslip_runtime::random_bytes;
use burdockslip_types::{ErrorKind, Result, domain};
use error_stack::{Report, ensure};
use zeroize::{Zeroize, Zeroizing};

use crate::KeyHash;

/// The prefix of every key, by which scanners for leaked secrets can find keys.
pub const KEY_PREFIX: &str = "bsk_";

/// The length of a key id.
const ID_BYTES: usize = 8;

/// The length of the secret: 256 random bits.
const SECRET_BYTES: usize = 32;

/// The length of the checksum, which detects typing errors before any lookup.
const CHECKSUM_BYTES: usize = 4;

const BODY_BYTES: usize = ID_BYTES + SECRET_BYTES + CHECKSUM_BYTES;

/// The number of characters of the encoded body.
const BODY_CHARS: usize = (BODY_BYTES * 4).div_ceil(3);

domain! {
    /// The public identifier of a key: 16 lower-case hexadecimal digits.
    #[serde(transparent)]
    pub struct KeyId(Arc<str>);
}

impl KeyId {
    /// Parses a key id, as [`as_str`](Self::as_str) returns it.
    ///
    /// # Errors
    ///
    /// Returns `InvalidInput` if the text is not 16 lower-case hexadecimal digits.
    pub fn parse(text: &str) -> Result<Self> {
        let is_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        ensure!(
            text.len() == ID_BYTES * 2 && text.bytes().all(is_digit),
            ErrorKind::InvalidInput
        );
        Ok(Self(Arc::from(text)))
    }

    /// Returns the 16 hexadecimal digits.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for KeyId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A client key. Its memory is zeroed on drop, and `Debug` and `Display` show only
/// its id.
///
/// The text is `bsk_` and the unpadded base64url form of the id (8 bytes),
/// the secret (32 bytes) and the CRC-32 of both (4 bytes).
pub struct Key {
    body: Zeroizing<[u8; BODY_BYTES]>,
}

impl Key {
    /// Generates a new random key.
    pub fn generate() -> Self {
        let mut body = Zeroizing::new([0; BODY_BYTES]);
        let random = Zeroizing::new(random_bytes::<{ ID_BYTES + SECRET_BYTES }>());
        body[..ID_BYTES + SECRET_BYTES].copy_from_slice(random.as_slice());
        let checksum = crc32fast::hash(random.as_slice());
        body[ID_BYTES + SECRET_BYTES..].copy_from_slice(&checksum.to_be_bytes());
        Self { body }
    }

    /// Parses the text of a key, as a client sends it.
    ///
    /// # Errors
    ///
    /// Returns `BadKey` if the text is not a key; the error does not contain it.
    pub fn parse(text: &[u8]) -> Result<Self> {
        let bad = || Report::new(ErrorKind::BadKey);
        let encoded = text.strip_prefix(KEY_PREFIX.as_bytes()).ok_or_else(bad)?;
        ensure!(encoded.len() == BODY_CHARS, ErrorKind::BadKey);
        let mut body = Zeroizing::new([0; BODY_BYTES]);
        Base64UrlUnpadded::decode(encoded, body.as_mut_slice()).map_err(|_| bad())?;
        let (secret, checksum) = body.split_at(ID_BYTES + SECRET_BYTES);
        ensure!(
            crc32fast::hash(secret).to_be_bytes() == checksum,
            ErrorKind::BadKey
        );
        Ok(Self { body })
    }

    /// Returns the id, which is part of the key and not secret.
    pub fn id(&self) -> KeyId {
        let mut id = [0; ID_BYTES];
        id.copy_from_slice(&self.body[..ID_BYTES]);
        KeyId(Arc::from(format!("{:016x}", u64::from_be_bytes(id))))
    }

    /// Returns the hash that the store contains in place of the key.
    pub fn hash(&self) -> KeyHash {
        KeyHash::of(&self.body[..ID_BYTES + SECRET_BYTES])
    }

    /// Returns the text of the key, which is shown only once, when it is issued.
    pub fn reveal(&self) -> Zeroizing<String> {
        let mut encoded = Base64UrlUnpadded::encode_string(self.body.as_slice());
        let mut text = Zeroizing::new(String::with_capacity(KEY_PREFIX.len() + BODY_CHARS));
        text.push_str(KEY_PREFIX);
        text.push_str(&encoded);
        encoded.zeroize();
        text
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Key").field(&self.id().as_str()).finish()
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{KEY_PREFIX}{}…", self.id())
    }
}
