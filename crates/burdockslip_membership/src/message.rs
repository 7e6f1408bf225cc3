//! Defines the messages of the gossip.

use burdockslip_types::{Exchange, domain};

use crate::{Record, Rumor};

domain! {
    /// Checks a host and passes changes on; the answer has the same form.
    pub struct Ping {
        /// The sender.
        pub from: Record,
        /// The checksum of the sender's table.
        pub checksum: u64,
        /// The latest changes, bounded in number.
        pub rumors: Vec<Rumor>,
    }

    /// Asks for the parts of the table whose checksums differ.
    pub struct Sync {
        /// The checksums of the sender's buckets.
        pub checksums: Vec<u64>,
        /// The bucket to start at, so that bounded replies reach all of them.
        pub start: u64,
    }

    /// Lists the requests between hosts.
    pub enum Request {
        /// Checks a host.
        Ping(Ping),
        /// Compares tables.
        Sync(Sync),
        /// Announces that the sender shuts down.
        Leaving(Record),
    }

    /// Lists the replies, one for each request.
    pub enum Reply {
        /// Answers `Ping`.
        Pong(Ping),
        /// Answers `Sync`; the flag tells that the bound left out records.
        Records(Vec<Rumor>, bool),
        /// Answers `Leaving`.
        Done,
    }
}

/// Carries the gossip.
#[derive(Debug)]
pub struct Gossip;

impl Exchange for Gossip {
    type Request = Request;
    type Reply = Reply;
    const NAME: &'static str = "gossip";
}
