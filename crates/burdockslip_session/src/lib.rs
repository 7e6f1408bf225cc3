//! Serves client sessions: chooses the member for each statement and builds the responses.
//!
//! See `docs/platform.md`, "A statement's way".

mod acknowledge;
mod acknowledged;
mod begin;
mod budget;
mod context;
mod freshness;
mod outcome;
mod pace;
mod place;
mod position;
mod pressure;
mod progress;
mod read;
mod receipt;
mod serve;
mod session;
mod stop;
mod transaction;
mod write;

pub use acknowledged::Acknowledged;
pub use budget::StateBudget;
pub use context::{Authority, Context, Limits};
pub use freshness::PositionHistory;
pub use progress::ReceiptProgress;
pub use serve::Listener;
pub use stop::StopSignal;
