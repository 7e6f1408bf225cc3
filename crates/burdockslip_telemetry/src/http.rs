//! Reads and writes the few HTTP/1.1 messages of the admin endpoint.

use std::net::SocketAddr;
use std::time::Duration;

use burdockslip_runtime::timeout;
use burdockslip_types::{ErrorKind, Result};
use error_stack::{Report, bail, ensure};
use monoio::io::{AsyncReadRent, AsyncWriteRent, AsyncWriteRentExt};
use monoio::net::TcpStream;

/// Bounds a request with its headers in bytes.
pub const MAX_REQUEST: usize = 8 * 1024;

/// Bounds a response that [`fetch`] accepts: the status of a host is small.
pub const MAX_RESPONSE: usize = 1024 * 1024;

/// Bounds the time of a request and its response, so that slow senders do not
/// hold connections.
pub const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(5);

/// Bounds the headers of a message.
const MAX_HEADERS: usize = 64;

/// Gives the bytes read at once.
const CHUNK: usize = 4096;

/// Holds the answer to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// The HTTP status code.
    pub status: u16,
    /// The media type of the body.
    pub content_type: &'static str,
    /// The body.
    pub body: String,
}

impl Response {
    /// Builds an answer in plain text.
    pub fn text(status: u16, body: impl Into<String>) -> Self {
        Self {
            status,
            content_type: "text/plain; charset=utf-8",
            body: body.into(),
        }
    }

    fn render(&self) -> Vec<u8> {
        let reason = match self.status {
            200 => "OK",
            400 => "Bad Request",
            404 => "Not Found",
            405 => "Method Not Allowed",
            408 => "Request Timeout",
            431 => "Request Header Fields Too Large",
            503 => "Service Unavailable",
            _ => "Internal Server Error",
        };
        format!(
            "HTTP/1.1 {} {reason}\r\ncontent-type: {}\r\ncontent-length: {}\r\n\
             connection: close\r\n\r\n{}",
            self.status,
            self.content_type,
            self.body.len(),
            self.body
        )
        .into_bytes()
    }
}

/// Reads a request and returns its path, or the answer to a request that is refused.
pub(crate) async fn read_path<S: AsyncReadRent>(
    stream: &mut S,
) -> std::result::Result<String, Response> {
    let mut bytes = Vec::new();
    loop {
        if let Some(path) = parse_path(&bytes)? {
            return Ok(path);
        }
        if bytes.len() >= MAX_REQUEST {
            return Err(Response::text(431, "request too large\n"));
        }
        match read_more(stream, &mut bytes, MAX_REQUEST).await {
            Ok(count) if count > 0 => {}
            _ => return Err(Response::text(400, "request incomplete\n")),
        }
    }
}

fn parse_path(bytes: &[u8]) -> std::result::Result<Option<String>, Response> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    match request.parse(bytes) {
        Ok(httparse::Status::Partial) => return Ok(None),
        Ok(httparse::Status::Complete(_)) => {}
        Err(httparse::Error::TooManyHeaders) => {
            return Err(Response::text(431, "too many headers\n"));
        }
        Err(_) => return Err(Response::text(400, "request malformed\n")),
    }
    if request.method != Some("GET") {
        return Err(Response::text(405, "only GET is supported\n"));
    }
    let target = request.path.unwrap_or_default();
    let path = target.split('?').next().unwrap_or_default();
    Ok(Some(path.to_owned()))
}

pub(crate) async fn write<S: AsyncWriteRent>(stream: &mut S, response: &Response) {
    // The client is gone if a write fails; there is nobody to tell.
    let (_, _) = stream.write_all(response.render()).await;
    let _ = stream.shutdown().await;
}

/// Gets the body at `path` from the admin endpoint of a host.
///
/// # Errors
///
/// Returns `ConnectionLost` if the host does not answer within `span`,
/// `Protocol` if the answer is not HTTP or not a success, and `TooLarge` if it
/// exceeds [`MAX_RESPONSE`].
pub async fn fetch(address: SocketAddr, path: &str, span: Duration) -> Result<String> {
    match timeout(span, exchange(address, path)).await {
        Ok(result) => result,
        Err(_) => bail!(ErrorKind::ConnectionLost),
    }
}

async fn exchange(address: SocketAddr, path: &str) -> Result<String> {
    let lost = |error| Report::new(error).change_context(ErrorKind::ConnectionLost);
    let mut stream = TcpStream::connect(address).await.map_err(lost)?;
    let request = format!("GET {path} HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\n\r\n");
    let (result, _) = stream.write_all(request.into_bytes()).await;
    result.map_err(lost)?;
    let mut bytes = Vec::new();
    while read_more(&mut stream, &mut bytes, MAX_RESPONSE + 1)
        .await
        .map_err(lost)?
        > 0
    {
        ensure!(bytes.len() <= MAX_RESPONSE, ErrorKind::TooLarge);
    }
    parse_body(&bytes)
}

/// Returns the body of a complete, successful response.
fn parse_body(bytes: &[u8]) -> Result<String> {
    let broken = || Report::new(ErrorKind::Protocol);
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let Ok(httparse::Status::Complete(start)) = response.parse(bytes) else {
        bail!(broken());
    };
    let mut fields = response.headers.iter();
    let length = fields
        .find(|field| field.name.eq_ignore_ascii_case("content-length"))
        .and_then(|field| std::str::from_utf8(field.value).ok()?.parse::<usize>().ok())
        .ok_or_else(broken)?;
    let body = bytes.get(start..).unwrap_or_default();
    ensure!(
        body.len() == length && response.code == Some(200),
        ErrorKind::Protocol
    );
    String::from_utf8(body.to_vec()).map_err(|_| broken())
}

/// Reads what has arrived, up to `most` bytes in total, and returns its length.
async fn read_more<S: AsyncReadRent>(
    stream: &mut S,
    bytes: &mut Vec<u8>,
    most: usize,
) -> std::io::Result<usize> {
    let room = CHUNK.min(most.saturating_sub(bytes.len()));
    let (result, chunk) = stream.read(Vec::with_capacity(room)).await;
    let count = result?;
    bytes.extend_from_slice(&chunk[..count]);
    Ok(count)
}
