//! Cancels statements, on this host or on the one that serves the session.

use std::rc::Rc;
use std::time::Duration;

use burdockslip_runtime::timeout;
use burdockslip_types::{Exchange, domain};

use super::registry::{host_prefix, prefix_of};
use crate::host::Host;

/// Time within which a cancel request is passed on.
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

/// Carries [`Cancel`]; the reply says whether the session was found.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CancelExchange;

impl Exchange for CancelExchange {
    type Request = Cancel;
    type Reply = bool;
    const NAME: &'static str = "cancel";
}

/// Cancels a statement if the secret is right, here or at the session's host.
pub(super) async fn cancel_anywhere(host: &Rc<Host>, process: i32, secret: i32) {
    if host.sessions.cancel(process, secret) {
        return;
    }
    let request = Cancel { process, secret };
    let prefix = prefix_of(process);
    let view = host.placement.view();
    let peers: Vec<_> = view
        .live()
        .chain(view.leaving())
        .map(|peer| peer.host.clone())
        .filter(|peer| *peer != host.options.host && host_prefix(peer) == prefix)
        .collect();
    for peer in peers {
        let call = host.peers.call::<CancelExchange>(&peer, &request);
        // The protocol has no answer to a cancel request, so failures stay silent.
        let _ = timeout(CANCEL_TIMEOUT, call).await;
    }
}

/// Handles a request that another host passed on.
pub(crate) fn cancel(host: &Host, request: &Cancel) -> bool {
    host.sessions.cancel(request.process, request.secret)
}
