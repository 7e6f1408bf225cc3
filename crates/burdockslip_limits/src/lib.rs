//! Distributed rate limiting: one rate and burst per organisation, enforced across all hosts.
//!
//! In any time window, the work admitted for an organisation is at most its
//! burst plus its rate times the length of the window, also during failures;
//! see `docs/design.md`, section 4.7.
//!
//! Organisations are hashed into [`Shard`]s. In each zone, one host at a time
//! is the [`Authority`] of a shard: it holds the token buckets for the zone's
//! part of the limits and grants tokens to the [`Limiter`]s on all hosts. The
//! authority of a shard is recorded in the store under a lease; while the
//! store is unreachable, pledges of all hosts of the zone not to claim the
//! shard replace the lease.

mod account;
mod amount;
mod authority;
mod bucket;
mod demand;
mod handover;
mod lease;
mod limiter;
mod loans;
pub mod measure;
mod messages;
mod ownership;
mod pool;
mod proof;
mod settings;

pub use amount::{Limit, Rate, Tokens};
pub use authority::Authority;
pub use bucket::Bucket;
pub use limiter::{LimitName, Limiter, Rejection};
pub use messages::{BucketLevel, Envelope, RateExchange, Reply, Request, Shard};
pub use proof::{Permit, Proof};
pub use settings::{FleetView, Settings};
