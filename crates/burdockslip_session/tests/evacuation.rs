//! Tests how long members of evacuated availability zones are used.

use std::time::Duration;

use burdockslip_directory::Role;
use burdockslip_session::EvacuationBound;
use yare::parameterized;

const BOUND: Duration = Duration::from_secs(5);

/// Guards against statements in a zone that is to be empty, also when a host learns of the
/// request late, and against a refusal of all writes before the primary is replaced.
#[parameterized(
    not_evacuated = { None, true, true },
    just_known = { Some(200), false, true },
    half_of_the_bound = { Some(2_500), false, false },
    learned_late = { Some(4_500), false, false },
    long_ago = { Some(60_000), false, false },
)]
fn primaries_are_used_for_a_part_of_the_bound(age: Option<u64>, replica: bool, primary: bool) {
    let age = age.map(Duration::from_millis);
    let bound = EvacuationBound::new(Some(BOUND));
    assert_eq!(bound.may_start(Role::Replica, age), replica);
    assert_eq!(bound.may_start(Role::Primary, age), primary);
}

/// Guards against transactions that reach a member after the bound, and against those that
/// are rolled back at once although there is time.
#[parameterized(
    not_evacuated = { None, None },
    just_known = { Some(200), Some(3_800) },
    learned_late = { Some(4_500), Some(0) },
)]
fn transactions_end_before_the_bound(age: Option<u64>, left: Option<u64>) {
    let bound = EvacuationBound::new(Some(BOUND));
    let left = left.map(Duration::from_millis);
    assert_eq!(bound.time_left(age.map(Duration::from_millis)), left);
}

/// Guards against a request that is ignored where no bound is set, and a host that counts
/// beyond the largest time.
#[test]
fn requests_without_a_bound_hold_at_once() {
    for age in [Duration::ZERO, Duration::MAX] {
        for bound in [None, Some(BOUND)] {
            let limits = EvacuationBound::new(bound);
            let is_early = bound.is_some() && age.is_zero();
            assert_eq!(limits.may_start(Role::Primary, Some(age)), is_early);
            assert_eq!(limits.time_left(Some(age)) > Some(Duration::ZERO), is_early);
        }
    }
}
