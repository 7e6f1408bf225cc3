//! Framing of messages by a prefix: a flag of one byte and a length of four bytes.

use burdockslip_types::{ErrorKind, Result};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use error_stack::bail;

const PREFIX_LEN: usize = 5;

/// Writes the prefix and the message into one buffer.
pub(crate) fn encode(message: &Bytes) -> Result<Bytes> {
    let Ok(length) = u32::try_from(message.len()) else {
        bail!(ErrorKind::TooLarge);
    };
    let mut buffer = BytesMut::with_capacity(PREFIX_LEN + message.len());
    buffer.put_u8(0);
    buffer.put_u32(length);
    buffer.extend_from_slice(message);
    Ok(buffer.freeze())
}

/// Takes the next message from `buffer`; `None` if it has not arrived completely.
///
/// Returns `TooLarge` as soon as a prefix announces more than `limit` bytes,
/// before the message is buffered, and `Protocol` for a compressed message.
pub(crate) fn decode(buffer: &mut BytesMut, limit: usize) -> Result<Option<Bytes>> {
    if buffer.len() < PREFIX_LEN {
        return Ok(None);
    }
    if buffer[0] != 0 {
        bail!(ErrorKind::Protocol);
    }
    let length = (&buffer[1..PREFIX_LEN]).get_u32() as usize;
    if length > limit {
        bail!(ErrorKind::TooLarge);
    }
    if buffer.len() < PREFIX_LEN + length {
        return Ok(None);
    }
    buffer.advance(PREFIX_LEN);
    Ok(Some(buffer.split_to(length).freeze()))
}
