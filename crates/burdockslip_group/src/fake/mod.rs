//! Stands in for a database group and the paths to it, without a network.
//!
//! Members keep their term promises and logs over a restart, replicate
//! asynchronously, and can be cut, frozen, killed and slowed. Everything runs
//! on the clock and the random numbers of `burdockslip_runtime`.

mod cluster;
mod database;
mod network;
mod node;
mod replication;
mod session;

pub use cluster::{Cluster, ClusterSettings};
pub use database::{Database, DatabaseSettings, ReadReply};
pub use network::Network;
pub use node::{AppliedWrite, Record};
pub use session::{ServedRead, Session};
