//! Defines statements, answers and commands independent of how they are written on the wire.
//!
//! An adapter supplies a [`Codec`]; see `docs/platform.md`, "Seams".

mod answer;
mod command;
mod dialect;
mod request;

pub use answer::{
    ClientResponse, MemberError, MemberMessage, MemberReply, MemberStatus, TransactionStatus,
};
pub use command::Command;
pub use dialect::Codec;
pub use request::{Access, ClientMessage, Query, Statement};
