//! The commands of `burdockslipctl`, the operators' program, as functions over a store.
//!
//! `docs/operators.md` describes the commands and their exit codes.

pub mod args;
pub mod commands;
mod document;
mod exit;
mod hosts;
mod outcome;
mod retry;
mod run;

pub use document::{ApplyId, CATALOGUE_KEY, MAX_APPLY_IDS, StoredDocument};
pub use exit::ExitStatus;
pub use hosts::{DEFAULT_ADMIN_PORT, Fetch, HostView, poll_hosts};
pub use outcome::Outcome;
pub use run::run;
