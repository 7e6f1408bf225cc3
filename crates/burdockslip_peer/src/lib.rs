//! Typed messages between hosts, encoded with `bincode` and sent over HTTP/2 streams.
//!
//! See `docs/design.md`, section 3.2.

mod codec;
mod pool;
mod router;
mod stream;

pub use burdockslip_http2::Tls;
pub use codec::{MESSAGE_LIMIT, VERSION};
pub use pool::PeerPool;
pub use router::{PeerServer, Router};
pub use stream::{StreamReceiver, StreamSender};
