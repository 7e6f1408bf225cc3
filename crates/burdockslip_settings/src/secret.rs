//! Defines a text that is never printed.

use std::fmt;

use zeroize::Zeroizing;

/// Holds a secret of the settings; its memory is zeroed when dropped.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(Zeroizing<String>);

impl Secret {
    /// Wraps the text of a secret.
    pub fn new(text: String) -> Self {
        Self(Zeroizing::new(text))
    }

    /// Returns the bytes of the secret.
    pub fn expose(&self) -> &[u8] {
        self.0.as_bytes()
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret")
    }
}
