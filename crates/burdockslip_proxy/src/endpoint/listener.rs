//! The listener for clients.

use std::net::SocketAddr;
use std::rc::Rc;

use burdockslip_runtime::{Task, spawn, timeout};
use burdockslip_types::{ErrorKind, Result};
use burdockslip_wire::{ClientStream, error_response};
use error_stack::ResultExt;
use monoio::net::{ListenerOpts, TcpListener, TcpStream};
use tracing::debug;

use super::startup;
use super::{cancel, session};
use crate::host::Host;

/// The length of the accept queue. It absorbs the burst when all clients
/// reconnect at once.
const BACKLOG: i32 = 1024;

/// Starts accepting clients; returns the task, which stops accepting when it is
/// aborted, and the bound address.
///
/// # Errors
///
/// Returns `InvalidInput` if the address cannot be bound.
pub(crate) fn bind(host: &Rc<Host>) -> Result<(Task<()>, SocketAddr)> {
    let config = ListenerOpts::new().reuse_port(false).backlog(BACKLOG);
    let listener = TcpListener::bind_with_config(host.options.client_address, &config)
        .change_context(ErrorKind::InvalidInput)?;
    let address = listener
        .local_addr()
        .change_context(ErrorKind::InvalidInput)?;
    let task = spawn(accept(listener, Rc::clone(host)));
    Ok((task, address))
}

async fn accept(listener: TcpListener, host: Rc<Host>) {
    loop {
        // Errors here are temporary: a connection was reset before it was
        // accepted, or file descriptors ran out.
        let Ok((io, _)) = listener.accept().await else {
            burdockslip_runtime::sleep(std::time::Duration::from_millis(10)).await;
            continue;
        };
        spawn(serve(io, Rc::clone(&host))).detach();
    }
}

async fn serve(io: TcpStream, host: Rc<Host>) {
    let _count_guard = host.sessions.count();
    let mut client = ClientStream::new(io, host.options.unit_limit);
    if host.sessions.len() > host.options.client_limit {
        refuse(&host, client, ErrorKind::QueueFull, "").await;
        return;
    }
    let outcome = timeout(
        host.options.startup_timeout,
        startup::start(&host, &mut client),
    );
    match outcome.await {
        Ok(Ok(startup::StartupOutcome::Session(state))) => session::run(host, client, *state).await,
        Ok(Ok(startup::StartupOutcome::Cancel(process, secret))) => {
            cancel::cancel_session(&host, process, secret).await;
        }
        Ok(Err(report)) => {
            let kind = *report.current_context();
            debug!(host = %host.options.host, error = ?kind, "client refused");
            let detail = report.downcast_ref::<&'static str>();
            refuse(&host, client, kind, detail.copied().unwrap_or_default()).await;
        }
        Err(_) => {
            debug!(host = %host.options.host, "startup timed out");
            refuse(&host, client, ErrorKind::Protocol, "").await;
        }
    }
}

/// Sends an error to a client and closes the connection.
async fn refuse(host: &Host, mut client: ClientStream, kind: ErrorKind, detail: &str) {
    // Errors are ignored: the client may be gone, or may not read.
    let answer = client.write(error_response(kind, detail));
    let _ = timeout(host.options.write_timeout, answer).await;
    client.close().await;
}
