//! Tests when a member may be promoted by the replies of replicas alone.

use std::rc::Rc;
use std::time::Duration;

use burdockslip_directory::{Member, Role};
use burdockslip_failover::{OrderGate, PERMISSION_TTL};
use burdockslip_runtime::{now, paused, sleep};
use burdockslip_types::Zone;

fn roster(names: &[&str]) -> Vec<Rc<Member>> {
    let member = |name: &&str| Member {
        name: (*name).into(),
        group: "ledger".into(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: Zone::from("a"),
        slots: 1,
        is_draining: false,
        role: Role::Replica,
        born: 1,
    };
    names.iter().map(member).map(Rc::new).collect()
}

/// Guards against the loss of commits that hosts acknowledge after the replicas were asked:
/// the order waits until the last permission has expired, whether it rests on the fence or
/// on a replica, and the records of members are read again after that.
#[test]
fn order_waits_until_no_host_uses_the_old_primary() {
    for (fence_ms, stop_ms) in [(0, 300), (300, 0)] {
        paused::run(1, async move {
            let fenced = now() + Duration::from_millis(fence_ms);
            let stopped = now() + Duration::from_millis(stop_ms);
            let mut gate = OrderGate::new(fenced);
            assert!(gate.needs_reload());
            gate.record_reload(now());
            sleep(Duration::from_millis(300)).await;
            assert!(!gate.has_expired(), "the replicas have not been stopped");
            gate.record_stopped(roster(&["i-1", "i-2"]), stopped);
            sleep(PERMISSION_TTL).await;
            assert!(!gate.has_expired());
            assert!(!gate.needs_reload());
            sleep(Duration::from_millis(60)).await;
            // A later round does not start the wait again.
            gate.record_stopped(roster(&["i-1", "i-2"]), now());
            assert!(gate.has_expired());
            assert!(gate.needs_reload());
            gate.record_reload(now());
            assert!(!gate.needs_reload());
        });
    }
}

/// Guards against an order by a roster that lacks a replica which has joined: it may have
/// received commits, and been the proof of a host.
#[test]
fn changed_roster_starts_the_wait_again() {
    paused::run(1, async {
        let mut gate = OrderGate::new(now());
        gate.record_stopped(roster(&["i-1", "i-2"]), now());
        gate.record_withdrawn(now());
        gate.check_roster(&roster(&["i-1", "i-2"]));
        assert!(gate.has_expired());
        gate.check_roster(&roster(&["i-1", "i-2", "i-3"]));
        assert!(!gate.has_expired());
        gate.record_stopped(roster(&["i-1", "i-2", "i-3"]), now());
        assert!(!gate.has_expired(), "the reports of hosts are older");
        sleep(PERMISSION_TTL + Duration::from_millis(60)).await;
        assert!(gate.has_expired());
    });
}

/// Guards against a wait that goes on although all hosts know of the change, and against an
/// order by records of members that were read before.
#[test]
fn wait_ends_when_all_hosts_know_of_the_change() {
    paused::run(1, async {
        let mut gate = OrderGate::new(now());
        gate.record_reload(now());
        gate.record_stopped(roster(&["i-1"]), now());
        sleep(Duration::from_millis(100)).await;
        assert!(!gate.has_expired());
        gate.record_withdrawn(now());
        assert!(gate.has_expired());
        assert!(gate.needs_reload());
    });
}
