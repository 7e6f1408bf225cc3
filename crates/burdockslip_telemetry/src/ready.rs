//! Tells a balancer whether the host takes new clients.

use std::net::SocketAddr;
use std::rc::Rc;

use burdockslip_types::Result;

use crate::AdminServer;
use crate::admin::listen;
use crate::http::Response;

/// Listens on `address` and answers requests for `path` by what `is_ready` returns.
///
/// # Errors
///
/// Returns `ConnectionLost` if the address cannot be bound.
pub fn serve_readiness(
    address: SocketAddr,
    path: &'static str,
    is_ready: Rc<dyn Fn() -> bool>,
) -> Result<AdminServer> {
    listen(address, move |asked| match asked == path {
        true if is_ready() => Response::text(200, "ready\n"),
        true => Response::text(503, "not ready\n"),
        false => Response::text(404, "not found\n"),
    })
}
