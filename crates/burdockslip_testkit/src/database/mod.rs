//! A stand-in of a database group: a primary, asynchronous replicas, terms and log positions.

mod group;
mod log;
mod server;
mod session;
mod sql;

pub use group::{DatabaseGroup, MemberOptions};
pub use log::{Change, LogEntry};
