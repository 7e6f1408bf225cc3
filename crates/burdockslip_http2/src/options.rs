//! The limits of connections and streams.

use crate::Tls;

/// The limits and the encryption of a client or server; both ends should have
/// the same.
#[derive(Debug, Clone)]
pub struct Options {
    /// The largest message accepted, in bytes.
    pub message_limit: usize,
    /// The maximum number of concurrent streams that a server accepts on one connection.
    pub stream_limit: u32,
    /// The largest total size of header names and values accepted, in bytes.
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

/// The flow-control window of a stream, in bytes: the most unread data that
/// one slow reader can hold in memory.
pub(crate) const STREAM_WINDOW: u32 = 256 << 10;

/// The flow-control window of a connection, in bytes, larger than that of a
/// stream so that one slow stream does not block the others.
pub(crate) const CONNECTION_WINDOW: u32 = 16 << 20;

/// The maximum size of an HTTP/2 frame, in bytes; it matches the chunk size of
/// bulk responses.
pub(crate) const FRAME_SIZE: u32 = 64 << 10;
