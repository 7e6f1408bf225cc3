//! Encoding of messages: the version of the format, then the message in `bincode`.

use bincode::config::{Configuration, Limit, LittleEndian, Varint};
use burdockslip_types::{ErrorKind, Result};
use bytes::Bytes;
use error_stack::{Report, ResultExt, bail};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The version of the message format; a host rejects messages of any other version.
pub const VERSION: u16 = 1;
/// The maximum size of one message with its version, in bytes.
pub const MESSAGE_LIMIT: usize = 1 << 20;

/// The length of the version in front of a message, in bytes.
const VERSION_LEN: usize = 2;

type Config = Configuration<LittleEndian, Varint, Limit<MESSAGE_LIMIT>>;

const fn config() -> Config {
    bincode::config::standard().with_limit::<MESSAGE_LIMIT>()
}

/// Encodes one message; returns `TooLarge` above [`MESSAGE_LIMIT`].
pub(crate) fn encode(message: &impl Serialize) -> Result<Bytes> {
    let mut bytes = VERSION.to_be_bytes().to_vec();
    bincode::serde::encode_into_std_write(message, &mut bytes, config())
        .change_context(ErrorKind::TooLarge)?;
    if bytes.len() > MESSAGE_LIMIT {
        bail!(ErrorKind::TooLarge);
    }
    Ok(Bytes::from(bytes))
}

/// Decodes one message; returns `Protocol` if it has another version, is
/// malformed, or is followed by further bytes.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    let (version, body) = bytes
        .split_at_checked(VERSION_LEN)
        .ok_or_else(|| Report::new(ErrorKind::Protocol))?;
    if version != VERSION.to_be_bytes() {
        return Err(Report::new(ErrorKind::Protocol).attach(format!(
            "message has version {version:?}, expected {VERSION}"
        )));
    }
    let (message, len) =
        bincode::serde::decode_from_slice(body, config()).change_context(ErrorKind::Protocol)?;
    if len != body.len() {
        bail!(ErrorKind::Protocol);
    }
    Ok(message)
}
