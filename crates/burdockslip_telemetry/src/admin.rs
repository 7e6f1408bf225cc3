//! Serves metrics, health, readiness and status to operators and the platform.

use std::cell::Cell;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;

use burdockslip_runtime::{Task, sleep, spawn, timeout};
use burdockslip_types::{ErrorKind, Result};
use error_stack::Report;
use monoio::io::{AsyncReadRent, AsyncWriteRent};
use monoio::net::{TcpListener, TcpStream};

use crate::http::{self, EXCHANGE_TIMEOUT, Response};
use crate::{HostStatus, Metrics};

/// Bounds the admin connections that are open at once.
pub const MAX_CONNECTIONS: usize = 32;

/// Waits this long after a failed accept, which happens when file descriptors run out.
const ACCEPT_PAUSE: std::time::Duration = std::time::Duration::from_millis(100);

/// Holds what the admin endpoint shows.
#[derive(Clone)]
pub struct Admin {
    /// The metrics of the host.
    pub metrics: Metrics,
    /// Returns the status of the host, which also says whether it is ready.
    pub status: Rc<dyn Fn() -> HostStatus>,
}

impl Admin {
    /// Answers a request for `path`.
    pub fn respond(&self, path: &str) -> Response {
        match path {
            "/metrics" => match self.metrics.render() {
                Ok(body) => Response {
                    status: 200,
                    content_type: "text/plain; version=0.0.4",
                    body,
                },
                Err(_) => Response::text(500, "metrics cannot be rendered\n"),
            },
            "/health" => Response::text(200, "ok\n"),
            "/ready" if (self.status)().is_ready => Response::text(200, "ready\n"),
            "/ready" => Response::text(503, "not ready\n"),
            "/status" => Response {
                status: 200,
                content_type: "application/json",
                body: serde_json::to_string(&(self.status)())
                    .expect("a status is texts and numbers"),
            },
            _ => Response::text(404, "not found\n"),
        }
    }
}

impl fmt::Debug for Admin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Admin")
    }
}

/// Stands for a running admin endpoint, which stops when dropped.
#[derive(Debug)]
pub struct AdminServer {
    address: SocketAddr,
    _task: Task<()>,
}

impl AdminServer {
    /// Returns the address on which it listens.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }
}

/// Listens on `address` and answers requests for `/metrics`, `/health`,
/// `/ready` and `/status`.
///
/// # Errors
///
/// Returns `ConnectionLost` if the address cannot be bound.
pub fn serve_admin(address: SocketAddr, admin: Admin) -> Result<AdminServer> {
    listen(address, move |path| admin.respond(path))
}

/// Listens on `address` and answers requests by their paths.
pub(crate) fn listen(
    address: SocketAddr,
    answer: impl Fn(&str) -> Response + 'static,
) -> Result<AdminServer> {
    let failed = |error| {
        Report::new(error)
            .attach(format!("address {address}"))
            .change_context(ErrorKind::ConnectionLost)
    };
    let listener = TcpListener::bind(address).map_err(failed)?;
    let address = listener.local_addr().map_err(failed)?;
    Ok(AdminServer {
        address,
        _task: spawn(accept(listener, Rc::new(answer))),
    })
}

type Answer = Rc<dyn Fn(&str) -> Response>;

async fn accept(listener: TcpListener, answer: Answer) {
    let open = Rc::new(Cell::new(0_usize));
    loop {
        match listener.accept().await {
            // A connection over the bound is closed at once.
            Ok((stream, _)) if open.get() < MAX_CONNECTIONS => {
                let guard = Guard::new(&open);
                spawn(serve(stream, Rc::clone(&answer), guard)).detach();
            }
            Ok(_) => {}
            Err(error) => {
                tracing::warn!(%error, "admin endpoint cannot accept a connection");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(mut stream: TcpStream, answer: Answer, guard: Guard) {
    exchange(&mut stream, &*answer).await;
    drop(guard);
}

/// Answers one request on a connection within [`EXCHANGE_TIMEOUT`] for each direction.
pub async fn serve_connection<S: AsyncReadRent + AsyncWriteRent>(stream: &mut S, admin: &Admin) {
    exchange(stream, &|path| admin.respond(path)).await;
}

async fn exchange<S: AsyncReadRent + AsyncWriteRent>(
    stream: &mut S,
    answer: &dyn Fn(&str) -> Response,
) {
    let path = timeout(EXCHANGE_TIMEOUT, http::read_path(stream)).await;
    let response = match path {
        Ok(Ok(path)) => answer(&path),
        Ok(Err(response)) => response,
        Err(_) => Response::text(408, "request too slow\n"),
    };
    // A receiver that is too slow is dropped without notice.
    let _ = timeout(EXCHANGE_TIMEOUT, http::write(stream, &response)).await;
}

/// Counts an open connection until dropped.
struct Guard(Rc<Cell<usize>>);

impl Guard {
    fn new(open: &Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        Self(Rc::clone(open))
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
