//! Proofs that no other primary has been promoted.

use std::time::Duration;

use burdockslip_runtime::Instant;
use burdockslip_types::MemberName;

/// Where a proof comes from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ProofSource {
    /// The store renewed the lease behind the permission for this host.
    Store,
    /// The store renewed the lease for the coordinator, which forwarded the proof.
    Coordinator,
    /// The primary reported to this host that it leads in the known term, and
    /// this replica that it receives in this term.
    Replica(MemberName),
    /// A primary and a replica reported this to the coordinator, which forwarded
    /// the proof without the replica's name.
    CoordinatorReplica,
}

/// A proof that no other primary had been promoted at a given moment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Proof {
    /// The latest moment at which no promotion had happened.
    pub at: Instant,
    /// Where the proof comes from.
    pub source: ProofSource,
}

impl ProofSource {
    /// Returns the name of the source in log lines and metrics.
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Coordinator => "coordinator",
            Self::Replica(_) => "replica",
            Self::CoordinatorReplica => "coordinator_replica",
        }
    }

    /// Returns whether the proof is based on a replica and not on the lease.
    pub const fn is_replica(&self) -> bool {
        matches!(self, Self::Replica(_) | Self::CoordinatorReplica)
    }

    /// Returns the replica that this host has queried; `None` for other sources.
    pub const fn replica(&self) -> Option<&MemberName> {
        match self {
            Self::Replica(name) => Some(name),
            _ => None,
        }
    }
}

impl Proof {
    /// Returns the time since the moment for which the proof is valid.
    pub fn age(&self) -> Duration {
        self.at.elapsed()
    }
}
