//! Guards the commands over a store in memory.

mod apply;
mod hosts;
mod keys;
mod support;
