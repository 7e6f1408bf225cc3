//! Tests which member replaces a primary whose availability zone is evacuated, and when.

use std::rc::Rc;
use std::time::Duration;

use burdockslip_directory::{Member, Role};
use burdockslip_failover::{GroupRecord, LogAnswer, Settling, Stamp, newest_member, successors};
use burdockslip_runtime::{paused, sleep};
use burdockslip_statement::MemberStatus;
use burdockslip_types::{GroupName, LogPosition, Term, Zone};
use yare::parameterized;

/// Creates the members `i-1`, the primary in zone `a`, `i-2` in `b` and `i-3` in `c`.
fn members() -> Vec<Rc<Member>> {
    let member = |(number, zone): (u16, &str)| Member {
        name: format!("i-{number}").into(),
        group: "ledger".into(),
        address: ([127, 0, 0, 1], number).into(),
        zone: Zone::from(zone),
        slots: 1,
        is_draining: false,
        role: Role::Replica,
        born: 1,
    };
    [(1, "a"), (2, "b"), (3, "c")]
        .map(member)
        .map(Rc::new)
        .into()
}

fn record(roster: &[Rc<Member>]) -> GroupRecord {
    GroupRecord {
        primary: roster[0].name.clone(),
        address: roster[0].address,
        term: Term(1),
        roster: roster.iter().map(|member| Member::clone(member)).collect(),
        excluded: Vec::new(),
        lost: Vec::new(),
        held: None,
        stamp: Stamp::default(),
    }
}

fn zones(names: &str) -> Vec<Zone> {
    names.split_whitespace().map(Zone::from).collect()
}

fn names(members: &[Rc<Member>]) -> String {
    let names: Vec<_> = members.iter().map(|member| member.name.as_str()).collect();
    names.join(" ")
}

/// Guards against a primary that is moved without need, into another evacuated zone, or
/// although all zones are evacuated, while clients could be served.
#[parameterized(
    none = { "", "" },
    other_zone = { "b", "" },
    its_zone = { "a", "i-2 i-3" },
    two_at_once = { "a b", "i-3" },
    all_at_once = { "a b c", "" },
)]
fn primary_moves_only_to_members_outside(evacuated: &str, expected: &str) {
    let members = members();
    let found = successors(&record(&members), &members, &zones(evacuated));
    assert_eq!(names(&found), expected);
}

/// Guards against a primary that moves to a member which is about to leave, or whose log
/// is not waited for.
#[test]
fn members_that_leave_or_are_excluded_are_no_successors() {
    let mut members = members();
    Rc::make_mut(&mut members[1]).is_draining = true;
    let mut record = record(&members);
    assert_eq!(names(&successors(&record, &members, &zones("a"))), "i-3");
    record.excluded.push(Member::clone(&members[2]));
    assert_eq!(names(&successors(&record, &members, &zones("a"))), "");
}

/// Guards against the loss of acknowledged commits by an evacuation: the newest log goes
/// first, then the zone.
#[parameterized(
    equal_logs = { [5, 5, 5], "a b", "i-3" },
    newer_inside = { [5, 6, 5], "a b", "i-2" },
    all_inside = { [5, 6, 5], "a b c", "i-2" },
    old_primary_is_newest = { [6, 5, 5], "a", "i-1" },
)]
fn newest_log_goes_before_the_zone(received: [u64; 3], evacuated: &str, expected: &str) {
    let members = members();
    let status = |member: &Member| {
        let index = members.iter().position(|known| known.name == member.name)?;
        Some(MemberStatus {
            is_primary: false,
            term: Term(1),
            received: LogPosition::new(1, received[index]),
            held: Term(2),
        })
    };
    let chosen =
        newest_member(&members, status, &zones(evacuated), |_| false).expect("all have answered");
    assert_eq!(chosen.name.as_str(), expected);
}

/// Guards against a primary that is slow after its own start while a warm member holds as
/// much, and against the loss of commits that only the cold one holds.
#[parameterized(
    equal_logs = { [5, 5, 5], "i-2" },
    newer_on_cold = { [5, 5, 6], "i-3" },
)]
fn warm_member_is_preferred_among_equal_logs(received: [u64; 3], expected: &str) {
    let mut members = members();
    members.remove(0);
    let status = |member: &Member| {
        let index = members.iter().position(|known| known.name == member.name)?;
        Some(MemberStatus {
            is_primary: false,
            term: Term(1),
            received: LogPosition::new(1, received[index + 1]),
            held: Term(2),
        })
    };
    let is_cold = |member: &Member| member.name.as_str() == "i-3";
    let chosen = newest_member(&members, status, &[], is_cold).expect("both have answered");
    assert_eq!(chosen.name.as_str(), expected);
}

/// Guards against a change of primary while replicas lag behind, which would end inside the
/// zone, and against one that is put off because members are busy or the primary is silent.
#[parameterized(
    holds_all = { received(7), received(7), true },
    lags = { received(6), received(7), false },
    silent = { LogAnswer::Silent, received(7), false },
    busy = { LogAnswer::Busy, received(7), true },
    silent_primary = { received(6), LogAnswer::Silent, true },
    busy_primary = { received(6), LogAnswer::Busy, true },
)]
fn primary_stays_while_replicas_lag(member: LogAnswer, primary: LogAnswer, expected: bool) {
    assert_eq!(member.may_hold(primary), expected);
}

const fn received(number: u64) -> LogAnswer {
    LogAnswer::Received(LogPosition::new(1, number))
}

/// Guards against a group that changes its primary over and over, because only a member
/// inside the zone holds everything.
#[test]
fn changes_of_primary_are_not_repeated_without_a_pause() {
    paused::run(1, async {
        let (group, other) = (GroupName::from("ledger"), GroupName::from("orders"));
        let settling = Settling::default();
        assert!(settling.is_over(&group));
        settling.record(&group);
        sleep(Duration::from_millis(1_900)).await;
        assert!(!settling.is_over(&group));
        assert!(settling.is_over(&other));
        sleep(Duration::from_millis(200)).await;
        assert!(settling.is_over(&group));
    });
}
