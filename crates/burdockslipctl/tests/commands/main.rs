//! Tests the commands with an in-memory store.

mod apply;
mod hosts;
mod keys;
mod support;
