//! Distributed rate limiting: the rate of an organisation is shared by all hosts.
//!
//! The coordinator keeps one token bucket per organisation and grants its
//! tokens to the hosts. With the tokens it grants each host a fraction of the
//! rate, which the host falls back to while the coordinator is unreachable; see
//! `docs/platform.md`, "Rates".

mod allocator;
mod bucket;
mod denial;
mod local;
mod message;

pub use allocator::{Allocator, GRANT_LIFETIME, Limits};
pub use denial::Denials;
pub use local::{Admission, DemandScope, LocalLimiter, Refusal, SHARE_VALIDITY};
pub use message::{Demand, Grant};
