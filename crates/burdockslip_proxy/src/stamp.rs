//! Proves to holders that a permission has not expired.
//!
//! A holder's stamp is its own clock reading. Any stamp serves, however old:
//! the life of a permission is counted from when the stamp arrived here, so
//! the holder never lets it live longer than this host would
//! (`docs/design.md`, sections 3.2 and 4.7).

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use burdockslip_limits::{Permit, Proof};
use burdockslip_peer::PeerPool;
use burdockslip_runtime::{Instant, now, timeout};
use burdockslip_types::{ErrorKind, Exchange, HostId, Result, domain};
use error_stack::Report;

/// Time within which a holder tells its stamp.
const STAMP_TIMEOUT: Duration = Duration::from_secs(1);

domain! {
    /// Tells the clock of one run of a host.
    #[derive(Copy)]
    pub(crate) struct Stamp {
        /// A random number that differs between runs, whose clocks start anew.
        pub(crate) instance: u64,
        /// The clock reading in microseconds.
        pub(crate) micros: u64,
    }

    /// Carries the proof of a permission to the run of a host that gave the stamp.
    #[derive(Copy)]
    pub(crate) struct HolderProof {
        /// The run of the host whose clock the proof refers to.
        pub(crate) instance: u64,
        /// The proof.
        pub(crate) proof: Proof,
    }
}

/// Asks a host for its stamp.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StampExchange;

impl Exchange for StampExchange {
    type Request = ();
    type Reply = Stamp;
    const NAME: &'static str = "stamp";
}

/// Knows the stamps of holders and checks proofs that refer to this host's.
#[derive(Debug)]
pub(crate) struct Stamps {
    instance: u64,
    known: RefCell<HashMap<HostId, (Stamp, Instant)>>,
}

impl Stamps {
    /// Starts a new run.
    pub(crate) fn new() -> Self {
        Self {
            instance: burdockslip_runtime::random_u64(),
            known: RefCell::default(),
        }
    }

    /// Returns the stamp of this host.
    pub(crate) fn own(&self) -> Stamp {
        Stamp {
            instance: self.instance,
            micros: now().micros(),
        }
    }

    /// Returns whether a proof is valid now.
    pub(crate) fn is_valid(&self, proof: &HolderProof) -> bool {
        proof.instance == self.instance && proof.proof.is_valid()
    }

    /// Builds the proof of a permission for this host.
    pub(crate) fn prove_here(&self, permit: &Permit) -> HolderProof {
        let stamp = self.own();
        prove(permit, stamp, Instant::from_micros(stamp.micros))
    }

    /// Builds the proof of a permission for another host, asking it for a stamp if needed.
    ///
    /// # Errors
    ///
    /// Returns `ConnectionLost` if the host does not answer.
    pub(crate) async fn prove_to(
        &self,
        peers: &PeerPool,
        holder: &HostId,
        permit: &Permit,
    ) -> Result<HolderProof> {
        let known = self.known.borrow().get(holder).copied();
        if let Some((stamp, received)) = known {
            return Ok(prove(permit, stamp, received));
        }
        let stamp = timeout(STAMP_TIMEOUT, peers.call::<StampExchange>(holder, &()))
            .await
            .map_err(|_| Report::new(ErrorKind::ConnectionLost))??;
        let received = now();
        let mut known = self.known.borrow_mut();
        known.insert(holder.clone(), (stamp, received));
        Ok(prove(permit, stamp, received))
    }

    /// Forgets all stamps after a proof was refused.
    pub(crate) fn forget_all(&self) {
        self.known.borrow_mut().clear();
    }

    /// Forgets the stamp of a host that may have started anew.
    pub(crate) fn forget(&self, holder: &HostId) {
        self.known.borrow_mut().remove(holder);
    }
}

fn prove(permit: &Permit, stamp: Stamp, received: Instant) -> HolderProof {
    HolderProof {
        instance: stamp.instance,
        proof: permit.proof(stamp.micros, received),
    }
}
