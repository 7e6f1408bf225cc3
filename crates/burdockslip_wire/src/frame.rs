//! Holds one protocol message as raw bytes.

use bytes::Bytes;

/// Length of the tag and the length field in front of each message body, in bytes.
pub(crate) const HEADER_LEN: usize = 5;

/// Holds one tagged protocol message, header included.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Frame(Bytes);

impl Frame {
    /// Wraps the bytes of exactly one message.
    ///
    /// Returns `None` if the header does not match the length of `bytes`.
    pub fn new(bytes: Bytes) -> Option<Self> {
        (bytes.len() >= HEADER_LEN && declared_len(&bytes) == Some(bytes.len()))
            .then_some(Self(bytes))
    }

    /// Returns the message type.
    pub fn tag(&self) -> u8 {
        self.0[0]
    }

    /// Returns the message without its header.
    pub fn body(&self) -> &[u8] {
        &self.0[HEADER_LEN..]
    }

    /// Returns the whole message.
    pub fn bytes(&self) -> &Bytes {
        &self.0
    }

    /// Returns the whole message.
    pub fn into_bytes(self) -> Bytes {
        self.0
    }
}

/// Returns the full length of the message at the start of `bytes`, once its header is complete.
///
/// A length field below its own size yields a length below [`HEADER_LEN`].
pub(crate) fn declared_len(bytes: &[u8]) -> Option<usize> {
    let field: [u8; 4] = bytes.get(1..HEADER_LEN)?.try_into().ok()?;
    Some(usize::try_from(u32::from_be_bytes(field)).ok()? + 1)
}

/// Splits `bytes`, a sequence of whole messages, into frames.
///
/// Returns `None` if a message is cut short.
pub fn split_frames(mut bytes: Bytes) -> Option<Vec<Frame>> {
    let mut frames = Vec::new();
    while !bytes.is_empty() {
        let len = declared_len(&bytes)?;
        if len < HEADER_LEN || len > bytes.len() {
            return None;
        }
        frames.push(Frame(bytes.split_to(len)));
    }
    Some(frames)
}
