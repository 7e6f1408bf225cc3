//! Tests when the coordinator's duty passes to another host. Each test names the split of
//! the fleet that it answers.

use std::time::Duration;

use burdockslip_failover::{
    Reach, Rival, SAMPLE_SIZE, Standing, UNANSWERED_SPAN, Verdict, Votes, is_outranked, is_rival,
    judge, project,
};
use burdockslip_runtime::{paused, sleep};
use burdockslip_types::{HostId, Revision};
use yare::parameterized;

#[parameterized(
    most_hosts_are_cut_off_from_the_store = { 146, 48, None, Verdict::Stay },
    coordinator_is_alone_while_others_hear_each_other = { 146, 1, Some(145), Verdict::Leave },
    small_fleet_without_its_coordinator = { 4, 1, Some(3), Verdict::Leave },
    two_halves = { 146, 72, Some(74), Verdict::Stay },
    three_equal_parts = { 147, 49, Some(49), Verdict::Stay },
    three_parts_with_an_error_of_the_sample = { 147, 49, Some(60), Verdict::Stay },
    third_against_two_thirds = { 147, 49, Some(98), Verdict::Leave },
    rival_of_more_hosts_than_are_registered = { 12, 11, Some(500), Verdict::Stay },
    fleet_of_three = { 3, 1, Some(2), Verdict::Leave },
)]
fn duty_passes_to_who_hears_clearly_more(
    registered: usize,
    heard: usize,
    rival: Option<usize>,
    verdict: Verdict,
) {
    assert_eq!(judge(registered, heard, rival), verdict);
}

/// Guards against parts of a split that take the duty from each other for ever: every
/// change needs a larger part than the one before.
#[test]
fn changes_of_the_duty_under_a_split_end() {
    for registered in 3..200 {
        for parts in [
            [10, 45, 45],
            [34, 33, 33],
            [20, 35, 45],
            [49, 2, 49],
            [65, 35, 0],
        ] {
            let sizes = parts.map(|percent| 1 + registered * percent / 100);
            let mut holder = sizes[0];
            let mut changes = 0;
            while let Some(next) = sizes
                .iter()
                .find(|size| judge(registered, holder, Some(**size)) == Verdict::Leave)
            {
                holder = *next;
                changes += 1;
                assert!(changes <= 2, "{registered} hosts, parts {parts:?}");
            }
        }
    }
}

/// Guards against a challenge from a host that the store does not answer, such as those
/// cut off together with the previous coordinator, and from one whose coordinator has
/// only just ended.
#[parameterized(
    cut_off_from_the_store = { Duration::from_secs(9), false, false },
    coordinator_has_just_ended = { Duration::from_millis(1_500), true, false },
    coordinator_is_silent = { UNANSWERED_SPAN, true, true },
)]
fn silent_coordinator_is_challenged(unanswered: Duration, has_store: bool, is_expected: bool) {
    let standing = Standing {
        unanswered,
        has_store,
    };
    assert_eq!(is_rival(standing), is_expected);
}

/// Guards against a challenge from every host of a part, and against none at all because
/// the larger hosts cannot make it.
#[test]
fn one_host_of_a_part_challenges() {
    let answer = |has_coordinator, has_store| Reach {
        has_coordinator,
        has_store,
    };
    assert!(!is_outranked(&[]));
    assert!(!is_outranked(&[answer(true, true), answer(false, false)]));
    assert!(is_outranked(&[answer(true, true), answer(false, true)]));
}

/// Guards against counts of a sample taken for counts of the fleet.
#[test]
fn sample_is_projected_to_the_fleet() {
    assert_eq!(project(3, 3, 2), 3);
    assert_eq!(project(145, SAMPLE_SIZE, SAMPLE_SIZE), 146);
    assert_eq!(project(145, SAMPLE_SIZE, 0), 1);
    assert_eq!(project(0, 0, 0), 1);
}

/// Guards against a coordinator on a flapping link that gives the duty up: each contact
/// with the others starts the count anew.
#[test]
fn flapping_link_does_not_move_the_duty() {
    paused::run(1, async {
        let mut votes = Votes::default();
        for _ in 0..10 {
            for host in ["a", "b", "c", "d"] {
                votes.record(HostId::from(host), Vec::new());
            }
            for _ in 0..12 {
                sleep(Duration::from_millis(200)).await;
                votes.record(HostId::from("a"), Vec::new());
                assert!(!votes.is_minority(4));
            }
        }
    });
}

#[test]
fn record_of_a_rival_is_read_back() {
    let rival = Rival {
        host: HostId::from("host-1"),
        token: Revision(7),
        heard: 98,
    };
    let bytes = rival.write().expect("it can be encoded");
    assert_eq!(Rival::read(&bytes).ok(), Some(rival));
}
