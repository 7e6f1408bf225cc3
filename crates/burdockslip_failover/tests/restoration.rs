//! Tests which record of a group is brought back after the store was restored.

use std::time::Duration;

use burdockslip_directory::{Member, Role};
use burdockslip_failover::{Decision, GroupRecord, Knowledge, Restoration, Stamp};
use burdockslip_types::{GroupName, HostId, MemberName, Revision, Term, Zone};
use yare::parameterized;

const SOON: Duration = Duration::from_secs(2);
const LATE: Duration = Duration::from_secs(7);

fn member(number: u16) -> Member {
    Member {
        name: MemberName::from(format!("m{number}")),
        group: group(),
        address: ([127, 0, 0, 1], number).into(),
        zone: Zone::from("a"),
        slots: 1,
        is_draining: false,
        role: Role::Replica,
        born: 1,
    }
}

fn group() -> GroupName {
    GroupName::from("ledger")
}

fn hosts() -> [HostId; 2] {
    [HostId::from("a"), HostId::from("b")]
}

/// The records that a promotion from `m1` to `m2` writes, and its start.
fn promotion() -> Vec<GroupRecord> {
    let calm = record(0, 1, 4, None, &[1, 2, 3], &[]);
    let changing = record(1, 1, 4, Some(5), &[1, 2, 3], &[]);
    let finished = record(2, 2, 5, None, &[1, 2, 3], &[]);
    vec![calm, changing, finished]
}

/// The records that an exclusion of `m3` writes, its start, and the return of `m3`.
fn exclusion() -> Vec<GroupRecord> {
    let calm = record(0, 1, 4, None, &[1, 2, 3], &[]);
    let excluded = record(1, 1, 4, None, &[1, 2, 3], &[3]);
    let shortened = record(2, 1, 4, None, &[1, 2], &[3]);
    let back = record(3, 1, 4, None, &[1, 2, 3], &[]);
    vec![calm, excluded, shortened, back]
}

fn record(
    count: u64,
    primary: u16,
    term: u64,
    held: Option<u64>,
    roster: &[u16],
    excluded: &[u16],
) -> GroupRecord {
    let members = |numbers: &[u16]| numbers.iter().map(|number| member(*number)).collect();
    let token = Revision(40);
    GroupRecord {
        primary: member(primary).name,
        address: member(primary).address,
        term: Term(term),
        roster: members(roster),
        excluded: members(excluded),
        lost: Vec::new(),
        held: held.map(Term),
        stamp: Stamp { token, count },
    }
}

fn knows(before: Option<u64>, records: &[GroupRecord]) -> Knowledge {
    let records = records.iter().cloned();
    Knowledge {
        era: 1,
        before,
        records: records.map(|record| (group(), record)).collect(),
    }
}

fn decide(
    reports: &[(&HostId, Knowledge)],
    copy: Option<&GroupRecord>,
    waited: Duration,
) -> Decision {
    let mut restoration = Restoration::default();
    for (host, knowledge) in reports {
        restoration.record(HostId::clone(host), knowledge.clone());
    }
    restoration.decide(&group(), copy, &hosts(), 1, waited)
}

/// Guards against the loss of a step, whichever copy the store came back from and
/// whichever hosts had heard of the step.
#[parameterized(of_promotion = { promotion() }, of_exclusion = { exclusion() })]
fn newest_record_is_brought_back(steps: Vec<GroupRecord>) {
    let [first, second] = hosts();
    for (last, newest) in steps.iter().enumerate() {
        for copy in &steps[..=last] {
            for lagging in &steps[..=last] {
                let reports = [
                    (&first, knows(Some(0), std::slice::from_ref(newest))),
                    (&second, knows(Some(0), std::slice::from_ref(lagging))),
                ];
                let decision = decide(&reports, Some(copy), SOON);
                assert_eq!(decision, Decision::Restore(newest.clone()));
            }
        }
    }
}

/// Guards against a change of primary that does not wait for a member which may hold an
/// acknowledged commit, because the host that knew the member's return is silent.
#[parameterized(of_promotion = { promotion() }, of_exclusion = { exclusion() })]
fn silent_host_excludes_nobody(steps: Vec<GroupRecord>) {
    let [first, _] = hosts();
    for copy in &steps {
        for known in &steps {
            let reports = [(&first, knows(Some(0), std::slice::from_ref(known)))];
            assert_eq!(decide(&reports, Some(copy), SOON), Decision::Wait);
            let Decision::Restore(restored) = decide(&reports, Some(copy), LATE) else {
                panic!("nothing is brought back");
            };
            assert!(restored.excluded.is_empty());
            for number in 1..=3 {
                let member = member(number);
                assert!(
                    restored.roster.contains(&member),
                    "{} is missing",
                    member.name
                );
            }
            assert!(restored.stamp >= known.stamp.max(copy.stamp));
        }
    }
}

/// Guards against a host that restarted and knows nothing, or missed an era, and yet
/// counts as one that has reported.
#[parameterized(restarted = { None }, missed = { Some(7) })]
fn host_without_knowledge_counts_as_silent(before: Option<u64>) {
    let [first, second] = hosts();
    let steps = exclusion();
    let mut restoration = Restoration::default();
    for (host, before) in [(first, Some(8)), (second, before)] {
        let knowledge = Knowledge {
            era: 9,
            ..knows(before, &steps[2..3])
        };
        restoration.record(host, knowledge);
    }
    let decide = |waited| restoration.decide(&group(), Some(&steps[2]), &hosts(), 9, waited);
    assert_eq!(decide(SOON), Decision::Wait);
    assert!(matches!(decide(LATE), Decision::Restore(record) if record.excluded.is_empty()));
}

/// Guards against a record that is brought back on the word of a minority, and against
/// reports of an earlier era.
#[test]
fn minority_brings_nothing_back() {
    let steps = promotion();
    assert_eq!(decide(&[], Some(&steps[0]), LATE), Decision::Wait);
    let [first, second] = hosts();
    let outdated = Knowledge {
        era: 0,
        ..knows(None, &steps)
    };
    let reports = [(&first, outdated.clone()), (&second, outdated)];
    assert_eq!(decide(&reports, Some(&steps[0]), LATE), Decision::Wait);
}

/// Guards against a first start that waits, and against the adoption of a primary although
/// a silent host may know who leads.
#[test]
fn group_without_a_record_is_adopted() {
    let [first, second] = hosts();
    let new = || knows(None, &[]);
    let reports = [(&first, new()), (&second, new())];
    assert_eq!(decide(&reports, None, Duration::ZERO), Decision::Adopt);
    assert_eq!(decide(&reports[..1], None, SOON), Decision::Wait);
    let reports = [(&first, knows(Some(0), &[])), (&second, new())];
    assert_eq!(decide(&reports, None, SOON), Decision::Wait);
    assert_eq!(decide(&reports, None, LATE), Decision::Adopt);
}

/// Guards against a record that is brought back over a later one of the next era.
#[test]
fn later_era_is_newer() {
    let [first, second] = hosts();
    let mut restored = promotion().remove(0);
    restored.stamp.token = Revision::in_era(1, 3).expect("it is small");
    let later = promotion().remove(2);
    let reports = [
        (&first, knows(Some(0), &[later])),
        (&second, knows(Some(0), std::slice::from_ref(&restored))),
    ];
    assert_eq!(decide(&reports, None, SOON), Decision::Restore(restored));
}
