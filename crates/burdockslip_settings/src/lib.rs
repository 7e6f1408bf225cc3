//! Defines the settings of a host, which are read once at start.
//!
//! `tests/fixtures/host.example.jsonc` is an annotated example; the reference
//! is in `docs/operators.md`.

mod read;
mod secret;
mod settings;

pub use burdockslip_jsonc::{Fault, Faults, Location};
pub use secret::Secret;
pub use settings::{
    Limits, Settings, Statements, StoreSettings, Timeouts, Tls, TokenSettings, UpstreamMode,
    UpstreamSettings,
};
