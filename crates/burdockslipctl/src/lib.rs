//! Holds the commands of the operators' program as functions over a store.
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

pub use document::{ApplyId, CATALOGUE_KEY, MAX_APPLIES, StoredDocument};
pub use exit::ExitStatus;
pub use hosts::{DEFAULT_ADMIN_PORT, Fetch, HostView, poll};
pub use outcome::Outcome;
pub use run::run;
