//! Tracks which hosts know that a primary is being replaced.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use burdockslip_runtime::{Instant, now};
use burdockslip_types::{GroupName, HostId, Revision, Term};

/// How long after it was last registered, or last reported, a host may still use a
/// primary. A host whose registration was removed learns of it within 5 s and stops.
pub(crate) const HOST_SPAN: Duration = Duration::from_secs(6);

/// The hosts that may have a permission, and the changes that each of them has reported
/// to know; a host that knows of a change does not use the old primary.
///
/// Registrations are followed by every host at all times, so that a new coordinator knows
/// the hosts whose registrations have just ended. A host uses only permissions that are
/// newer than its registration, so none is missing here after the registrations were read
/// again; see `docs/platform.md`, "Promotion".
#[derive(Debug, Default)]
pub struct Withdrawals {
    /// Since when registrations have been followed.
    since: Option<Instant>,
    /// When each host was last registered or reported.
    hosts: HashMap<HostId, Instant>,
    confirmed: HashMap<(GroupName, Term), HashSet<HostId>>,
    /// The newest revision of each group's record that hosts have reported to know, if
    /// it excludes members.
    known: HashMap<(GroupName, HostId), Revision>,
}

impl Withdrawals {
    /// Forgets what hosts have reported, at the end of a tenure.
    pub fn end_tenure(&mut self) {
        self.confirmed.clear();
        self.known.clear();
    }

    /// Forgets what hosts have reported and since when registrations have been followed,
    /// because the store was restored: registrations may be missing from its copy.
    pub fn start_era(&mut self) {
        self.end_tenure();
        self.since = None;
    }

    /// Returns the hosts that may have a permission.
    pub fn hosts(&self) -> Vec<HostId> {
        self.hosts.keys().cloned().collect()
    }

    /// Records the hosts that are registered. Has to be called regularly.
    pub fn record_registered(&mut self, hosts: impl IntoIterator<Item = HostId>) {
        let moment = now();
        self.since.get_or_insert(moment);
        self.hosts
            .extend(hosts.into_iter().map(|host| (host, moment)));
        self.hosts.retain(|_, seen| seen.elapsed() < HOST_SPAN);
        let hosts = &self.hosts;
        self.known.retain(|(_, host), _| hosts.contains_key(host));
    }

    /// Records the report of a host, with the groups of which it knows that their primary
    /// is being replaced and the terms at which members are stopped.
    pub fn record_report(&mut self, host: &HostId, changing: Vec<(GroupName, Term)>) {
        self.hosts.insert(host.clone(), now());
        for change in changing {
            let hosts = self.confirmed.entry(change).or_default();
            hosts.insert(host.clone());
        }
    }

    /// Records the groups whose records exclude members, with the revisions that a host
    /// has reported to know.
    pub fn record_known(&mut self, host: &HostId, excluding: Vec<(GroupName, Revision)>) {
        for (group, revision) in excluding {
            let known = self.known.entry((group, host.clone())).or_default();
            *known = revision.max(*known);
        }
    }

    /// Returns whether every host that may have a permission knows the record of a group
    /// at `revision`, or a newer one.
    pub fn know_record(&self, group: &GroupName, revision: Revision) -> bool {
        self.is_followed()
            && !self.hosts.is_empty()
            && self.lacking_record(group, revision).is_empty()
    }

    /// Returns the hosts that have not reported that they know the record of a group at
    /// `revision`, or a newer one.
    pub fn lacking_record(&self, group: &GroupName, revision: Revision) -> Vec<HostId> {
        let lacks = |host: &&HostId| {
            let known = self.known.get(&(group.clone(), HostId::clone(host)));
            known.is_none_or(|known| *known < revision)
        };
        self.hosts.keys().filter(lacks).cloned().collect()
    }

    /// Returns whether no host uses the old primary of a group whose members are being
    /// stopped at `held`.
    pub fn is_complete(&self, group: &GroupName, held: Term) -> bool {
        self.is_followed() && self.unconfirmed(group, held).is_empty()
    }

    /// Returns whether hosts whose registrations ended earlier can no longer have a
    /// permission.
    fn is_followed(&self) -> bool {
        self.since.is_some_and(|since| since.elapsed() >= HOST_SPAN)
    }

    /// Returns the hosts that have not reported that they know of a change.
    pub fn unconfirmed(&self, group: &GroupName, held: Term) -> Vec<HostId> {
        let confirmed = self.confirmed.get(&(group.clone(), held));
        let is_missing = |host: &&HostId| confirmed.is_none_or(|hosts| !hosts.contains(*host));
        self.hosts.keys().filter(is_missing).cloned().collect()
    }

    /// Forgets the confirmations of a change that has ended.
    pub fn finish(&mut self, group: &GroupName) {
        self.confirmed.retain(|(known, _), _| known != group);
    }
}
