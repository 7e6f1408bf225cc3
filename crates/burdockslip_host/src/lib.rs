//! An entry host: the proxy with its configuration, membership, rate limits and metrics.
//!
//! See `docs/design.md`, sections 2 and 3.

mod content;
mod host;
mod options;
mod rates;

pub use host::Host;
