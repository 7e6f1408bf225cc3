//! An entry host without persistent state of its own: everything durable is kept in
//! the store.
//!
//! See `docs/platform.md`, "Programs".

mod admission;
mod changes;
mod confirm;
mod coordinator;
mod eviction;
mod host;
mod messages;
mod positions;
mod pressure;
mod registration;
mod relay;
mod report;
mod rival;
mod settings;

pub use burdockslip_pace::ColdLimit;
pub use eviction::{LastReports, SILENCE_LIMIT};
pub use host::{Adapter, Host};
pub use messages::{HostReport, ReportExchange, ReportReply};
pub use relay::{MAX_RELAYED_AGE, Relays, SendBudget};
pub use settings::EntrySettings;
