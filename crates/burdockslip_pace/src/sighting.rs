//! What a host knows about the run of a member.

use std::time::Duration;

use burdockslip_runtime::Instant;
use burdockslip_types::MemberName;

use crate::Rules;

/// How long after it was first seen a run counts as new.
pub(crate) const NEW_SPAN: Duration = Duration::from_secs(2);

/// What a host knows about the current run of a member of a paced group.
#[derive(Debug, Clone, PartialEq)]
pub struct Sighting {
    /// The name of the member.
    pub member: MemberName,
    /// The start of the run, which distinguishes it from others under the same name.
    pub born: u64,
    /// The number of statements that the member runs concurrently.
    pub slots: u32,
    /// Until when the member is cold, if it reported that it is.
    pub cold_until: Option<Instant>,
    /// When this host first saw the run, unless it runs for longer than the host.
    pub seen: Option<Instant>,
    /// The rules of the group.
    pub rules: Rules,
}

impl Sighting {
    /// Returns whether the member is cold.
    pub fn is_cold(&self) -> bool {
        self.cold_until.is_some_and(|until| !until.is_past())
    }

    /// Returns whether the member is cold and what it may get is limited.
    pub(crate) fn is_limited(&self) -> bool {
        self.is_cold() && self.rules.cold_budget().is_some()
    }

    /// Returns how much longer the member is cold.
    pub(crate) fn cold_left(&self) -> Duration {
        self.cold_until.map(Instant::remaining).unwrap_or_default()
    }

    /// Returns whether the run has been seen for a short time only.
    pub(crate) fn is_new(&self) -> bool {
        self.seen.is_some_and(|seen| seen.elapsed() < NEW_SPAN)
    }
}
