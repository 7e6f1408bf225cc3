//! Accepts client connections and carries their messages.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use burdockslip_runtime::{Instant, Task, now, sleep, sleep_until, spawn, timeout, timeout_at};
use burdockslip_statement::{ClientMessage, ClientResponse, Query, TransactionStatus};
use burdockslip_types::{ErrorKind, Result};
use burdockslip_upstream::{Framed, configure_socket};
use bytes::BytesMut;
use error_stack::Report;
use futures::future::{Either, select};
use monoio::net::{ListenerOpts, TcpListener, TcpStream};
use tracing::{info, warn};

use crate::Context;
use crate::session::{Session, Verdict, text};
use crate::stop::{Level, StopSignal};

/// How long a new connection may take to say what it wants.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// Bounds the time to send an answer to a client that does not read.
const SEND_TIMEOUT: Duration = Duration::from_secs(5);

/// How long a client may take to close a session whose end it was told.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// How long a client may go on sending a message that cannot be used.
const FINISH_TIMEOUT: Duration = Duration::from_secs(1);

/// Waits this long after a failed accept, which happens when descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Listens for clients until dropped.
#[derive(Debug)]
pub struct Listener {
    address: SocketAddr,
    _task: Task<()>,
}

impl Listener {
    /// Listens on `address`.
    ///
    /// # Errors
    ///
    /// Returns `InvalidInput` if the address cannot be bound.
    pub fn bind(address: SocketAddr, cx: Rc<Context>, stop: Rc<StopSignal>) -> Result<Self> {
        let failed = |error| {
            Report::new(error)
                .attach(format!("client address {address}"))
                .change_context(ErrorKind::InvalidInput)
        };
        // A second process on the same address would share its clients unnoticed.
        let options = ListenerOpts::new().reuse_port(false);
        let listener = TcpListener::bind_with_config(address, &options).map_err(failed)?;
        let address = listener.local_addr().map_err(failed)?;
        Ok(Self {
            address,
            _task: spawn(accept(listener, cx, stop)),
        })
    }

    /// Returns the address on which it listens.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }
}

