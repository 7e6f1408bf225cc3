//! Client keys with their hashes and revocation, and session tokens.
//!
//! See `docs/design.md`, section 4.9.

mod hash;
mod key;
mod ring;
mod token;

pub use hash::KeyHash;
pub use key::{KEY_PREFIX, Key, KeyId};
pub use ring::{KEY_RECORDS_PREFIX, KeyPath, KeyRecord, KeyRing, KeyState};
pub use token::{
    MAX_FLOORS, MAX_TOKEN_BYTES, MIN_SECRET_BYTES, TOKEN_VERSION, Token, TokenSecrets,
};
