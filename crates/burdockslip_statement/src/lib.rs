//! Defines statements, answers and commands independent of how they are written on the wire.
//!
//! An adapter supplies a [`Dialect`]; see `docs/platform.md`, "Seams".

mod answer;
mod command;
mod dialect;
mod request;

pub use answer::{Answer, Failure, MemberStatus, Reply, Response, Transaction};
pub use command::Command;
pub use dialect::Dialect;
pub use request::{Access, Inbound, Query, Statement};
