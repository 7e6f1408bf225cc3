//! Messages over HTTP/2 on `monoio` sockets, framed as in gRPC.
//!
//! Exchanges between hosts and the store's protocol share this framing; see
//! `docs/design.md`, sections 3.2 and 7.

mod client;
mod frame;
mod options;
mod server;
mod socket;
mod stream;
mod tls;

pub use client::Client;
pub use options::Options;
pub use server::Server;
pub use stream::{Receiver, Sender, Status};
pub use tls::Tls;
