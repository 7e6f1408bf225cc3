//! The endpoint of a host: accepts clients, authenticates them and runs their sessions.

mod cancel;
mod dispatch;
mod listener;
mod parameter;
mod registry;
mod request;
mod session;
mod startup;

pub(crate) use cancel::{CancelExchange, cancel};
pub(crate) use listener::bind;
pub(crate) use registry::Sessions;
