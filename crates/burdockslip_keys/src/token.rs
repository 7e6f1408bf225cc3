//! The signed token with which a client continues its session on another host.

use std::collections::BTreeMap;
use std::fmt;

use base64ct::{Base64UrlUnpadded, Encoding};
use burdockslip_types::{ErrorKind, GroupName, LogPosition, Organisation, Result, domain};
use error_stack::{Report, ensure};
use hmac::{Hmac, Mac};
use sha2::Sha256;
use zeroize::Zeroizing;

/// The version of the token format; tokens of other versions are rejected.
pub const TOKEN_VERSION: u8 = 1;

/// The maximum length of a token as text, in bytes; tokens are sent in startup
/// options and `ParameterStatus` messages.
pub const MAX_TOKEN_BYTES: usize = 4096;

/// The maximum number of groups in a token, so that a token stays within
/// [`MAX_TOKEN_BYTES`] for names of up to 63 bytes.
pub const MAX_FLOORS: usize = 32;

/// The minimum length of a signing secret in bytes: the security level of
/// HMAC-SHA-256.
pub const MIN_SECRET_BYTES: usize = 32;

/// The length of the signature.
const TAG_BYTES: usize = 32;

/// The domain separator of the signature, in case a secret has other uses too.
const CONTEXT: &[u8] = b"burdockslip session token";

domain! {
    /// What a host needs to continue a session that began on another host.
    pub struct Token {
        /// The organisation that owns the session.
        pub organisation: Organisation,
        /// The floor of the session in each group: the log position that its reads
        /// must include.
        pub floors: BTreeMap<GroupName, LogPosition>,
    }
}

/// The secret that signs tokens, and a second one that is accepted too.
///
/// During a rotation, every host first accepts the new secret as the older one,
/// then signs with it, and drops the previous one when its sessions have ended.
pub struct TokenSecrets {
    current: Zeroizing<Vec<u8>>,
    older: Option<Zeroizing<Vec<u8>>>,
}

impl TokenSecrets {
    /// Creates the secrets from the settings of a host.
    ///
    /// # Errors
    ///
    /// Returns `InvalidInput` if a secret is shorter than [`MIN_SECRET_BYTES`].
    pub fn new(current: &[u8], older: Option<&[u8]>) -> Result<Self> {
        let is_short = |secret: &[u8]| secret.len() < MIN_SECRET_BYTES;
        ensure!(
            !is_short(current) && !older.is_some_and(is_short),
            ErrorKind::InvalidInput
        );
        Ok(Self {
            current: Zeroizing::new(current.to_vec()),
            older: older.map(|secret| Zeroizing::new(secret.to_vec())),
        })
    }

    fn is_signed(&self, payload: &[u8], tag: &[u8]) -> bool {
        let mut secrets = std::iter::once(&self.current).chain(&self.older);
        secrets.any(|secret| mac(secret, payload).verify_slice(tag).is_ok())
    }
}

impl fmt::Debug for TokenSecrets {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("TokenSecrets")
    }
}

impl Token {
    /// Signs the token and returns it as text without spaces.
    ///
    /// # Errors
    ///
    /// Returns `TooLarge` if it names more than [`MAX_FLOORS`] groups or
    /// exceeds [`MAX_TOKEN_BYTES`]; a floor is never dropped to make it fit.
    pub fn sign(&self, secrets: &TokenSecrets) -> Result<String> {
        ensure!(self.floors.len() <= MAX_FLOORS, ErrorKind::TooLarge);
        let mut payload = vec![TOKEN_VERSION];
        bincode::serde::encode_into_std_write(self, &mut payload, bincode_config())
            .map_err(|error| Report::new(error).change_context(ErrorKind::Internal))?;
        let tag = mac(&secrets.current, &payload).finalize().into_bytes();
        payload.extend_from_slice(&tag);
        let text = Base64UrlUnpadded::encode_string(&payload);
        ensure!(text.len() <= MAX_TOKEN_BYTES, ErrorKind::TooLarge);
        Ok(text)
    }

    /// Verifies and decodes a token that was signed for `organisation`.
    ///
    /// # Errors
    ///
    /// Returns `InvalidInput` if the token is malformed, not signed with a
    /// current secret, of another version or of another organisation. The error
    /// does not distinguish these causes.
    pub fn verify(text: &str, organisation: &str, secrets: &TokenSecrets) -> Result<Self> {
        let invalid = || Report::new(ErrorKind::InvalidInput);
        ensure!(text.len() <= MAX_TOKEN_BYTES, ErrorKind::InvalidInput);
        let bytes = Base64UrlUnpadded::decode_vec(text).map_err(|_| invalid())?;
        let split = bytes.len().checked_sub(TAG_BYTES).ok_or_else(invalid)?;
        let (payload, tag) = bytes.split_at(split);
        ensure!(secrets.is_signed(payload, tag), ErrorKind::InvalidInput);
        let body = payload.strip_prefix(&[TOKEN_VERSION]).ok_or_else(invalid)?;
        let (token, used): (Self, usize) =
            bincode::serde::decode_from_slice(body, bincode_config()).map_err(|_| invalid())?;
        let is_valid = used == body.len()
            && token.organisation.as_str() == organisation
            && token.floors.len() <= MAX_FLOORS;
        ensure!(is_valid, ErrorKind::InvalidInput);
        Ok(token)
    }
}

fn bincode_config() -> impl bincode::config::Config {
    bincode::config::standard().with_limit::<MAX_TOKEN_BYTES>()
}

fn mac(secret: &[u8], payload: &[u8]) -> Hmac<Sha256> {
    let mut mac =
        Hmac::<Sha256>::new_from_slice(secret).expect("HMAC accepts secrets of any length");
    mac.update(CONTEXT);
    mac.update(payload);
    mac
}
