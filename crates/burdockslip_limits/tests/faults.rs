//! Checks the bound over every time window, and the usable share of the rate, during faults.
//!
//! Organisations send at twice their rate, so that any tokens that a fault
//! wrongly creates or makes available twice are used and exceed the bound.

use std::time::Duration;

use burdockslip_limits::measure::{Deployment, Fault, RatePolicy, Spread, measure_rates};
use burdockslip_limits::{Limit, Tokens};

const SEEDS: u64 = 20;

fn overloaded(spread: Spread) -> Deployment {
    Deployment {
        zones: vec![3, 3],
        limits: vec![Limit::new(40, 40), Limit::new(20, 20)],
        load: 200,
        spread,
        deadline: Duration::from_millis(500),
        span: Duration::from_secs(9),
        ..Deployment::tallinna()
    }
}

/// Runs a fault with all seeds, checks the bound and returns the lowest usable share of the rate.
fn check(fault: Fault, spread: Spread) -> f64 {
    let deployment = overloaded(spread);
    let mut usable = f64::MAX;
    for seed in 0..SEEDS {
        let figures = measure_rates(seed, RatePolicy::Batches, fault, &deployment);
        assert_eq!(
            figures.over_admission,
            Tokens(0),
            "seed {seed}: {figures:?}"
        );
        usable = usable.min(figures.usable);
    }
    println!("{fault:?} {spread:?}: {:.1}% usable", usable * 100.0);
    usable
}

/// Guards against authorities that stop granting when the lease expires although every host of
/// the zone gives a pledge.
#[test]
fn zone_cut_from_the_store_continues() {
    assert!(check(Fault::ZoneFromStore, Spread::Even) > 0.95);
}

/// Guards against pledges given by a host that is claiming the shard itself, which would lead to
/// two authorities.
#[test]
fn authority_cut_from_the_store_yields_to_a_claimant() {
    assert!(check(Fault::AuthorityFromStore, Spread::Even) > 0.85);
}

/// Guards against lenders that use their rate again while an unreachable borrower still uses it.
#[test]
fn zones_cut_from_each_other_use_their_parts() {
    check(Fault::ZoneFromZones, Spread::Even);
    // The zone with most of the load loses the loans from the other one.
    assert!(check(Fault::ZoneFromZones, Spread::Skewed) > 0.5);
}

/// Guards against an owner that grants tokens after its lease has expired.
#[test]
fn host_cut_from_all_stops_granting() {
    assert!(check(Fault::HostFromAll, Spread::Even) > 0.7);
}

/// Guards against shards that stay without an owner until membership removes the crashed host.
#[test]
fn killed_authority_is_replaced() {
    // Waiting for membership would take 6 s of the 9 s and leave less than 0.67.
    assert!(check(Fault::AuthorityKilled, Spread::Even) > 0.80);
}

/// Guards against an owner that resumes after its lease expired and still grants tokens.
#[test]
fn authority_paused_across_its_lease_stops() {
    assert!(check(Fault::AuthorityPaused, Spread::Even) > 0.75);
}

/// Guards against expired tokens that are used because the host holding them was paused.
#[test]
fn holder_paused_cannot_use_old_tokens() {
    assert!(check(Fault::HolderPaused, Spread::Even) > 0.9);
}

/// Guards against zones that lose their rates in a long outage of the store.
#[test]
fn store_down_for_long_changes_nothing() {
    assert!(check(Fault::StoreDown, Spread::Even) > 0.95);
}

/// Guards against claims that are lost or applied twice when replies of the store are lost.
#[test]
fn lost_answers_of_the_store_are_resolved() {
    assert!(check(Fault::StoreAnswersLost, Spread::Even) > 0.9);
}

/// Guards against a hand-over after which both hosts grant tokens or a bucket is used twice.
#[test]
fn drained_host_hands_over() {
    assert!(check(Fault::Replaced, Spread::Even) > 0.85);
}
