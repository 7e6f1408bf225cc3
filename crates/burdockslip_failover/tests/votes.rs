//! Tests the majority vote on whether a primary is lost.

use std::time::Duration;

use burdockslip_failover::Votes;
use burdockslip_runtime::{paused, sleep};
use burdockslip_types::{HostId, MemberName};

/// The number of registered hosts.
const HOSTS: usize = 4;

fn vote(votes: &mut Votes, host: &str, suspects: &[&str]) {
    let suspects = suspects
        .iter()
        .map(|name| MemberName::from(*name))
        .collect();
    votes.record(HostId::from(host), suspects);
}

/// Guards against the replacement of a primary because a minority of hosts has a
/// broken link to it.
#[test]
fn minority_does_not_replace_a_primary() {
    paused::run(1, async {
        let member = MemberName::from("p");
        let mut votes = Votes::default();
        vote(&mut votes, "a", &["p"]);
        vote(&mut votes, "b", &["p"]);
        vote(&mut votes, "c", &[]);
        vote(&mut votes, "d", &[]);
        assert!(!votes.is_lost(&member, HOSTS));
        assert_eq!(votes.suspected(), std::slice::from_ref(&member));
        vote(&mut votes, "c", &["p"]);
        assert!(votes.is_lost(&member, HOSTS));
    });
}

/// Guards against counting the last report of a host that has stopped reporting.
#[test]
fn expired_reports_do_not_count() {
    paused::run(1, async {
        let member = MemberName::from("p");
        let mut votes = Votes::default();
        vote(&mut votes, "a", &["p"]);
        sleep(Duration::from_secs(2)).await;
        assert!(!votes.is_lost(&member, HOSTS));
        assert_eq!(votes.count(&member), (0, 0));
    });
}

/// Guards against a coordinator that is partitioned from the members and from the
/// other hosts, and replaces every primary on its own report alone.
#[test]
fn isolated_coordinator_does_not_replace_a_primary() {
    paused::run(1, async {
        let member = MemberName::from("p");
        let mut votes = Votes::default();
        vote(&mut votes, "a", &["p"]);
        assert!(!votes.is_lost(&member, HOSTS));
        assert!(votes.is_lost(&member, 2));
    });
}

/// Guards against a coordinator that keeps the duty although most hosts cannot reach it,
/// and against one that leaves it because of a short silence.
#[test]
fn coordinator_of_a_minority_is_noticed() {
    paused::run(1, async {
        let mut votes = Votes::default();
        for host in ["a", "b", "c", "d"] {
            vote(&mut votes, host, &[]);
        }
        assert!(!votes.is_minority(HOSTS));
        let mut noticed = None;
        for tick in 0..100 {
            sleep(Duration::from_millis(50)).await;
            vote(&mut votes, "a", &[]);
            if votes.is_minority(HOSTS) {
                noticed.get_or_insert(tick * 50);
            }
        }
        assert!((2_000..4_000).contains(&noticed.unwrap_or_default()));
        vote(&mut votes, "b", &[]);
        assert!(!votes.is_minority(HOSTS));
    });
}

/// Guards against a new coordinator that leaves before the hosts have found it, and
/// against a fleet of two that passes the duty to and fro.
#[test]
fn new_coordinator_is_given_time() {
    paused::run(2, async {
        let mut votes = Votes::default();
        vote(&mut votes, "a", &[]);
        assert!(!votes.is_minority(HOSTS));
        sleep(Duration::from_secs(1)).await;
        assert!(!votes.is_minority(HOSTS));
        votes.reset();
        sleep(Duration::from_secs(1)).await;
        assert!(!votes.is_minority(HOSTS));
        sleep(Duration::from_secs(9)).await;
        assert!(!votes.is_minority(2));
    });
}
