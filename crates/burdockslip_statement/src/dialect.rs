//! Defines the interface to an adapter that reads and writes the wire.

use burdockslip_types::Result;
use bytes::BytesMut;

use crate::{ClientMessage, ClientResponse, Command, MemberMessage, MemberStatus};

/// Holds the functions that translate messages; they keep no state.
///
/// The `read` functions remove one whole message from the front of the buffer,
/// or return `None` if it is not there yet.
#[derive(Debug, Clone, Copy)]
pub struct Codec {
    /// Reads a message of a client; fails with `TooLarge` on an oversized one.
    pub read_client: fn(&mut BytesMut) -> Result<Option<ClientMessage>>,
    /// Writes the answer to a client that opens a session.
    pub write_greeting: fn(&ClientResponse, &mut BytesMut),
    /// Writes the answer to a statement.
    pub write_response: fn(&ClientResponse, &mut BytesMut),
    /// Writes a command to a member.
    pub write_command: fn(&Command, &mut BytesMut),
    /// Reads a message of a member; fails with `Protocol` on a malformed one.
    pub read_member: fn(&mut BytesMut) -> Result<Option<MemberMessage>>,
    /// Reads the row that answers [`Command::Status`] and its like.
    pub read_status: fn(&[u8]) -> Result<MemberStatus>,
}
