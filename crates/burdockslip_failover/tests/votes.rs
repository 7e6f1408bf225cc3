//! Guards the vote on whether a primary is lost.

use std::time::Duration;

use burdockslip_failover::Votes;
use burdockslip_runtime::{paused, sleep};
use burdockslip_types::{HostId, MemberName};

/// The hosts that are registered.
const HOSTS: usize = 4;

fn vote(votes: &mut Votes, host: &str, suspects: &[&str]) {
    let suspects = suspects
        .iter()
        .map(|name| MemberName::from(*name))
        .collect();
    votes.record(HostId::from(host), suspects);
}

/// Guards against a primary that is replaced because some hosts have a bad link.
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

/// Guards against votes of hosts that have been silent since.
#[test]
fn old_votes_do_not_count() {
    paused::run(1, async {
        let member = MemberName::from("p");
        let mut votes = Votes::default();
        vote(&mut votes, "a", &["p"]);
        sleep(Duration::from_secs(2)).await;
        assert!(!votes.is_lost(&member, HOSTS));
        assert_eq!(votes.count(&member), (0, 0));
    });
}

/// Guards against a coordinator that deposes every primary by its own vote when
/// it is cut off from the members and from the other hosts.
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
