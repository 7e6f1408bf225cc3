//! Proofs to holders that the permission of a request has not expired.
//!
//! A stamp is a clock reading of the holder. A proof gives the expiry of a
//! permission as the stamp plus the time from the arrival of the stamp at this
//! host, so the holder never accepts a permission for longer than this host
//! would. This holds for a stamp of any age (`docs/design.md`, sections 3.2 and
//! 4.7).

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use burdockslip_limits::{Permit, Proof};
use burdockslip_peer::PeerPool;
use burdockslip_runtime::{Instant, now, timeout};
use burdockslip_types::{ErrorKind, Exchange, HostId, Result, domain};
use error_stack::Report;

/// The timeout for requesting a stamp from a holder.
const STAMP_TIMEOUT: Duration = Duration::from_secs(1);

domain! {
    /// A clock reading of one run of a host's process.
    #[derive(Copy)]
    pub(crate) struct Stamp {
        /// A random number that identifies the run, because the clock restarts with it.
        pub(crate) instance: u64,
        /// The clock reading in microseconds.
        pub(crate) micros: u64,
    }

    /// The proof of a permission, valid for the run of a host that issued the stamp.
    #[derive(Copy)]
    pub(crate) struct HolderProof {
        /// The run whose clock the proof refers to.
        pub(crate) instance: u64,
        /// A stamp of that run and how long after it the permission is valid.
        pub(crate) proof: Proof,
    }
}

/// The exchange that requests the stamp of a host.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StampExchange;

impl Exchange for StampExchange {
    type Request = ();
    type Reply = Stamp;
    const NAME: &'static str = "stamp";
}

/// The stamps of other hosts, and the checks of proofs that refer to this host's clock.
#[derive(Debug)]
pub(crate) struct Stamps {
    instance: u64,
    known: RefCell<HashMap<HostId, (Stamp, Instant)>>,
}

impl Stamps {
    /// Creates an empty cache for a new run of this host.
    pub(crate) fn new() -> Self {
        Self {
            instance: burdockslip_runtime::random_u64(),
            known: RefCell::default(),
        }
    }

    /// Returns the current stamp of this host.
    pub(crate) fn current(&self) -> Stamp {
        Stamp {
            instance: self.instance,
            micros: now().micros(),
        }
    }

    /// Returns whether a proof refers to this run of this host and has not expired.
    pub(crate) fn is_valid(&self, proof: &HolderProof) -> bool {
        proof.instance == self.instance && proof.proof.is_valid()
    }

    /// Builds the proof of a permission for this host.
    pub(crate) fn local_proof(&self, permit: &Permit) -> HolderProof {
        let stamp = self.current();
        build_proof(permit, stamp, Instant::from_micros(stamp.micros))
    }

    /// Builds the proof of a permission for another host, requesting a stamp if
    /// none is cached.
    ///
    /// # Errors
    ///
    /// Returns `ConnectionLost` if the host does not answer in time.
    pub(crate) async fn remote_proof(
        &self,
        peers: &PeerPool,
        holder: &HostId,
        permit: &Permit,
    ) -> Result<HolderProof> {
        let known = self.known.borrow().get(holder).copied();
        if let Some((stamp, received)) = known {
            return Ok(build_proof(permit, stamp, received));
        }
        let stamp = timeout(STAMP_TIMEOUT, peers.call::<StampExchange>(holder, &()))
            .await
            .map_err(|_| Report::new(ErrorKind::ConnectionLost))??;
        let received = now();
        let mut known = self.known.borrow_mut();
        known.insert(holder.clone(), (stamp, received));
        Ok(build_proof(permit, stamp, received))
    }

    /// Discards all cached stamps, after a proof was rejected.
    pub(crate) fn forget_all(&self) {
        self.known.borrow_mut().clear();
    }

    /// Discards the stamp of a host that may have restarted.
    pub(crate) fn forget(&self, holder: &HostId) {
        self.known.borrow_mut().remove(holder);
    }
}

fn build_proof(permit: &Permit, stamp: Stamp, received: Instant) -> HolderProof {
    HolderProof {
        instance: stamp.instance,
        proof: permit.proof(stamp.micros, received),
    }
}
