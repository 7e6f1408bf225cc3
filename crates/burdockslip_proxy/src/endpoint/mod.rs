//! Serves the clients of a host.

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
