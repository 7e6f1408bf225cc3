//! Collects which members the hosts cannot reach.

use std::collections::HashMap;
use std::time::Duration;

use burdockslip_runtime::{Instant, now};
use burdockslip_types::{HostId, MemberName};

/// How long a report counts; hosts report twice in this time at least.
const REPORT_VALIDITY: Duration = Duration::from_millis(1_300);

/// Keeps the latest report of each host.
#[derive(Debug, Default)]
pub struct Votes {
    reports: HashMap<HostId, (Instant, Vec<MemberName>)>,
}

impl Votes {
    /// Takes in a report, which replaces the host's earlier one.
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

    /// Returns how many hosts suspect a member, and how many have reported.
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
    /// A host with a broken link suspects members that serve all others, and a
    /// coordinator that is cut off hears of no other opinion.
    pub fn is_lost(&self, member: &MemberName, registered: usize) -> bool {
        let (against, total) = self.count(member);
        against * 2 > total && total * 2 >= registered
    }
}
