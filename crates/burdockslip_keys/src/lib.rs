//! Defines client keys, their hashes and revocation, and session tokens.
//!
//! See `docs/design.md`, section 4.9.

mod hash;
mod key;
mod ring;
mod token;

pub use hash::KeyHash;
pub use key::{Key, KeyId, PREFIX};
pub use ring::{KEYS_PREFIX, KeyPath, KeyRecord, KeyRing, KeyState};
pub use token::{MAX_FLOORS, MAX_TOKEN, MIN_SECRET, TOKEN_VERSION, Token, TokenSecrets};
