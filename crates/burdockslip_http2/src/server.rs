//! A server that accepts connections and runs a handler for each stream.

use std::cell::RefCell;
use std::fmt;
use std::future::{Future, poll_fn};
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use burdockslip_runtime::{Task, spawn, timeout};
use burdockslip_types::{ErrorKind, Result};
use bytes::Bytes;
use error_stack::ResultExt;
use futures::channel::oneshot;
use futures::future::{FutureExt, LocalBoxFuture, Shared};
use futures::stream::{FuturesUnordered, StreamExt};
use h2::RecvStream;
use h2::server::{Connection, SendResponse};
use http::{Request, Response};
use monoio::net::{ListenerOpts, TcpListener, TcpStream};
use tracing::{debug, warn};

use crate::options::{CONNECTION_WINDOW, FRAME_SIZE, Options, STREAM_WINDOW};
use crate::socket::{self, Socket};
use crate::{Receiver, Sender};

/// The timeout for the TLS and HTTP/2 handshakes of a client.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);

type Handler = dyn Fn(String, Receiver, Sender) -> LocalBoxFuture<'static, ()>;

/// Completes when the server is asked to close.
type Closing = Shared<oneshot::Receiver<()>>;

/// Serves streams until it is closed or dropped.
///
/// Dropping it immediately ends all connections and stops their handlers.
pub struct Server {
    address: SocketAddr,
    close_signal: RefCell<Option<oneshot::Sender<()>>>,
    accept_task: RefCell<Option<Task<()>>>,
}

struct Service {
    options: Options,
    handler: Box<Handler>,
    closing: Closing,
}

impl Server {
    /// Listens on `address`, where port zero picks a free port, with default options.
    ///
    /// The handler gets the path, the receiver of the request's messages and the
    /// sender of the reply, which it must close. Its future is dropped when the
    /// connection breaks; the handler must spawn work that has to outlive it.
    ///
    /// # Errors
    ///
    /// Returns `InvalidInput` if the address cannot be bound.
    pub fn bind<F>(address: SocketAddr, handler: F) -> Result<Self>
    where
        F: Fn(String, Receiver, Sender) -> LocalBoxFuture<'static, ()> + 'static,
    {
        Self::with_options(address, Options::default(), handler)
    }

    /// Like [`bind`](Self::bind), with the given options.
    ///
    /// # Errors
    ///
    /// Returns `InvalidInput` if the address cannot be bound.
    pub fn with_options<F>(address: SocketAddr, options: Options, handler: F) -> Result<Self>
    where
        F: Fn(String, Receiver, Sender) -> LocalBoxFuture<'static, ()> + 'static,
    {
        // If the port could be shared, a second process that binds it would
        // silently receive half of the connections.
        let config = ListenerOpts::new().reuse_port(false).backlog(1024);
        let listener = TcpListener::bind_with_config(address, &config)
            .change_context(ErrorKind::InvalidInput)?;
        let address = listener
            .local_addr()
            .change_context(ErrorKind::InvalidInput)?;
        let (signal, closing) = oneshot::channel();
        let service = Rc::new(Service {
            options,
            handler: Box::new(handler),
            closing: closing.shared(),
        });
        Ok(Self {
            address,
            close_signal: RefCell::new(Some(signal)),
            accept_task: RefCell::new(Some(spawn(accept(listener, service)))),
        })
    }

    /// Returns the address with the port that was bound.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections and waits until the streams in flight have ended.
    ///
    /// There is no timeout, and streams such as watches do not end by
    /// themselves: callers add a timeout and then drop the server.
    pub async fn close(&self) {
        drop(self.close_signal.take());
        let accept_task = self.accept_task.take();
        if let Some(task) = accept_task {
            task.await;
        }
    }
}

impl fmt::Debug for Server {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Server")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

/// Accepts connections until the server closes, then waits for open ones to end.
async fn accept(listener: TcpListener, service: Rc<Service>) {
    let mut connections = FuturesUnordered::new();
    let mut closing = service.closing.clone();
    loop {
        let accepted = {
            let accepting = pin!(listener.accept());
            match unless_closing(accepting, &mut connections, &mut closing).await {
                Some(accepted) => accepted,
                None => break,
            }
        };
        match accepted {
            Ok((stream, _)) => connections.push(spawn(serve(stream, Rc::clone(&service)))),
            Err(error) => warn!(%error, "cannot accept a connection"),
        }
    }
    drop(listener);
    while connections.next().await.is_some() {}
}

/// Waits for `future` and removes completed tasks meanwhile; returns `None` if
/// the server is closing.
async fn unless_closing<F: Future + Unpin>(
    mut future: F,
    tasks: &mut FuturesUnordered<Task<()>>,
    closing: &mut Closing,
) -> Option<F::Output> {
    poll_fn(|cx| {
        while let Poll::Ready(Some(_)) = tasks.poll_next_unpin(cx) {}
        if closing.poll_unpin(cx).is_ready() {
            return Poll::Ready(None);
        }
        future.poll_unpin(cx).map(Some)
    })
    .await
}

/// Serves one connection and runs the handlers of its streams.
async fn serve(stream: TcpStream, service: Rc<Service>) {
    let handshake = timeout(HANDSHAKE_TIMEOUT, handshake(stream, &service.options));
    let mut connection = match handshake.await {
        Ok(Ok(connection)) => connection,
        Ok(Err(error)) => return debug!(?error, "handshake failed"),
        Err(_) => return debug!("handshake timed out"),
    };
    let mut handlers = FuturesUnordered::new();
    let mut closing = service.closing.clone();
    loop {
        let accepting = pin!(connection.accept());
        match unless_closing(accepting, &mut handlers, &mut closing).await {
            Some(Some(Ok((request, respond)))) => {
                handlers.push(spawn(respond_to(request, respond, Rc::clone(&service))));
            }
            Some(Some(Err(_)) | None) => return,
            None => break,
        }
    }
    connection.graceful_shutdown();
    let finish = pin!(async {
        while let Some(Ok((request, respond))) = connection.accept().await {
            handlers.push(spawn(respond_to(request, respond, Rc::clone(&service))));
        }
    });
    finish.await;
}

async fn handshake(
    stream: TcpStream,
    options: &Options,
) -> Result<Connection<Box<dyn Socket>, Bytes>> {
    h2::server::Builder::new()
        .initial_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .max_frame_size(FRAME_SIZE)
        .max_header_list_size(options.header_limit)
        .max_concurrent_streams(options.stream_limit)
        .handshake(socket::accept(stream, options.tls.as_ref()).await?)
        .await
        .change_context(ErrorKind::ConnectionLost)
}

async fn respond_to(
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    service: Rc<Service>,
) {
    let path = request.uri().path().to_owned();
    let receiver = Receiver::from_request(request.into_body(), service.options.message_limit);
    let mut response = Response::new(());
    response.headers_mut().insert(
        "content-type",
        http::HeaderValue::from_static("application/grpc"),
    );
    match respond.send_response(response, false) {
        Ok(stream) => (service.handler)(path, receiver, Sender::new(stream, true)).await,
        Err(error) => debug!(%error, "stream ended before the response"),
    }
}
