//! Replaces primaries so that no acknowledged commit is lost and no two
//! primaries serve at once.
//!
//! One host at a time, the coordinator, holds the duty to promote. Hosts use a
//! primary only under a permission that they renew; see `docs/platform.md`,
//! "The old primary".

mod duty;
mod permission;
mod promotion;
mod proof;
mod records;
mod roster;
mod supervisor;
mod votes;

pub use duty::{CoordinatorRole, Duty, Tenure};
pub use permission::{PERMISSION_TTL, Permission};
pub use promotion::{PromoteFn, PromotionReply};
pub use proof::{Proof, ProofSource};
pub use records::{GroupRecord, Registration, keys};
pub use supervisor::Supervisor;
pub use votes::Votes;
