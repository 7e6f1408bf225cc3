//! Defines the token with which a session moves between hosts.

use std::collections::BTreeMap;
use std::fmt;

use base64ct::{Base64UrlUnpadded, Encoding};
use burdockslip_types::{ErrorKind, GroupName, LogPosition, Organisation, Result, domain};
use error_stack::{Report, ensure};
use hmac::{Hmac, Mac};
use sha2::Sha256;
use zeroize::Zeroizing;

/// Names the layout of tokens; a token of another version is refused.
pub const TOKEN_VERSION: u8 = 1;

/// Bounds the text of a token in bytes, because it travels in startup options
/// and `ParameterStatus` messages.
pub const MAX_TOKEN_BYTES: usize = 4096;

/// Bounds the groups of a token, so that signing stays below [`MAX_TOKEN_BYTES`] for
/// names of up to 63 bytes.
pub const MAX_FLOORS: usize = 32;

/// Gives the least bytes of a signing secret: the security level of HMAC-SHA-256.
pub const MIN_SECRET_BYTES: usize = 32;

/// Gives the bytes of the signature.
const TAG_BYTES: usize = 32;

/// Separates these signatures from other uses of the same secret.
const CONTEXT: &[u8] = b"burdockslip session token";

domain! {
    /// Holds what a host must know to continue a session of another host.
    pub struct Token {
        /// The organisation whose session it is.
        pub organisation: Organisation,
        /// The confirmed position in each group that reads of the session must include.
        pub floors: BTreeMap<GroupName, LogPosition>,
    }
}

/// Holds the secret that signs tokens and the one that it replaced.
///
/// During a rotation every host first accepts the new secret as the older
/// one, then signs with it, and drops the former one when sessions have ended.
pub struct TokenSecrets {
    current: Zeroizing<Vec<u8>>,
    older: Option<Zeroizing<Vec<u8>>>,
}

impl TokenSecrets {
    /// Builds the pair from settings.
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
        secrets.any(|secret| signer(secret, payload).verify_slice(tag).is_ok())
    }
}

impl fmt::Debug for TokenSecrets {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("TokenSecrets")
    }
}

impl Token {
    /// Signs the token and renders it as text without spaces.
    ///
    /// # Errors
    ///
    /// Returns `TooLarge` if it names more than [`MAX_FLOORS`] groups or
    /// exceeds [`MAX_TOKEN_BYTES`]; a floor is never dropped to make it fit.
    pub fn sign(&self, secrets: &TokenSecrets) -> Result<String> {
        ensure!(self.floors.len() <= MAX_FLOORS, ErrorKind::TooLarge);
        let mut payload = vec![TOKEN_VERSION];
        bincode::serde::encode_into_std_write(self, &mut payload, layout())
            .map_err(|error| Report::new(error).change_context(ErrorKind::Internal))?;
        let tag = signer(&secrets.current, &payload).finalize().into_bytes();
        payload.extend_from_slice(&tag);
        let text = Base64UrlUnpadded::encode_string(&payload);
        ensure!(text.len() <= MAX_TOKEN_BYTES, ErrorKind::TooLarge);
        Ok(text)
    }

    /// Opens a token that was sealed for `organisation`.
    ///
    /// # Errors
    ///
    /// Returns `InvalidInput` if the token is malformed, not signed with a
    /// current secret, of another version or of another organisation; the
    /// causes are not told apart.
    pub fn verify(text: &str, organisation: &str, secrets: &TokenSecrets) -> Result<Self> {
        let refused = || Report::new(ErrorKind::InvalidInput);
        ensure!(text.len() <= MAX_TOKEN_BYTES, ErrorKind::InvalidInput);
        let bytes = Base64UrlUnpadded::decode_vec(text).map_err(|_| refused())?;
        let split = bytes.len().checked_sub(TAG_BYTES).ok_or_else(refused)?;
        let (payload, tag) = bytes.split_at(split);
        ensure!(secrets.is_signed(payload, tag), ErrorKind::InvalidInput);
        let body = payload.strip_prefix(&[TOKEN_VERSION]).ok_or_else(refused)?;
        let (token, used): (Self, usize) =
            bincode::serde::decode_from_slice(body, layout()).map_err(|_| refused())?;
        let is_valid = used == body.len()
            && token.organisation.as_str() == organisation
            && token.floors.len() <= MAX_FLOORS;
        ensure!(is_valid, ErrorKind::InvalidInput);
        Ok(token)
    }
}

fn layout() -> impl bincode::config::Config {
    bincode::config::standard().with_limit::<MAX_TOKEN_BYTES>()
}

fn signer(secret: &[u8], payload: &[u8]) -> Hmac<Sha256> {
    let mut signer =
        Hmac::<Sha256>::new_from_slice(secret).expect("HMAC accepts secrets of any length");
    signer.update(CONTEXT);
    signer.update(payload);
    signer
}
