//! Assembles an entry host from its parts and connects them.
//!
//! See `docs/design.md`, sections 2 and 3.

mod content;
mod host;
mod options;
mod rates;

pub use host::Host;
