//! Frames messages by a flag of one byte and a length of four bytes.

use burdockslip_types::{ErrorKind, Result};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use error_stack::bail;

const PREFIX: usize = 5;

/// Writes the prefix and the message into one buffer.
pub(crate) fn encode(message: &Bytes) -> Result<Bytes> {
    let Ok(length) = u32::try_from(message.len()) else {
        bail!(ErrorKind::TooLarge);
    };
    let mut buffer = BytesMut::with_capacity(PREFIX + message.len());
    buffer.put_u8(0);
    buffer.put_u32(length);
    buffer.extend_from_slice(message);
    Ok(buffer.freeze())
}

/// Takes the next whole message from `buffer`, if it has arrived.
///
/// Returns `TooLarge` as soon as a prefix announces more than `limit`, before
/// the message fills the memory, and `Protocol` for a compressed message.
pub(crate) fn decode(buffer: &mut BytesMut, limit: usize) -> Result<Option<Bytes>> {
    if buffer.len() < PREFIX {
        return Ok(None);
    }
    if buffer[0] != 0 {
        bail!(ErrorKind::Protocol);
    }
    let length = (&buffer[1..PREFIX]).get_u32() as usize;
    if length > limit {
        bail!(ErrorKind::TooLarge);
    }
    if buffer.len() < PREFIX + length {
        return Ok(None);
    }
    buffer.advance(PREFIX);
    Ok(Some(buffer.split_to(length).freeze()))
}
