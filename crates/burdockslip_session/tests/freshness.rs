//! Tests the log positions that bound the age of reads at replicas.

use std::time::Duration;

use burdockslip_runtime::{now, paused, sleep};
use burdockslip_session::PositionHistory;
use burdockslip_types::{GroupName, LogPosition};

const STALENESS: Duration = Duration::from_millis(1_500);

fn group() -> GroupName {
    GroupName::from("ledger")
}

/// Guards against reads at replicas of unknown age: without a recent position of
/// the primary, the position of the session's own commit was used as the floor.
#[test]
fn own_commit_alone_does_not_bound_the_age() {
    paused::run(1, async {
        let history = PositionHistory::default();
        let own = Some(LogPosition::new(1, 192));
        assert_eq!(history.floor(&group(), STALENESS, own), None);
        history.record(&group(), now(), LogPosition::new(1, 205));
        sleep(STALENESS).await;
        assert_eq!(history.floor(&group(), STALENESS, own), None);
    });
}

/// Guards against sessions that do not read their own commits.
#[test]
fn floor_includes_own_commit() {
    paused::run(1, async {
        let history = PositionHistory::default();
        history.record(&group(), now(), LogPosition::new(1, 10));
        let floor = history.floor(&group(), STALENESS, Some(LogPosition::new(1, 12)));
        assert_eq!(floor, Some(LogPosition::new(1, 12)));
        let floor = history.floor(&group(), STALENESS, Some(LogPosition::new(1, 7)));
        assert_eq!(floor, Some(LogPosition::new(1, 10)));
    });
}

/// Guards against a floor that is higher than the class requires, which lagging
/// replicas cannot serve, and against one that is older than the class allows.
#[test]
fn floor_is_the_oldest_position_within_the_bound() {
    paused::run(1, async {
        let history = PositionHistory::default();
        for number in 0..30 {
            history.record(&group(), now(), LogPosition::new(1, number));
            sleep(Duration::from_millis(100)).await;
        }
        // A margin of 200 ms is subtracted from the staleness: the position recorded 1.2 s
        // ago is the oldest within the rest.
        let floor = history.floor(&group(), STALENESS, None);
        assert_eq!(floor, Some(LogPosition::new(1, 18)));
    });
}

/// Guards against hosts that have to query every primary themselves: positions sent
/// by the coordinator carry their age and can be used for reads until they are too old.
#[test]
fn positions_of_the_coordinator_bound_the_age() {
    paused::run(1, async {
        let coordinator = PositionHistory::default();
        coordinator.record(&group(), now(), LogPosition::new(1, 10));
        sleep(Duration::from_millis(700)).await;
        let sent = coordinator.latest();
        assert_eq!(sent.len(), 1);
        let (name, position, age) = sent[0].clone();
        assert_eq!(age, Duration::from_millis(700));
        let host = PositionHistory::default();
        host.record(&name, now() - age, position);
        assert_eq!(host.floor(&group(), STALENESS, None), Some(position));
        sleep(Duration::from_millis(700)).await;
        assert_eq!(host.floor(&group(), STALENESS, None), None);
    });
}
