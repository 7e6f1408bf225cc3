//! The messages of the gossip protocol.

use burdockslip_types::{Exchange, domain};

use crate::{Record, Rumor};

domain! {
    /// Probes a host and propagates recent changes; the reply has the same form.
    pub struct Ping {
        /// The sender's record about itself.
        pub from: Record,
        /// The checksum of the sender's table.
        pub checksum: u64,
        /// The most recent changes, limited in number.
        pub rumors: Vec<Rumor>,
    }

    /// Requests the records of the buckets whose checksums differ.
    pub struct Sync {
        /// The checksum of each bucket of the sender's table.
        pub checksums: Vec<u64>,
        /// The bucket at which the reply starts, modulo the number of buckets; it
        /// varies so that replies of limited size cover all of them over time.
        pub start: u64,
    }

    /// The requests of the gossip protocol.
    pub enum Request {
        /// Probes a host.
        Ping(Ping),
        /// Compares tables by the checksums of their buckets.
        Sync(Sync),
        /// Announces that the sender is shutting down.
        Leaving(Record),
    }

    /// The replies of the gossip protocol, one for each request.
    pub enum Reply {
        /// The reply to `Ping`.
        Pong(Ping),
        /// The reply to `Sync`; the flag is set if records were left out because
        /// of the size limit.
        Records(Vec<Rumor>, bool),
        /// The reply to `Leaving`.
        Done,
    }
}

/// The exchange that carries gossip messages between hosts.
#[derive(Debug)]
pub struct Gossip;

impl Exchange for Gossip {
    type Request = Request;
    type Reply = Reply;
    const NAME: &'static str = "gossip";
}
