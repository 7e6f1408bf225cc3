//! Enforces the rates and bursts of organisations over all hosts together.
//!
//! In any window, the admitted work of an organisation is at most its burst
//! plus its rate times the window, in every failure; see `docs/design.md`,
//! section 4.7.

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
