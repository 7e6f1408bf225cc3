//! Carries a permission to the holder of the database, which checks its age.

use std::time::Duration;

use burdockslip_runtime::{Instant, now};
use burdockslip_types::domain;

use crate::Tokens;

/// Permits one request until it expires.
#[derive(Debug, Clone, PartialEq, Eq)]
#[must_use]
pub struct Permit {
    /// The tokens taken.
    pub cost: Tokens,
    /// When the tokens expire on the clock of this host.
    pub expiry: Instant,
}

domain! {
    /// Proves to the holder of a database that a permission has not expired.
    ///
    /// The stamp is the holder's own clock reading (`docs/design.md`, section
    /// 3.2), so an endpoint that resumes after a pause cannot present an
    /// expired permission.
    #[derive(Copy)]
    pub struct Proof {
        /// The holder's clock in microseconds, as it told the endpoint.
        pub stamp: u64,
        /// How long after the stamp the permission is valid.
        pub ttl: Duration,
    }
}

impl Permit {
    /// Builds the proof for a holder whose `stamp` arrived at `received` on this host's clock.
    ///
    /// The holder took its stamp before `received`, so the life counted from
    /// the stamp ends no later than the tokens.
    pub fn proof(&self, stamp: u64, received: Instant) -> Proof {
        Proof {
            stamp,
            ttl: self.expiry.since(received),
        }
    }

    /// Returns whether the permission may still be used by this host.
    pub fn is_valid(&self) -> bool {
        !self.expiry.is_past()
    }
}

impl Proof {
    /// Returns whether the permission is valid now, on the clock that gave the stamp.
    pub fn is_valid(&self) -> bool {
        let stamp = Instant::from_micros(self.stamp);
        stamp <= now() && now() < stamp + self.ttl
    }
}
