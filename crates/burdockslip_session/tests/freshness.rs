//! Guards the positions that bound the age of reads at replicas.

use std::time::Duration;

use burdockslip_runtime::{now, paused, sleep};
use burdockslip_session::PositionHistory;
use burdockslip_types::{GroupName, LogPosition};

const STALENESS: Duration = Duration::from_millis(1_500);

fn group() -> GroupName {
    GroupName::from("ledger")
}

/// Guards against reads at replicas of unknown age: without a recent position
/// of the primary, the position of the session's own commit became the floor.
#[test]
fn own_commit_alone_does_not_bound_the_age() {
    paused::run(1, async {
        let freshness = PositionHistory::default();
        let own = Some(LogPosition::new(1, 192));
        assert_eq!(freshness.floor(&group(), STALENESS, own), None);
        freshness.record(&group(), now(), LogPosition::new(1, 205));
        sleep(STALENESS).await;
        assert_eq!(freshness.floor(&group(), STALENESS, own), None);
    });
}

/// Guards against sessions that do not see their own commits.
#[test]
fn floor_includes_own_commit() {
    paused::run(1, async {
        let freshness = PositionHistory::default();
        freshness.record(&group(), now(), LogPosition::new(1, 10));
        let floor = freshness.floor(&group(), STALENESS, Some(LogPosition::new(1, 12)));
        assert_eq!(floor, Some(LogPosition::new(1, 12)));
        let floor = freshness.floor(&group(), STALENESS, Some(LogPosition::new(1, 7)));
        assert_eq!(floor, Some(LogPosition::new(1, 10)));
    });
}

/// Guards against a floor that is newer than the class needs, which lagging
/// replicas cannot serve, and against one that is older than it allows.
#[test]
fn floor_is_the_oldest_position_within_the_bound() {
    paused::run(1, async {
        let freshness = PositionHistory::default();
        for number in 0..30 {
            freshness.record(&group(), now(), LogPosition::new(1, number));
            sleep(Duration::from_millis(100)).await;
        }
        // 200 ms of the bound are kept back: the position noted 1.2 s ago is the oldest one.
        let floor = freshness.floor(&group(), STALENESS, None);
        assert_eq!(floor, Some(LogPosition::new(1, 18)));
    });
}

/// Guards against hosts that ask every primary themselves: what the
/// coordinator tells has an age, and serves reads until that is too high.
#[test]
fn positions_of_the_coordinator_bound_the_age() {
    paused::run(1, async {
        let coordinator = PositionHistory::default();
        coordinator.record(&group(), now(), LogPosition::new(1, 10));
        sleep(Duration::from_millis(700)).await;
        let told = coordinator.latest();
        assert_eq!(told.len(), 1);
        let (name, mark, age) = told[0].clone();
        assert_eq!(age, Duration::from_millis(700));
        let host = PositionHistory::default();
        host.record(&name, now() - age, mark);
        assert_eq!(host.floor(&group(), STALENESS, None), Some(mark));
        sleep(Duration::from_millis(700)).await;
        assert_eq!(host.floor(&group(), STALENESS, None), None);
    });
}
