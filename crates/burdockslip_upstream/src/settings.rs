//! Sets socket options that reveal dead peers.

use std::time::Duration;

use monoio::net::TcpStream;
use tracing::debug;

/// How long a connection is idle before it is probed.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(3);

/// How often an idle connection is probed.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Probes without an answer after which the connection breaks.
const KEEPALIVE_PROBES: u32 = 2;

/// Disables delays and makes the kernel break connections to silent peers.
pub fn configure_socket(stream: &TcpStream) {
    let outcome = stream.set_nodelay(true).and_then(|()| {
        stream.set_tcp_keepalive(
            Some(KEEPALIVE_IDLE),
            Some(KEEPALIVE_INTERVAL),
            Some(KEEPALIVE_PROBES),
        )
    });
    if let Err(error) = outcome {
        // The time limits of requests still hold without these options.
        debug!(%error, "socket option refused");
    }
}
