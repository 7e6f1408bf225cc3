//! Serves client sessions: chooses the member for each statement and builds the responses.
//!
//! See `docs/platform.md`, "A statement's way".

mod acknowledge;
mod acknowledged;
mod begin;
mod budget;
mod context;
mod evacuation;
mod freshness;
mod locality;
mod outcome;
mod own_commits;
mod pace;
mod pacing;
mod place;
mod position;
mod pressure;
mod progress;
mod read;
mod receipt;
mod serve;
mod session;
mod stop;
mod tokens;
mod transaction;
mod write;

pub use acknowledged::Acknowledged;
pub use budget::StateBudget;
pub use context::{Context, Limits};
pub use evacuation::EvacuationBound;
pub use freshness::PositionHistory;
pub use locality::{Distance, Locality};
pub use pacing::sightings;
pub use progress::ReceiptProgress;
pub use serve::Listener;
pub use stop::StopSignal;
pub use tokens::{Authority, Ruling};
