//! A minimal HTTP/1.1 server and client for the admin endpoint.

use std::net::SocketAddr;
use std::time::Duration;

use burdockslip_runtime::timeout;
use burdockslip_types::{ErrorKind, Result};
use error_stack::{Report, bail, ensure};
use monoio::io::{AsyncReadRent, AsyncWriteRent, AsyncWriteRentExt};
use monoio::net::TcpStream;

/// The maximum size of a request with its headers, in bytes.
pub const MAX_REQUEST: usize = 8 * 1024;

/// The maximum size of a response that [`fetch`] accepts, in bytes; the status
/// of a host is small.
pub const MAX_RESPONSE: usize = 1024 * 1024;

/// How long reading a request and writing its response may each take, so that
/// slow clients do not hold connections.
pub const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(5);

/// The maximum number of headers in a message.
const MAX_HEADERS: usize = 64;

/// The maximum number of bytes per read.
const READ_BYTES: usize = 4096;

/// An HTTP response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// The HTTP status code.
    pub status: u16,
    /// The media type of the body, sent as the `content-type` header.
    pub content_type: &'static str,
    /// The body.
    pub body: String,
}

impl Response {
    /// Creates a plain-text response.
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

/// Reads a request and returns its path without the query, or the error
/// response if the request is rejected.
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
    // A write fails only if the client has disconnected, so the error is dropped.
    let (_, _) = stream.write_all(response.render()).await;
    let _ = stream.shutdown().await;
}

/// Fetches the body of `path` from the admin endpoint at `address`.
///
/// # Errors
///
/// Returns `ConnectionLost` if the host does not respond within `limit`,
/// `Protocol` if the response is malformed, incomplete or not a 200, and
/// `TooLarge` if it exceeds [`MAX_RESPONSE`].
pub async fn fetch(address: SocketAddr, path: &str, limit: Duration) -> Result<String> {
    match timeout(limit, exchange(address, path)).await {
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

/// Returns the body of a complete response with status 200.
fn parse_body(bytes: &[u8]) -> Result<String> {
    let malformed = || Report::new(ErrorKind::Protocol);
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let Ok(httparse::Status::Complete(start)) = response.parse(bytes) else {
        bail!(malformed());
    };
    let mut fields = response.headers.iter();
    let length = fields
        .find(|field| field.name.eq_ignore_ascii_case("content-length"))
        .and_then(|field| std::str::from_utf8(field.value).ok()?.parse::<usize>().ok())
        .ok_or_else(malformed)?;
    let body = bytes.get(start..).unwrap_or_default();
    ensure!(
        body.len() == length && response.code == Some(200),
        ErrorKind::Protocol
    );
    String::from_utf8(body.to_vec()).map_err(|_| malformed())
}

/// Appends received data to `bytes`, up to `max_bytes` in total, and returns
/// the number of bytes read.
async fn read_more<S: AsyncReadRent>(
    stream: &mut S,
    bytes: &mut Vec<u8>,
    max_bytes: usize,
) -> std::io::Result<usize> {
    let room = READ_BYTES.min(max_bytes.saturating_sub(bytes.len()));
    let (result, chunk) = stream.read(Vec::with_capacity(room)).await;
    let count = result?;
    bytes.extend_from_slice(&chunk[..count]);
    Ok(count)
}
