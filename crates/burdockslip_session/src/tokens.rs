//! The tokens that pay for operations, and the host that holds those of the zone.

use std::rc::Rc;
use std::time::Duration;

use burdockslip_runtime::{Instant, now};
use burdockslip_types::{HostId, Organisation};
use futures::future::LocalBoxFuture;

/// How long after it was taken a token may be given back. Later it could be used in a
/// window to which it does not belong.
const RETURN_LIMIT: Duration = Duration::from_secs(1);

/// The answer of the host that holds the tokens of the availability zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ruling {
    /// The operation may run; the host gave a token for it.
    Admitted(HostId),
    /// The organisation is out of tokens for this time.
    Refused(Duration),
}

/// The host that holds the tokens of the availability zone.
pub struct Authority {
    /// Admits an operation of an organisation, given the number of operations that were
    /// refused here since the last question. Resolves to `None` if there is no such host,
    /// or if it does not answer.
    pub admit: Rc<dyn Fn(Organisation, u32) -> LocalBoxFuture<'static, Option<Ruling>>>,
    /// Returns a token to the host that gave it.
    pub give_back: Rc<dyn Fn(HostId, Organisation)>,
}

/// Who gave a token.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Giver {
    /// This host.
    Own,
    /// The host that holds the tokens of the zone.
    Relay(HostId),
}

/// A token that pays for one operation.
#[derive(Debug)]
pub(crate) struct Token {
    pub(crate) organisation: Organisation,
    pub(crate) giver: Giver,
    taken: Instant,
}

impl Token {
    /// Creates a token that was taken now.
    pub(crate) fn new(organisation: Organisation, giver: Giver) -> Self {
        Self {
            organisation,
            giver,
            taken: now(),
        }
    }

    /// Returns whether the token may be given back.
    pub(crate) fn is_returnable(&self) -> bool {
        self.taken.elapsed() < RETURN_LIMIT
    }
}
