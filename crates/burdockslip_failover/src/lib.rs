//! Failover of database groups: replaces a lost primary without losing an
//! acknowledged commit and without two primaries serving at the same time.
//!
//! One host at a time, the coordinator, holds the duty to promote. Hosts use a
//! primary only while they have a permission, which they renew continuously; see
//! `docs/platform.md`, "The old primary".

mod candidates;
mod choice;
mod duty;
mod evacuation;
mod exclusion;
mod order_gate;
mod permission;
mod promotion;
mod proof;
mod records;
mod report;
mod restoration;
mod rivalry;
mod roster;
mod supervisor;
mod votes;
mod withdrawals;
mod witness;

pub use candidates::{newest_member, successors};
pub use duty::{CoordinatorRole, Duty, Tenure};
pub use evacuation::{LogAnswer, Settling};
pub use order_gate::OrderGate;
pub use permission::{PERMISSION_TTL, Permission};
pub use promotion::{PromoteFn, PromotionReply};
pub use proof::{Proof, ProofSource};
pub use records::{GroupRecord, Registration, Stamp, keys};
pub use report::{AcknowledgedCommit, GroupReport};
pub use restoration::{Decision, Knowledge, Restoration};
pub use rivalry::{
    Reach, Rival, SAMPLE_SIZE, Standing, UNANSWERED_SPAN, Verdict, is_outranked, is_rival, judge,
    project,
};
pub use supervisor::Supervisor;
pub use votes::Votes;
pub use withdrawals::Withdrawals;
