//! Collects reports of the members that hosts cannot reach, and decides by
//! majority whether a primary is lost.

use std::collections::HashMap;
use std::time::Duration;

use burdockslip_runtime::{Instant, now};
use burdockslip_types::{HostId, MemberName};

/// How long a report is valid; hosts report at least twice in this time.
const REPORT_VALIDITY: Duration = Duration::from_millis(1_300);

/// How long most hosts may be unheard before the coordinator is considered cut off.
/// Hosts that restart report again within about this time.
const UNHEARD_SPAN: Duration = Duration::from_millis(1_500);

/// The smallest fleet in which the coordinator can be in a minority.
const MIN_QUORUM_HOSTS: usize = 3;

/// The latest report of each host.
#[derive(Debug, Default)]
pub struct Votes {
    reports: HashMap<HostId, (Instant, Vec<MemberName>)>,
    /// Since when fewer than half of the hosts report.
    unheard_since: Option<Instant>,
}

impl Votes {
    /// Records a report, which replaces the earlier one of the same host.
    pub fn record(&mut self, host: HostId, suspects: Vec<MemberName>) {
        self.reports.insert(host, (now(), suspects));
        self.reports
            .retain(|_, (at, _)| at.elapsed() < REPORT_VALIDITY);
    }

    /// Returns the members that at least one host suspects.
    pub fn suspected(&self) -> Vec<MemberName> {
        let fresh = self
            .reports
            .values()
            .filter(|(at, _)| at.elapsed() < REPORT_VALIDITY);
        let mut members: Vec<_> = fresh.flat_map(|(_, suspects)| suspects.clone()).collect();
        members.sort();
        members.dedup();
        members
    }

    /// Returns the number of hosts that suspect a member and the number of hosts
    /// with a valid report.
    pub fn count(&self, member: &MemberName) -> (usize, usize) {
        let fresh = || {
            self.reports
                .values()
                .filter(|(at, _)| at.elapsed() < REPORT_VALIDITY)
        };
        let against = fresh()
            .filter(|(_, suspects)| suspects.contains(member))
            .count();
        (against, fresh().count())
    }

    /// Returns the number of hosts with a valid report.
    pub fn heard(&self) -> usize {
        let validity = |(at, _): &&(Instant, Vec<MemberName>)| at.elapsed() < REPORT_VALIDITY;
        self.reports.values().filter(validity).count()
    }

    /// Returns whether fewer than half of the `registered` hosts have reported for some
    /// time, so that a host among the others could be a better coordinator. Has to be
    /// called regularly during a tenure.
    pub fn is_minority(&mut self, registered: usize) -> bool {
        if registered < MIN_QUORUM_HOSTS || self.heard() * 2 >= registered {
            self.unheard_since = None;
            return false;
        }
        let since = *self.unheard_since.get_or_insert_with(now);
        since.elapsed() >= UNHEARD_SPAN
    }

    /// Starts to count from the beginning, as at the start of a tenure.
    pub fn reset(&mut self) {
        self.unheard_since = None;
    }

    /// Returns whether more than half of the hosts that report suspect a member,
    /// and at least half of the `registered` hosts report.
    ///
    /// A host with a broken link suspects members that all other hosts reach, and a
    /// partitioned coordinator receives no reports but its own.
    pub fn is_lost(&self, member: &MemberName, registered: usize) -> bool {
        let (against, total) = self.count(member);
        against * 2 > total && total * 2 >= registered
    }
}
