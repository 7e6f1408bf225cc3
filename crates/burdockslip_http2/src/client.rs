//! A client that opens streams to one address and reconnects after failures.

use std::cell::Cell;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use burdockslip_runtime::{sleep, spawn, timeout};
use burdockslip_types::{ErrorKind, Result};
use bytes::Bytes;
use error_stack::{ResultExt, bail};
use futures::future::select;
use futures::lock::Mutex;
use h2::client::SendRequest;
use h2::{Ping, PingPong};
use http::{Method, Request};
use tracing::debug;

use crate::options::{CONNECTION_WINDOW, FRAME_SIZE, Options, STREAM_WINDOW};
use crate::socket::{self, Socket};
use crate::{Receiver, Sender};

/// The interval between pings on a connection in use; an idle connection is
/// not pinged and causes no traffic.
const PING_PERIOD: Duration = Duration::from_secs(1);

/// How long to wait for the reply to a ping before the connection is closed.
const PING_TIMEOUT: Duration = Duration::from_secs(2);

/// Opens streams to one address; clones share the connection.
///
/// The first call connects, and so does the first call after a failure, so a
/// client can be created before its server is up.
#[derive(Clone)]
pub struct Client {
    shared: Rc<Shared>,
}

struct Shared {
    address: SocketAddr,
    options: Options,
    current: Mutex<Option<Connection>>,
}

#[derive(Clone)]
struct Connection {
    sender: SendRequest<Bytes>,
    state: Rc<State>,
}

#[derive(Default)]
struct State {
    is_closed: Cell<bool>,
    has_activity: Cell<bool>,
}

impl Client {
    /// Returns a client of the server at `address`, with default options.
    pub fn connect(address: SocketAddr) -> Self {
        Self::with_options(address, Options::default())
    }

    /// Returns a client of the server at `address`.
    pub fn with_options(address: SocketAddr, options: Options) -> Self {
        Self {
            shared: Rc::new(Shared {
                address,
                options,
                current: Mutex::new(None),
            }),
        }
    }

    /// Returns the server's address.
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Sends one message and waits for one reply.
    ///
    /// There is no timeout: callers add their own. Dropping the future resets
    /// the stream.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Receiver::next`]. After an error the server may
    /// still have run the request.
    pub async fn call(&self, path: &str, message: Bytes) -> Result<Bytes> {
        let (sender, mut receiver) = self.stream(path, message).await?;
        sender.close()?;
        match receiver.next().await? {
            Some(reply) => Ok(reply),
            None => bail!(ErrorKind::Protocol),
        }
    }

    /// Opens a stream and sends its first message.
    ///
    /// # Errors
    ///
    /// Returns `ConnectionLost` if the server cannot be reached.
    pub async fn stream(&self, path: &str, first: Bytes) -> Result<(Sender, Receiver)> {
        let (mut sender, receiver) = self.open(path).await?;
        sender.send(first).await?;
        Ok((sender, receiver))
    }

    /// Opens a stream without sending a message.
    ///
    /// If the current connection refuses the stream, which then has not reached
    /// the server, the stream is opened on a new connection.
    async fn open(&self, path: &str) -> Result<(Sender, Receiver)> {
        let mut connection = self.acquire().await?;
        if let Ok(streams) = self.open_on(&connection, path).await {
            return Ok(streams);
        }
        connection.state.is_closed.set(true);
        connection = self.acquire().await?;
        self.open_on(&connection, path).await
    }

    async fn open_on(&self, connection: &Connection, path: &str) -> Result<(Sender, Receiver)> {
        connection.state.has_activity.set(true);
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}{path}", self.shared.address))
            .header("content-type", "application/grpc")
            .header("te", "trailers")
            .body(())
            .change_context(ErrorKind::InvalidInput)?;
        let mut sender = connection
            .sender
            .clone()
            .ready()
            .await
            .change_context(ErrorKind::ConnectionLost)?;
        let (response, stream) = sender
            .send_request(request, false)
            .change_context(ErrorKind::ConnectionLost)?;
        let limit = self.shared.options.message_limit;
        let receiver = Receiver::from_response(response, limit);
        Ok((Sender::new(stream, false), receiver))
    }

    async fn acquire(&self) -> Result<Connection> {
        let mut current = self.shared.current.lock().await;
        if let Some(connection) = &*current
            && !connection.state.is_closed.get()
        {
            return Ok(connection.clone());
        }
        *current = None;
        // Boxed, because the handshake would otherwise enlarge the future of every call.
        let connection = Box::pin(self.shared.connect()).await?;
        *current = Some(connection.clone());
        Ok(connection)
    }
}

impl Shared {
    async fn connect(&self) -> Result<Connection> {
        let socket = socket::connect(self.address, self.options.tls.as_ref()).await?;
        let (sender, driver) = h2::client::Builder::new()
            .initial_window_size(STREAM_WINDOW)
            .initial_connection_window_size(CONNECTION_WINDOW)
            .max_frame_size(FRAME_SIZE)
            .max_header_list_size(self.options.header_limit)
            .enable_push(false)
            .handshake::<Box<dyn Socket>, Bytes>(socket)
            .await
            .change_context(ErrorKind::ConnectionLost)?;
        let state = Rc::new(State::default());
        spawn(drive(driver, Rc::clone(&state), self.address)).detach();
        Ok(Connection { sender, state })
    }
}

/// Drives the connection until it ends or a ping times out.
async fn drive(
    mut driver: h2::client::Connection<Box<dyn Socket>, Bytes>,
    state: Rc<State>,
    address: SocketAddr,
) {
    let pings = driver.ping_pong();
    let probe = std::pin::pin!(probe(pings, Rc::clone(&state)));
    select(driver, probe).await;
    state.is_closed.set(true);
    debug!(%address, "connection closed");
}

/// Pings the server while the connection is in use; returns when a ping fails
/// or times out.
///
/// A connection that a partition interrupts without a reset would otherwise
/// stay in use for minutes.
async fn probe(pings: Option<PingPong>, state: Rc<State>) {
    let Some(mut pings) = pings else {
        return std::future::pending().await;
    };
    loop {
        sleep(PING_PERIOD).await;
        if !state.has_activity.replace(false) {
            continue;
        }
        match timeout(PING_TIMEOUT, pings.ping(Ping::opaque())).await {
            Ok(Ok(_)) => {}
            Ok(Err(_)) | Err(_) => return,
        }
    }
}

impl fmt::Debug for Client {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Client").field(&self.shared.address).finish()
    }
}
