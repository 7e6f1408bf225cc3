//! Accepts clients.

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

/// Connections that may wait to be accepted, enough for a fleet that reconnects.
const BACKLOG: i32 = 1024;

/// Starts to accept clients and returns the address in use.
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
        // An error here concerns one connection, for example one reset before
        // it was accepted, or a momentary lack of descriptors.
        let Ok((io, _)) = listener.accept().await else {
            burdockslip_runtime::sleep(std::time::Duration::from_millis(10)).await;
            continue;
        };
        spawn(serve(io, Rc::clone(&host))).detach();
    }
}

async fn serve(io: TcpStream, host: Rc<Host>) {
    let _counted = host.sessions.count();
    let mut client = ClientStream::new(io, host.options.unit_limit);
    if host.sessions.len() > host.options.client_limit {
        refuse(&host, client, ErrorKind::QueueFull, "").await;
        return;
    }
    let started = timeout(
        host.options.startup_timeout,
        startup::start(&host, &mut client),
    );
    match started.await {
        Ok(Ok(startup::Started::Session(state))) => session::run(host, client, *state).await,
        Ok(Ok(startup::Started::Cancel(process, secret))) => {
            cancel::cancel_anywhere(&host, process, secret).await;
        }
        Ok(Err(report)) => {
            let kind = *report.current_context();
            debug!(host = %host.options.host, error = ?kind, "client refused");
            let detail = report.downcast_ref::<&'static str>();
            refuse(&host, client, kind, detail.copied().unwrap_or_default()).await;
        }
        Err(_) => {
            debug!(host = %host.options.host, "client sent no startup in time");
            refuse(&host, client, ErrorKind::Protocol, "").await;
        }
    }
}

/// Tells a client why it is refused, and closes.
async fn refuse(host: &Host, mut client: ClientStream, kind: ErrorKind, detail: &str) {
    // The client may be gone already, or read nothing.
    let answer = client.write(error_response(kind, detail));
    let _ = timeout(host.options.write_timeout, answer).await;
    client.close().await;
}