async fn accept(listener: TcpListener, cx: Rc<Context>, stop: Rc<StopSignal>) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) if cx.open_sessions.get() >= cx.limits.sessions => {
                warn!(%peer, open = cx.open_sessions.get(), "client connection refused, too many are open");
                drop(stream);
            }
            Ok((stream, _)) => {
                cx.open_sessions.set(cx.open_sessions.get() + 1);
                let (cx, stop) = (Rc::clone(&cx), Rc::clone(&stop));
                spawn(async move {
                    configure_socket(&stream);
                    serve(&cx, &stop, stream).await;
                    cx.open_sessions.set(cx.open_sessions.get() - 1);
                })
                .detach();
            }
            Err(error) => {
                warn!(%error, "client connection not accepted");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(cx: &Rc<Context>, stop: &StopSignal, stream: TcpStream) {
    let mut framed = Framed::new(stream);
    let Ok(first) = timeout(CONNECT_TIMEOUT, framed.next(cx.codec.read_client)).await else {
        return;
    };
    let opened = match first {
        Ok(ClientMessage::Connect { database, key }) => {
            let opened = Session::open(Rc::clone(cx), database.clone(), key);
            // A session that ends at once would lose the query that its client
            // sends as soon as the session is open.
            let opened = opened.and_then(|session| match stop.level() {
                Level::Open => Ok(session),
                _ => Err(stop.reason()),
            });
            if let Err(kind) = &opened {
                info!(database, outcome = ?kind, "session refused");
            }
            opened
        }
        Ok(ClientMessage::Release) => return,
        Ok(ClientMessage::Query(_) | ClientMessage::Malformed) => Err(ErrorKind::Protocol),
        Err(report) => match *report.current_context() {
            ErrorKind::ConnectionLost => return,
            kind => Err(kind),
        },
    };
    match opened {
        Ok(mut session) => {
            let hello = ready();
            if send(cx, &mut framed, &hello, true).await {
                converse(cx, stop, &mut framed, &mut session).await;
            }
            session.abort("client gone");
        }
        Err(kind) => {
            send(
                cx,
                &mut framed,
                &ClientResponse::failed(kind, TransactionStatus::Idle),
                true,
            )
            .await;
        }
    }
}

/// Answers a new session: there is a state, but no result.
const fn ready() -> ClientResponse {
    ClientResponse::done(TransactionStatus::Idle)
}

async fn converse(cx: &Rc<Context>, stop: &StopSignal, framed: &mut Framed, session: &mut Session) {
    loop {
        let query = match receive(cx, stop, framed, session).await {
            Received::Query(query) => query,
            Received::Unusable(kind) => {
                let response = ClientResponse::failed(kind, session.transaction());
                if send(cx, framed, &response, false).await {
                    // A client that goes on sending is cut off after a while.
                    let _ = timeout(FINISH_TIMEOUT, framed.finish()).await;
                }
                return;
            }
            Received::HostStops => return end_idle(cx, framed, stop.reason()).await,
            Received::Closed => return,
        };
        let verdict = run(stop, session, query).await;
        if !send(cx, framed, &verdict.response, false).await || verdict.is_final {
            return;
        }
    }
}

/// Runs a statement, or gives it up when the process is about to end.
async fn run(stop: &StopSignal, session: &mut Session, query: Query) -> Verdict {
    let kind = session.kind_if_given_up(&query);
    let id = query.id.clone();
    let running = Box::pin(session.handle(query));
    let verdict = match select(running, Box::pin(stop.ending())).await {
        Either::Left((verdict, _)) => Some(verdict),
        Either::Right(_) => None,
    };
    verdict.unwrap_or_else(|| session.give_up(&id, kind))
}

/// Ends a session whose client waits for nothing.
///
/// The client may send a query at this moment and would not learn what became
/// of it if the connection were closed. It is told instead: on an error that
/// answers nothing it closes the session. If a query has crossed the error,
/// the error is taken as its answer, which the state completes.
async fn end_idle(cx: &Context, framed: &mut Framed, reason: ErrorKind) {
    let until = now() + CLOSE_TIMEOUT;
    let notice = ClientResponse::failed(reason, TransactionStatus::Idle);
    while send(cx, framed, &notice, true).await {
        match timeout_at(until, framed.next(cx.codec.read_client)).await {
            Ok(Ok(ClientMessage::Query(query))) => {
                info!(id = text(&query.id), outcome = ?reason, "statement refused, session ends");
                if !send(cx, framed, &ready(), true).await {
                    return;
                }
            }
            _ => return,
        }
    }
}

/// Says what a session has to do next.
enum Received {
    Query(Query),
    /// The message cannot be used.
    Unusable(ErrorKind),
    /// The host ends the session.
    HostStops,
    /// The client has ended the session.
    Closed,
}

/// Waits for the next message.
async fn receive(
    cx: &Rc<Context>,
    stop: &StopSignal,
    framed: &mut Framed,
    session: &mut Session,
) -> Received {
    loop {
        let seen = stop.epoch();
        let is_idle = session.transaction() == TransactionStatus::Idle;
        match stop.level() {
            Level::Ending => {
                session.abort("host ends");
                return Received::HostStops;
            }
            Level::ClosingIdle | Level::ClosingAll if is_idle && framed.is_quiet() => {
                return Received::HostStops;
            }
            Level::ClosingAll if framed.is_quiet() => session.abort("host stops"),
            _ => {}
        }
        let limit = session.idle_limit();
        let message = Box::pin(framed.next(cx.codec.read_client));
        let interrupt = Box::pin(interrupt(stop, seen, limit));
        match select(message, interrupt).await {
            Either::Left((Ok(ClientMessage::Query(query)), _)) => return Received::Query(query),
            Either::Left((Ok(ClientMessage::Release), _)) => return Received::Closed,
            Either::Left((Ok(_), _)) => return Received::Unusable(ErrorKind::Protocol),
            Either::Left((Err(report), _)) => {
                return match *report.current_context() {
                    ErrorKind::ConnectionLost => Received::Closed,
                    kind => Received::Unusable(kind),
                };
            }
            Either::Right((Interrupt::Idle, _)) => session.abort("idle for too long"),
            Either::Right((Interrupt::Stop, _)) => {}
        }
    }
}

enum Interrupt {
    Idle,
    Stop,
}

async fn interrupt(stop: &StopSignal, seen: u64, limit: Option<Instant>) -> Interrupt {
    let changed = stop.changed(seen);
    let Some(limit) = limit else {
        changed.await;
        return Interrupt::Stop;
    };
    match select(changed, sleep_until(limit)).await {
        Either::Left(_) => Interrupt::Stop,
        Either::Right(_) => Interrupt::Idle,
    }
}

/// Sends an answer and returns whether the connection still works.
async fn send(
    cx: &Context,
    framed: &mut Framed,
    response: &ClientResponse,
    is_opening: bool,
) -> bool {
    let mut bytes = BytesMut::new();
    let write = if is_opening {
        cx.codec.write_greeting
    } else {
        cx.codec.write_response
    };
    write(response, &mut bytes);
    matches!(timeout(SEND_TIMEOUT, framed.send(bytes)).await, Ok(Ok(())))
}
