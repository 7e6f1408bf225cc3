//! Holds the limits of a connection.

use crate::Tls;

/// Sets the limits and the encryption of a client or server; both ends should agree.
#[derive(Debug, Clone)]
pub struct Options {
    /// The largest message accepted, in bytes.
    pub message_limit: usize,
    /// The number of streams that a server accepts at a time on one connection.
    pub stream_limit: u32,
    /// The largest total of header names and values accepted, in bytes.
    pub header_limit: u32,
    /// The certificates for encryption; without them nothing is encrypted.
    pub tls: Option<Tls>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            message_limit: 4 << 20,
            stream_limit: 4096,
            header_limit: 16 << 10,
            tls: None,
        }
    }
}

/// Bounds the unread bytes that one slow reader can pin, in bytes.
pub(crate) const STREAM_WINDOW: u32 = 256 << 10;

/// Bounds the unread bytes of a connection, so that one slow stream does not
/// stop the others, in bytes.
pub(crate) const CONNECTION_WINDOW: u32 = 16 << 20;

/// Matches the chunk size of bulk responses, in bytes.
pub(crate) const FRAME_SIZE: u32 = 64 << 10;
