//! The commands, one module each.

pub mod apply;
pub mod check;
pub mod completion;
pub mod diff;
pub mod key;
pub mod show;
pub mod status;
