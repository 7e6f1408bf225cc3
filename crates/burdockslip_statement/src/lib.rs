//! Messages between clients, the proxy and members, independent of the wire format.
//!
//! An adapter supplies the wire format as a [`Codec`]; see `docs/platform.md`, "Seams".

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
