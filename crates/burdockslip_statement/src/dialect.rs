//! The interface of an adapter that implements a wire format.

use burdockslip_types::Result;
use bytes::BytesMut;

use crate::{ClientMessage, ClientResponse, Command, MemberMessage, MemberStatus};

/// The stateless functions that parse and serialise the messages of a wire format.
///
/// `read_client` and `read_member` remove one complete message from the front of
/// the buffer, or return `None` if the message is still incomplete.
#[derive(Debug, Clone, Copy)]
pub struct Codec {
    /// Parses a message from a client; fails with `TooLarge` if it exceeds the size limit.
    pub read_client: fn(&mut BytesMut) -> Result<Option<ClientMessage>>,
    /// Serialises the response to a client that opens a session.
    pub write_greeting: fn(&ClientResponse, &mut BytesMut),
    /// Serialises the response to a statement.
    pub write_response: fn(&ClientResponse, &mut BytesMut),
    /// Serialises a command to a member.
    pub write_command: fn(&Command, &mut BytesMut),
    /// Parses a message from a member; fails with `Protocol` if it is malformed.
    pub read_member: fn(&mut BytesMut) -> Result<Option<MemberMessage>>,
    /// Parses the row with which a member answers [`Command::Status`] and other
    /// control commands; fails with `Protocol` if it is malformed.
    pub read_status: fn(&[u8]) -> Result<MemberStatus>,
}
