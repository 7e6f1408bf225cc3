//! Reads texts that end with a zero byte.

use burdockslip_types::{ErrorKind, Result};
use error_stack::{Report, ResultExt};

/// Takes the text at the start of `bytes` and moves past its zero byte.
///
/// The few fields that the proxy needs are read here and not with the `pgwire`
/// decoders, because those panic on a message that is cut short, and a panic
/// would end the host for all its clients.
pub(crate) fn take_text<'a>(bytes: &mut &'a [u8]) -> Result<&'a str> {
    std::str::from_utf8(take_bytes(bytes)?).change_context(ErrorKind::Protocol)
}

/// Takes the text at the start of `bytes`, in whatever encoding it is.
pub(crate) fn take_bytes<'a>(bytes: &mut &'a [u8]) -> Result<&'a [u8]> {
    let end = bytes.iter().position(|byte| *byte == 0);
    let end = end.ok_or_else(|| Report::new(ErrorKind::Protocol))?;
    let text = &bytes[..end];
    *bytes = &bytes[end + 1..];
    Ok(text)
}

/// Takes the first byte of `bytes`.
pub(crate) fn take_byte(bytes: &mut &[u8]) -> Result<u8> {
    let (first, rest) = bytes
        .split_first()
        .ok_or_else(|| Report::new(ErrorKind::Protocol))?;
    *bytes = rest;
    Ok(*first)
}
