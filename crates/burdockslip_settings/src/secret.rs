//! A string that is never printed.

use std::fmt;

use zeroize::Zeroizing;

/// A secret from the settings. Its debug output hides the value, and its memory
/// is zeroed when dropped.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(Zeroizing<String>);

impl Secret {
    /// Wraps the value of a secret.
    pub fn new(text: String) -> Self {
        Self(Zeroizing::new(text))
    }

    /// Returns the value of the secret, as bytes.
    pub fn expose(&self) -> &[u8] {
        self.0.as_bytes()
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret")
    }
}
