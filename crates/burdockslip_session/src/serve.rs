//! Accepts client connections and runs their sessions.

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
use crate::pace::Pace;
use crate::session::{Handled, Session, id_text};
use crate::stop::{Level, StopSignal};

/// The timeout for the first message of a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// The timeout for sending a response, in case the client does not read.
const SEND_TIMEOUT: Duration = Duration::from_secs(5);

/// How long the connection stays open after the client was notified of the end of
/// its session.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// The number of queries that may cross the notice of the end of a session. A client that
/// waits for each answer sends one.
const MAX_REFUSALS: usize = 8;

/// How long further data is discarded after an invalid message before the connection
/// is closed.
const FINISH_TIMEOUT: Duration = Duration::from_secs(1);

/// The pause after a failed accept, which happens when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Listens for client connections until dropped.
#[derive(Debug)]
pub struct Listener {
    address: SocketAddr,
    _task: Task<()>,
}

impl Listener {
    /// Starts to listen on `address`.
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
        // With `SO_REUSEPORT`, a second process on the same address would silently
        // receive some of the clients.
        let options = ListenerOpts::new().reuse_port(false);
        let listener = TcpListener::bind_with_config(address, &options).map_err(failed)?;
        let address = listener.local_addr().map_err(failed)?;
        Ok(Self {
            address,
            _task: spawn(accept(listener, cx, stop)),
        })
    }

    /// Returns the bound address, with the actual port.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }
}

