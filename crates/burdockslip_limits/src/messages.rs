//! The messages between limiters and authorities, and between authorities.

use std::time::Duration;

use burdockslip_types::{Exchange, HostId, Organisation, Revision, Zone, domain};

use crate::{Rate, Tokens};

domain! {
    /// The number of a shard of organisations, from 0 to one less than
    /// [`Settings::shards`](crate::Settings::shards).
    ///
    /// Each zone has at most one authority for each shard.
    #[derive(Copy)]
    #[serde(transparent)]
    pub struct Shard(pub u32);

    /// A request to an authority, or to a host that could become one.
    pub enum Request {
        /// Requests tokens from the authority.
        Grant {
            /// The organisation.
            organisation: Organisation,
            /// The number of tokens wanted.
            wanted: Tokens,
            /// The total cost of the requests that arrived at the sender since its last `Grant`
            /// request. The authority estimates the demand from it and sizes loans accordingly.
            arrived: Tokens,
        },
        /// Requests part of the rate of another zone from its authority.
        Borrow {
            /// The organisation.
            organisation: Organisation,
            /// The zone that borrows.
            zone: Zone,
            /// The rate wanted; zero returns the loan.
            rate: Rate,
            /// How long the loan is wanted.
            ttl: Duration,
            /// The sender's clock in microseconds, which gives the order of its requests.
            sequence: u64,
        },
        /// Requests a pledge: the receiver must not claim the shard for a time.
        ///
        /// With the pledges of all hosts of its zone, an authority continues
        /// while it cannot renew its lease in the store.
        Pledge {
            /// The shard.
            shard: Shard,
            /// How long the pledge is valid, counted by the sender from before it sent the request.
            ttl: Duration,
        },
        /// Asks whether the receiver would accept the hand-over of a shard.
        Offer(Shard),
        /// Hands over a shard for which the sender no longer grants tokens.
        HandOver {
            /// The shard.
            shard: Shard,
            /// The revision of the sender's record in the store, which the receiver replaces.
            revision: Revision,
            /// The bucket levels, which the receiver may use only if it replaced that record.
            levels: Vec<BucketLevel>,
        },
    }

    /// The tokens left in the bucket of an organisation.
    pub struct BucketLevel {
        /// The organisation.
        pub organisation: Organisation,
        /// The tokens.
        pub tokens: Tokens,
    }

    /// The reply to a [`Request`].
    pub enum Reply {
        /// Grants tokens; the time to live counts from before the request was sent.
        Granted {
            /// The number of tokens, possibly fewer than wanted.
            count: Tokens,
            /// How long the tokens are valid.
            ttl: Duration,
            /// The time until the missing tokens are expected; zero if none are missing.
            retry_after: Duration,
        },
        /// Lends a rate; the time to live counts from before the request was sent.
        Lent {
            /// The rate, possibly zero.
            rate: Rate,
            /// How long the borrower may use the rate.
            ttl: Duration,
        },
        /// Whether the host pledges not to claim the shard.
        Pledged(bool),
        /// Whether the host accepts an offer or a hand-over.
        Accepted(bool),
        /// The host does not grant or lend: it has no valid authority over the shard, is handing it
        /// over, or finds no limit for the organisation.
        NotOwner,
    }
}

domain! {
    /// A request with its sender.
    pub struct Envelope {
        /// The host that sends the request.
        pub from: HostId,
        /// The request to the authority.
        pub request: Request,
    }
}

/// The exchange of this crate's messages between hosts.
#[derive(Debug, Clone, Copy)]
pub struct RateExchange;

impl Exchange for RateExchange {
    type Request = Envelope;
    type Reply = Reply;
    const NAME: &'static str = "rates";
}
