//! Decides when the order to promote a member may rest on the replies of replicas.

use std::rc::Rc;
use std::time::Duration;

use burdockslip_directory::Member;
use burdockslip_runtime::Instant;

use crate::PERMISSION_TTL;

/// Added to the TTL of permissions, because the clocks of hosts run at slightly
/// different rates.
const PERMISSION_MARGIN: Duration = Duration::from_millis(50);

/// What a change of primary has established so far.
///
/// Replicas that are stopped may restart, and others may join, so the old primary may have
/// commits acknowledged at any time. The order may be given once no host passes them on,
/// by replies and with records of members that are newer than that; see
/// `docs/platform.md`, "Promotion".
#[derive(Debug)]
pub struct OrderGate {
    /// When the permissions of all hosts were withdrawn.
    fenced: Instant,
    /// The first moment at which all replicas on this roster had been stopped.
    stopped: Option<(Vec<Rc<Member>>, Instant)>,
    /// When all hosts were found to know of the change, after that moment.
    withdrawn: Option<Instant>,
    /// When the latest reload of the members' records was started.
    reloaded: Option<Instant>,
}

impl OrderGate {
    /// Creates the gate of a change for which the permissions of all hosts were withdrawn
    /// at `fenced`.
    pub const fn new(fenced: Instant) -> Self {
        Self {
            fenced,
            stopped: None,
            withdrawn: None,
            reloaded: None,
        }
    }

    /// Starts over if the roster has changed, since a new replica may have been the proof
    /// of a host that the old primary is still valid.
    pub fn check_roster(&mut self, roster: &[Rc<Member>]) {
        let changed = self.stopped.take_if(|(known, _)| known != roster);
        if changed.is_some() {
            self.withdrawn = None;
        }
    }

    /// Records that all replicas on a roster were stopped at `moment`; returns when no
    /// host uses the old primary any more.
    pub fn record_stopped(&mut self, roster: Vec<Rc<Member>>, moment: Instant) -> Instant {
        let (_, since) = self.stopped.get_or_insert((roster, moment));
        let since = *since;
        self.expiry_from(since)
    }

    /// Records that all hosts were found at `moment` to know of the change, after all
    /// replicas were stopped.
    pub const fn record_withdrawn(&mut self, moment: Instant) {
        self.withdrawn = Some(moment);
    }

    /// Records that the members' records were reloaded by a read sent at `moment`.
    pub const fn record_reload(&mut self, moment: Instant) {
        self.reloaded = Some(moment);
    }

    /// Returns when the permissions expire that rest on the fence, or on the reply of a
    /// member before `moment`.
    pub fn expiry_after(&self, moment: Instant) -> Instant {
        self.fenced.max(moment) + PERMISSION_TTL + PERMISSION_MARGIN
    }

    /// Returns whether all replicas have been stopped, and no host has used the old
    /// primary since an earlier moment.
    pub fn has_expired(&self) -> bool {
        self.expiry().is_some_and(Instant::is_past)
    }

    /// Returns whether the members' records have to be reloaded: once at the start, and
    /// once after no host uses the old primary any more.
    pub fn needs_reload(&self) -> bool {
        let is_outdated = |reloaded: Instant| {
            let expiry = self.expiry().filter(|expiry| expiry.is_past());
            expiry.is_some_and(|expiry| reloaded < expiry)
        };
        self.reloaded.is_none_or(is_outdated)
    }

    fn expiry(&self) -> Option<Instant> {
        let (_, since) = self.stopped.as_ref()?;
        Some(self.expiry_from(*since))
    }

    fn expiry_from(&self, since: Instant) -> Instant {
        let expiry = self.expiry_after(since);
        self.withdrawn.map_or(expiry, |moment| moment.min(expiry))
    }
}
