//! An in-memory stream that simulates a client.

use std::any::Any;
use std::future::pending;

use monoio::BufResult;
use monoio::buf::{IoBuf, IoBufMut, IoVecBuf, IoVecBufMut, Slice};
use monoio::io::{AsyncReadRent, AsyncWriteRent};

/// Sends its input, then stays silent; records what it receives.
pub(crate) struct FakeClient {
    input: Vec<u8>,
    /// The bytes received so far.
    pub(crate) output: Vec<u8>,
    /// Whether the client has stopped reading.
    pub(crate) is_blocked: bool,
}

impl FakeClient {
    pub(crate) fn new(input: &[u8]) -> Self {
        Self {
            input: input.to_vec(),
            output: Vec::new(),
            is_blocked: false,
        }
    }
}

impl AsyncReadRent for FakeClient {
    async fn read<T: IoBufMut>(&mut self, buf: T) -> BufResult<usize, T> {
        if self.input.is_empty() {
            return pending().await;
        }
        let mut rest = self.input.as_slice();
        let (result, buf) = rest.read(buf).await;
        self.input = rest.to_vec();
        (result, buf)
    }

    async fn readv<T: IoVecBufMut>(&mut self, _: T) -> BufResult<usize, T> {
        pending().await
    }
}

impl AsyncWriteRent for FakeClient {
    async fn write<T: IoBuf>(&mut self, buf: T) -> BufResult<usize, T> {
        if self.is_blocked {
            return pending().await;
        }
        // The trait exposes the bytes only through raw pointers, so the buffer
        // is downcast to the type that `write_all` passes for a vector.
        let slice = (&buf as &dyn Any).downcast_ref::<Slice<Vec<u8>>>();
        let slice = slice.expect("responses are written as vectors");
        let bytes = &slice.get_ref()[slice.begin()..slice.end()];
        self.output.extend_from_slice(bytes);
        (Ok(bytes.len()), buf)
    }

    async fn writev<T: IoVecBuf>(&mut self, _: T) -> BufResult<usize, T> {
        pending().await
    }

    async fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }

    async fn shutdown(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}
