//! Says what proves that a primary may be used.

use std::time::Duration;

use burdockslip_runtime::Instant;
use burdockslip_types::MemberName;

/// Says who proved that no promotion has happened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ProofSource {
    /// The store renewed the lease behind the permission for this host.
    Store,
    /// The coordinator passed on that the store renewed the lease.
    Coordinator,
    /// The primary told this host that it leads in the known term, and this
    /// replica that it receives in it.
    Replica(MemberName),
    /// Both told the coordinator so, which passed it on without a name.
    CoordinatorReplica,
}

/// Holds a proof and the moment for which it holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Proof {
    /// The moment at which no promotion had happened.
    pub at: Instant,
    /// Who proved it.
    pub source: ProofSource,
}

impl ProofSource {
    /// Returns the name for log lines and metrics.
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Coordinator => "coordinator",
            Self::Replica(_) => "replica",
            Self::CoordinatorReplica => "coordinator_replica",
        }
    }

    /// Returns whether the proof rests on a replica and not on the lease.
    pub const fn is_replica(&self) -> bool {
        matches!(self, Self::Replica(_) | Self::CoordinatorReplica)
    }

    /// Returns the replica that this host asked itself.
    pub const fn replica(&self) -> Option<&MemberName> {
        match self {
            Self::Replica(name) => Some(name),
            _ => None,
        }
    }
}

impl Proof {
    /// Returns the age of the proof.
    pub fn age(&self) -> Duration {
        self.at.elapsed()
    }
}
