//! Assembles an entry host that keeps nothing itself: what must last is in the store.
//!
//! See `docs/platform.md`, "Programs".

mod coordinator;
mod host;
mod messages;
mod positions;
mod registration;
mod report;
mod settings;

pub use host::{Adapter, Host};
pub use messages::{HostReport, ReportExchange, ReportReply};
pub use settings::EntrySettings;