async fn accept(listener: TcpListener, cx: Rc<Context>, stop: Rc<StopSignal>) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) if cx.open_sessions.get() >= cx.limits.sessions => {
                warn!(%peer, open = cx.open_sessions.get(), "client connection refused, limit reached");
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
                warn!(%error, "accepting a client connection failed");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(cx: &Rc<Context>, stop: &StopSignal, stream: TcpStream) {
    let mut framed = Framed::with_budget(stream, Rc::clone(&cx.receive_budget));
    let Ok(first) = timeout(CONNECT_TIMEOUT, framed.next(cx.codec.read_client)).await else {
        return;
    };
    let opened = match first {
        Ok(ClientMessage::Connect { database, key }) => {
            let opened = Session::open(Rc::clone(cx), database.clone(), key);
            // Refuse the session instead of opening and ending it at once: the client
            // sends its first query as soon as the session is open, and it would be lost.
            let opened = opened.and_then(|session| match stop.level() {
                Level::Open if session.has_room() => Ok(session),
                Level::Open => Err(ErrorKind::QueueFull),
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
            let greeting = idle_response();
            if send(cx, &mut framed, &greeting, true).await {
                run_session(cx, stop, &mut framed, &mut session).await;
            }
            session.abort("client disconnected");
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

/// Returns a response that reports the idle status without a result.
const fn idle_response() -> ClientResponse {
    ClientResponse::done(TransactionStatus::Idle)
}

async fn run_session(
    cx: &Rc<Context>,
    stop: &StopSignal,
    framed: &mut Framed,
    session: &mut Session,
) {
    let mut pace = Pace::default();
    while pace
        .run(Box::pin(take_turn(cx, stop, framed, session)))
        .await
    {}
}

/// Handles the next message of a client; returns whether the session goes on.
async fn take_turn(
    cx: &Rc<Context>,
    stop: &StopSignal,
    framed: &mut Framed,
    session: &mut Session,
) -> bool {
    let query = match receive(cx, stop, framed, session).await {
        Received::Query(query) => query,
        Received::Unusable(kind) => {
            let response = ClientResponse::failed(kind, session.transaction_status());
            if send(cx, framed, &response, false).await {
                // The timeout closes the connection if the client keeps sending.
                let _ = timeout(FINISH_TIMEOUT, framed.finish()).await;
            }
            return false;
        }
        Received::HostStops => {
            end_idle(cx, framed, stop.reason()).await;
            return false;
        }
        Received::Closed => return false,
    };
    let handled = run(stop, session, query).await;
    send(cx, framed, &handled.response, false).await && !handled.ends_session
}

/// Runs a statement, and abandons it when the process is about to exit.
async fn run(stop: &StopSignal, session: &mut Session, query: Query) -> Handled {
    let kind = session.kind_if_abandoned(&query);
    let id = query.id.clone();
    let running = Box::pin(session.handle(query));
    let handled = match select(running, Box::pin(stop.exiting())).await {
        Either::Left((handled, _)) => Some(handled),
        Either::Right(_) => None,
    };
    handled.unwrap_or_else(|| session.abandon(&id, kind))
}

/// Ends a session that has no statement in flight.
///
/// If the connection were just closed, a client that sends a query at the same moment
/// would not learn its outcome. Instead, the client gets an error outside any query,
/// on which it closes the session. If a query crosses that error on the wire, the
/// client takes the error as the response to the query, and an idle status is sent
/// to complete the response.
async fn end_idle(cx: &Context, framed: &mut Framed, reason: ErrorKind) {
    let until = now() + CLOSE_TIMEOUT;
    for _ in 0..MAX_REFUSALS {
        if !refuse_next(cx, framed, reason, until).await {
            return;
        }
    }
}

/// Notifies the client of the end of its session, and waits until `until` for a query that
/// crosses the notice; returns whether there was one.
async fn refuse_next(cx: &Context, framed: &mut Framed, reason: ErrorKind, until: Instant) -> bool {
    let notice = ClientResponse::failed(reason, TransactionStatus::Idle);
    if !send(cx, framed, &notice, true).await {
        return false;
    }
    let message = timeout_at(until, framed.next(cx.codec.read_client)).await;
    let Ok(Ok(ClientMessage::Query(query))) = message else {
        return false;
    };
    info!(id = id_text(&query.id), outcome = ?reason, "statement refused, session ends");
    send(cx, framed, &idle_response(), true).await
}

/// The event that a session handles next.
enum Received {
    Query(Query),
    /// The message is invalid or oversized.
    Unusable(ErrorKind),
    /// The host ends the session.
    HostStops,
    /// The client has ended the session.
    Closed,
}

/// Waits for the next message, and rolls back the transaction on timeouts and stops.
async fn receive(
    cx: &Rc<Context>,
    stop: &StopSignal,
    framed: &mut Framed,
    session: &mut Session,
) -> Received {
    loop {
        let seen = stop.epoch();
        let is_idle = session.transaction_status() == TransactionStatus::Idle;
        match stop.level() {
            Level::Exiting => {
                session.abort("host is exiting");
                return Received::HostStops;
            }
            Level::ClosingIdle | Level::ClosingAll if is_idle && framed.is_quiet() => {
                return Received::HostStops;
            }
            Level::ClosingAll if framed.is_quiet() => session.abort("host is stopping"),
            _ => {}
        }
        let deadlines = [session.idle_deadline(), session.evacuation_deadline()];
        let deadline = deadlines.into_iter().flatten().min();
        let message = Box::pin(framed.next(cx.codec.read_client));
        let interrupt = Box::pin(interrupt(stop, seen, deadline));
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
            Either::Right((Interrupt::Overdue, _)) => session.end_overdue(),
            Either::Right((Interrupt::Stop, _)) => {}
        }
    }
}

enum Interrupt {
    /// The open transaction has to end.
    Overdue,
    Stop,
}

async fn interrupt(stop: &StopSignal, seen: u64, deadline: Option<Instant>) -> Interrupt {
    let changed = stop.changed(seen);
    let Some(deadline) = deadline else {
        changed.await;
        return Interrupt::Stop;
    };
    match select(changed, sleep_until(deadline)).await {
        Either::Left(_) => Interrupt::Stop,
        Either::Right(_) => Interrupt::Overdue,
    }
}

/// Sends a response and returns whether that succeeded.
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
