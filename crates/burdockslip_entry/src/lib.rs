//! Assembles an entry host that keeps nothing itself: what must last is in the store.
//!
//! See `docs/platform.md`, "Programs".

mod coordination;
mod host;
mod registration;
mod settings;

pub use coordination::{Report, ReportExchange, Verdict};
pub use host::{Adapter, Host};
pub use settings::EntrySettings;
