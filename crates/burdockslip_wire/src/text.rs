//! Reads zero-terminated strings.

use burdockslip_types::{ErrorKind, Result};
use error_stack::{Report, ResultExt};

/// Takes the zero-terminated UTF-8 string at the start of `bytes` and advances
/// past its terminator.
///
/// The few fields that the proxy needs are read here and not with the `pgwire`
/// decoders, because those panic on a truncated message, and a panic would
/// terminate the host for all its clients.
pub(crate) fn take_cstr<'a>(bytes: &mut &'a [u8]) -> Result<&'a str> {
    std::str::from_utf8(take_cstr_bytes(bytes)?).change_context(ErrorKind::Protocol)
}

/// Takes the zero-terminated string at the start of `bytes`, in any encoding.
pub(crate) fn take_cstr_bytes<'a>(bytes: &mut &'a [u8]) -> Result<&'a [u8]> {
    let end = bytes.iter().position(|byte| *byte == 0);
    let end = end.ok_or_else(|| Report::new(ErrorKind::Protocol))?;
    let text = &bytes[..end];
    *bytes = &bytes[end + 1..];
    Ok(text)
}

/// Takes the first byte of `bytes` and advances past it.
pub(crate) fn take_byte(bytes: &mut &[u8]) -> Result<u8> {
    let (first, rest) = bytes
        .split_first()
        .ok_or_else(|| Report::new(ErrorKind::Protocol))?;
    *bytes = rest;
    Ok(*first)
}
