//! Defines the messages between endpoints and authorities.

use std::time::Duration;

use burdockslip_types::{Exchange, HostId, Organisation, Revision, Zone, domain};

use crate::{Rate, Tokens};

domain! {
    /// Numbers a shard of organisations; a zone has one authority for each.
    #[derive(Copy)]
    #[serde(transparent)]
    pub struct Shard(pub u32);

    /// Lists the requests to an authority or to a host of its zone.
    pub enum Request {
        /// Asks the authority for tokens.
        Grant {
            /// The organisation.
            organisation: Organisation,
            /// The tokens wanted.
            wanted: Tokens,
            /// The tokens of the requests that arrived since the last report, from which loans are sized.
            arrived: Tokens,
        },
        /// Asks the authority of another zone for part of its rate.
        Borrow {
            /// The organisation.
            organisation: Organisation,
            /// The zone that borrows.
            zone: Zone,
            /// The rate wanted.
            rate: Rate,
            /// How long it is wanted.
            ttl: Duration,
            /// The sender's clock in microseconds, which orders its requests.
            sequence: u64,
        },
        /// Asks a host of the zone not to claim a shard for a time.
        Pledge {
            /// The shard.
            shard: Shard,
            /// How long the pledge is to last.
            ttl: Duration,
        },
        /// Asks whether the host would take a shard over.
        Offer(Shard),
        /// Hands over a shard for which the sender grants nothing more.
        HandOver {
            /// The shard.
            shard: Shard,
            /// The revision of the sender's record, which the receiver replaces.
            revision: Revision,
            /// The buckets, valid only if the receiver replaces that record.
            levels: Vec<BucketLevel>,
        },
    }

    /// Holds what is left in the bucket of an organisation.
    pub struct BucketLevel {
        /// The organisation.
        pub organisation: Organisation,
        /// The tokens.
        pub tokens: Tokens,
    }

    /// Lists the replies.
    pub enum Reply {
        /// Grants tokens; the life counts from before the request was sent.
        Granted {
            /// The tokens, possibly fewer than wanted.
            count: Tokens,
            /// How long they live.
            ttl: Duration,
            /// When the missing tokens are expected.
            retry_after: Duration,
        },
        /// Lends a rate; the life counts from before the request was sent.
        Lent {
            /// The rate, possibly zero.
            rate: Rate,
            /// How long it may be used.
            ttl: Duration,
        },
        /// Answers a request for a pledge.
        Pledged(bool),
        /// Answers an offer or a hand-over.
        Accepted(bool),
        /// Reports that this host has no valid authority over the shard.
        NotOwner,
    }
}

domain! {
    /// Adds the sender to a request.
    pub struct Envelope {
        /// The host that sends.
        pub from: HostId,
        /// The request.
        pub request: Request,
    }
}

/// Carries the messages of this crate.
#[derive(Debug, Clone, Copy)]
pub struct RateExchange;

impl Exchange for RateExchange {
    type Request = Envelope;
    type Reply = Reply;
    const NAME: &'static str = "rates";
}
