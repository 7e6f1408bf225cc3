//! Decides whether the coordinator's duty should pass to a host that hears more hosts.
//!
//! The functions depend on counts alone; see `docs/design/duty-under-partition.md`.

use std::time::Duration;

use burdockslip_types::{HostId, Result, Revision, domain};

use crate::records::{decode, encode};

/// How long a coordinator has to be silent, while its record stays alive, before it is
/// challenged. Longer than the lease of the record and the period of reports, so that a
/// coordinator that has ended is not challenged.
pub const UNANSWERED_SPAN: Duration = Duration::from_millis(1_700);

/// The part of the registered hosts by which a rival has to hear more. Rivals project
/// their number from a sample of [`SAMPLE_SIZE`] hosts.
const MARGIN_DIVISOR: usize = 6;

/// The most hosts that a rival asks whether they hear it.
pub const SAMPLE_SIZE: usize = 32;

domain! {
    /// The record of a host that does not hear the coordinator and could replace it.
    pub struct Rival {
        /// The host.
        pub host: HostId,
        /// The token of the tenure that it challenges.
        pub token: Revision,
        /// How many of the registered hosts it hears, itself included.
        pub heard: usize,
    }

    /// What a host answers to a rival that asks whether it can be reached.
    #[derive(Copy)]
    pub struct Reach {
        /// Whether the coordinator has answered the host lately.
        pub has_coordinator: bool,
        /// Whether the store has answered the host lately.
        pub has_store: bool,
    }
}

impl Rival {
    /// Encodes the record for the store.
    ///
    /// # Errors
    ///
    /// Returns `Internal` if the record cannot be encoded.
    pub fn write(&self) -> Result<Vec<u8>> {
        encode(self)
    }

    /// Decodes a record from the store.
    ///
    /// # Errors
    ///
    /// Returns `Protocol` if the bytes are not the record of a rival.
    pub fn read(bytes: &[u8]) -> Result<Self> {
        decode(bytes)
    }
}

/// What a coordinator does that hears fewer than half of the registered hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// No other host is known to hear clearly more of them.
    Stay,
    /// A rival can serve more hosts.
    Leave,
}

/// Decides whether a coordinator in a minority, which hears `heard` of the `registered`
/// hosts, leaves the duty to a rival that hears `rival` hosts.
pub fn judge(registered: usize, heard: usize, rival: Option<usize>) -> Verdict {
    let margin = (registered / MARGIN_DIVISOR).max(1);
    match rival {
        Some(rival) if rival.min(registered) >= heard + margin => Verdict::Leave,
        _ => Verdict::Stay,
    }
}

/// The state of a host that concerns a challenge.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Standing {
    /// For how long the coordinator, whose record exists, has not answered.
    pub unanswered: Duration,
    /// Whether the store answers this host.
    pub has_store: bool,
}

/// Returns whether a host asks others in order to challenge the coordinator.
pub fn is_rival(standing: Standing) -> bool {
    standing.has_store && standing.unanswered >= UNANSWERED_SPAN
}

/// Returns whether a host leaves the challenge to one with more processor time, given
/// the answers of some of these.
pub fn is_outranked(answers: &[Reach]) -> bool {
    answers
        .iter()
        .any(|answer| answer.has_store && !answer.has_coordinator)
}

/// Returns how many hosts a rival hears, itself included, if `reached` of the `asked` ones
/// among `others` answered it.
pub fn project(others: usize, asked: usize, reached: usize) -> usize {
    1 + others * reached / asked.max(1)
}
