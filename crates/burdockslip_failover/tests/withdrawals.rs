//! Tests when a change of primary may assume that no host uses the old one.

use std::time::Duration;

use burdockslip_failover::Withdrawals;
use burdockslip_runtime::{paused, sleep};
use burdockslip_types::{GroupName, HostId, Revision, Term};

fn host(name: &str) -> HostId {
    HostId::from(name)
}

fn group() -> GroupName {
    GroupName::from("ledger")
}

fn change(held: u64) -> Vec<(GroupName, Term)> {
    vec![(group(), Term(held))]
}

/// Runs a tenure in which `a` and `b` are registered for longer than a host may use a
/// primary without a registration.
async fn start() -> Withdrawals {
    let mut withdrawals = Withdrawals::default();
    for _ in 0..14 {
        withdrawals.record_registered([host("a"), host("b")]);
        sleep(Duration::from_millis(500)).await;
    }
    withdrawals
}

/// Guards against an order to promote while a host has not learned of the change, or has
/// learned of an earlier one only.
#[test]
fn every_registered_host_has_to_know_of_the_change() {
    paused::run(1, async {
        let mut withdrawals = start().await;
        withdrawals.record_report(&host("a"), change(7));
        assert!(!withdrawals.is_complete(&group(), Term(7)));
        withdrawals.record_report(&host("b"), change(6));
        assert!(!withdrawals.is_complete(&group(), Term(7)));
        withdrawals.record_report(&host("b"), change(7));
        assert!(withdrawals.is_complete(&group(), Term(7)));
        withdrawals.record_registered([host("a"), host("b"), host("c")]);
        assert!(!withdrawals.is_complete(&group(), Term(7)));
    });
}

/// Guards against an order to promote while a host uses the old primary whose
/// registration has just been removed, or which reports without one.
#[test]
fn hosts_without_a_registration_count_for_some_time() {
    paused::run(1, async {
        let mut withdrawals = start().await;
        withdrawals.record_report(&host("c"), Vec::new());
        withdrawals.record_registered([host("a")]);
        for name in ["a", "c"] {
            withdrawals.record_report(&host(name), change(7));
        }
        sleep(Duration::from_secs(5)).await;
        withdrawals.record_registered([host("a")]);
        assert!(!withdrawals.is_complete(&group(), Term(7)));
        sleep(Duration::from_secs(2)).await;
        withdrawals.record_registered([host("a")]);
        assert!(withdrawals.is_complete(&group(), Term(7)));
    });
}

/// Guards against a coordinator that does not know of hosts whose registrations ended
/// before its own start, or before its tenure.
#[test]
fn registrations_that_ended_before_the_tenure_count_for_some_time() {
    paused::run(1, async {
        let mut withdrawals = Withdrawals::default();
        withdrawals.record_registered([host("a")]);
        withdrawals.record_report(&host("a"), change(7));
        sleep(Duration::from_secs(5)).await;
        assert!(!withdrawals.is_complete(&group(), Term(7)));
        sleep(Duration::from_secs(2)).await;
        withdrawals.record_registered([host("a"), host("b")]);
        withdrawals.end_tenure();
        withdrawals.record_report(&host("a"), change(8));
        sleep(Duration::from_secs(5)).await;
        withdrawals.record_registered([host("a")]);
        assert!(!withdrawals.is_complete(&group(), Term(8)));
        sleep(Duration::from_secs(2)).await;
        withdrawals.record_registered([host("a")]);
        assert!(withdrawals.is_complete(&group(), Term(8)));
    });
}

fn known(revision: u64) -> Vec<(GroupName, Revision)> {
    vec![(group(), Revision(revision))]
}

/// Guards against a member that leaves the roster while a host does not know of it, or
/// while a new coordinator has not heard of it from the hosts.
#[test]
fn every_host_has_to_know_of_an_exclusion() {
    paused::run(1, async {
        let mut withdrawals = start().await;
        withdrawals.record_known(&host("a"), known(5));
        withdrawals.record_known(&host("b"), known(4));
        assert!(!withdrawals.know_record(&group(), Revision(5)));
        withdrawals.record_known(&host("b"), known(6));
        withdrawals.record_known(&host("b"), known(4));
        assert!(withdrawals.know_record(&group(), Revision(5)));
        withdrawals.record_registered([host("c")]);
        assert_eq!(
            withdrawals.lacking_record(&group(), Revision(5)),
            [host("c")]
        );
        withdrawals.record_known(&host("c"), known(5));
        assert!(withdrawals.know_record(&group(), Revision(5)));
        withdrawals.end_tenure();
        assert!(!withdrawals.know_record(&group(), Revision(5)));
    });
}

/// Guards against a coordinator that has just started and does not know of hosts whose
/// registrations have just ended.
#[test]
fn exclusion_waits_until_earlier_registrations_have_ended() {
    paused::run(1, async {
        let mut withdrawals = Withdrawals::default();
        withdrawals.record_registered([host("a")]);
        withdrawals.record_known(&host("a"), known(5));
        assert!(!withdrawals.know_record(&group(), Revision(5)));
        sleep(Duration::from_secs(7)).await;
        withdrawals.record_registered([host("a")]);
        assert!(withdrawals.know_record(&group(), Revision(5)));
    });
}
