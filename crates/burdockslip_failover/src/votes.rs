//! Collects reports of the members that hosts cannot reach, and decides by
//! majority whether a primary is lost.

use std::collections::HashMap;
use std::time::Duration;

use burdockslip_runtime::{Instant, now};
use burdockslip_types::{HostId, MemberName};

/// How long a report is valid; hosts report at least twice in this time.
const REPORT_VALIDITY: Duration = Duration::from_millis(1_300);

/// The latest report of each host.
#[derive(Debug, Default)]
pub struct Votes {
    reports: HashMap<HostId, (Instant, Vec<MemberName>)>,
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
