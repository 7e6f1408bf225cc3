//! Gathers the messages of one request.

use bytes::Bytes;

use crate::frame::Frame;

/// Tells simple from extended queries.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UnitKind {
    /// One simple query with its text.
    Simple(String),
    /// The messages of extended queries up to and including `Sync`.
    Extended,
}

/// Holds one complete request: everything up to the point where the client waits for an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Unit {
    /// The kind of query.
    pub kind: UnitKind,
    /// The messages.
    pub frames: Vec<Frame>,
}

impl Unit {
    /// Returns the messages of a simple query as they go upstream.
    pub fn first_frame_bytes(&self) -> Bytes {
        self.frames
            .first()
            .map(|frame| frame.bytes().clone())
            .unwrap_or_default()
    }
}
