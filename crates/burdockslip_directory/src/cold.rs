//! How long a member stays cold.

use std::time::Duration;

use burdockslip_runtime::{Instant, now};
use burdockslip_types::MemberName;
use tracing::{info, warn};

/// Until when a member is cold according to its newest record.
///
/// A record that was relayed is older than the moment at which it is seen, so the member
/// may be warm earlier. See `docs/design/member-pace.md`.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ColdTime {
    until: Option<Instant>,
    /// Whether the newest record holds a time that is not valid.
    is_odd: bool,
}

impl ColdTime {
    /// Returns until when the member is cold, or `None` if it is not.
    pub(crate) fn until(&self) -> Option<Instant> {
        self.until.filter(|until| !until.is_past())
    }

    /// Takes over the time of a new record. One that is not valid counts as none.
    pub(crate) fn set(&mut self, member: &MemberName, cold: Option<Duration>) {
        if cold.is_none() && !self.is_odd {
            warn!(%member, "cold time of a member ignored, it is not valid");
        }
        self.is_odd = cold.is_none();
        let cold = cold.filter(|cold| !cold.is_zero());
        if let Some(cold) = cold
            && self.until().is_none()
        {
            info!(%member, cold_ms = cold.as_millis(), "member is cold");
        }
        self.until = cold.map(|cold| now() + cold);
    }
}
