//! Cancel requests of clients, for sessions of this host and of others.

use std::rc::Rc;
use std::time::Duration;

use burdockslip_runtime::timeout;
use burdockslip_types::{Exchange, domain};

use super::registry::{host_prefix, process_prefix};
use crate::host::Host;

/// The timeout for forwarding a cancel request to another host.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

domain! {
    /// Asks a host to cancel a statement of one of its sessions.
    pub(crate) struct Cancel {
        /// The process number of the session.
        pub(crate) process: i32,
        /// The secret of the session.
        pub(crate) secret: i32,
    }
}

/// The exchange that forwards a [`Cancel`]; the reply is whether the session was
/// found and the secret is right.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CancelExchange;

impl Exchange for CancelExchange {
    type Request = Cancel;
    type Reply = bool;
    const NAME: &'static str = "cancel";
}

/// Cancels the running statement of a session, on this host or on the host that
/// serves the session, if the secret is right.
///
/// Several hosts can share a prefix of process numbers; all of them are asked.
pub(super) async fn cancel_session(host: &Rc<Host>, process: i32, secret: i32) {
    if host.sessions.cancel(process, secret) {
        return;
    }
    let request = Cancel { process, secret };
    let prefix = process_prefix(process);
    let view = host.placement.view();
    let peers: Vec<_> = view
        .live()
        .chain(view.leaving())
        .map(|peer| peer.host.clone())
        .filter(|peer| *peer != host.options.host && host_prefix(peer) == prefix)
        .collect();
    for peer in peers {
        let call = host.peers.call::<CancelExchange>(&peer, &request);
        // The protocol has no response to a cancel request, so errors are ignored.
        let _ = timeout(CANCEL_TIMEOUT, call).await;
    }
}

/// Handles a cancel request that another host forwarded.
pub(crate) fn cancel(host: &Host, request: &Cancel) -> bool {
    host.sessions.cancel(request.process, request.secret)
}
