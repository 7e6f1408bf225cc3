//! The messages of one request.

use bytes::Bytes;

use crate::frame::Frame;

/// The query protocol that a unit uses.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UnitKind {
    /// One simple query, with its SQL text.
    Simple(String),
    /// Messages of the extended query protocol, up to and including `Sync`.
    Extended,
}

/// One complete request: all messages up to the point where the client waits for a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Unit {
    /// The query protocol.
    pub kind: UnitKind,
    /// The messages in the order received.
    pub frames: Vec<Frame>,
}

impl Unit {
    /// Returns the bytes of the first message, which are the whole unit for a
    /// simple query.
    pub fn first_frame_bytes(&self) -> Bytes {
        self.frames
            .first()
            .map(|frame| frame.bytes().clone())
            .unwrap_or_default()
    }
}
