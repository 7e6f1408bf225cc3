//! Proofs that an admitted request still has valid tokens when it reaches the database's holder.

use std::time::Duration;

use burdockslip_runtime::{Instant, now};
use burdockslip_types::domain;

use crate::Tokens;

/// The permission to run one request, paid with tokens that expire.
#[derive(Debug, Clone, PartialEq, Eq)]
#[must_use]
pub struct Permit {
    /// The tokens that the request used.
    pub cost: Tokens,
    /// When the tokens expire, on the clock of this host.
    pub expiry: Instant,
}

domain! {
    /// Proves to the holder of a database that a permission has not expired.
    ///
    /// The holder is the host that keeps the connections to the database; the
    /// endpoint is the host that admitted the request. The holder compares the
    /// proof with its own clock, from which the stamp comes (`docs/design.md`,
    /// section 3.2), so an endpoint that resumes after a pause cannot use an
    /// expired permission.
    #[derive(Copy)]
    pub struct Proof {
        /// The holder's clock reading in microseconds that the endpoint received from it.
        pub stamp: u64,
        /// How long the permission is valid, counted from the stamp.
        pub ttl: Duration,
    }
}

impl Permit {
    /// Builds the proof for a holder whose `stamp` arrived at `received` on this host's clock.
    ///
    /// The holder read its clock before `received`, so the time to live
    /// counted from the stamp ends no later than the tokens expire.
    pub fn proof(&self, stamp: u64, received: Instant) -> Proof {
        Proof {
            stamp,
            ttl: self.expiry.since(received),
        }
    }

    /// Returns whether the permission has not expired on the clock of this host.
    pub fn is_valid(&self) -> bool {
        !self.expiry.is_past()
    }
}

impl Proof {
    /// Returns whether the permission is valid now; only for the host whose clock gave the stamp.
    ///
    /// A stamp in the future is invalid.
    pub fn is_valid(&self) -> bool {
        let stamp = Instant::from_micros(self.stamp);
        stamp <= now() && now() < stamp + self.ttl
    }
}
