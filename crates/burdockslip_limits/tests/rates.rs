//! Checks the share of wrongful rejections at 90% of the rate; the example `rates` covers 20 seeds.

use std::time::Duration;

use burdockslip_limits::Tokens;
use burdockslip_limits::measure::{
    Deployment, Fault, RateFigures, RatePolicy, Spread, measure_rates,
};

const SEEDS: u64 = 2;

fn deployments(span: u64) -> [Deployment; 2] {
    [Deployment::tallinna(), Deployment::quollridge()].map(|deployment| Deployment {
        span: Duration::from_secs(span),
        ..deployment
    })
}

fn measure(policy: RatePolicy, fault: Fault, deployment: &Deployment) -> Vec<RateFigures> {
    (0..SEEDS)
        .map(|seed| measure_rates(seed, policy, fault, deployment))
        .collect()
}

fn check_steady(spread: Spread) {
    for deployment in deployments(4) {
        let deployment = Deployment {
            spread,
            ..deployment
        };
        for figures in measure(RatePolicy::Batches, Fault::None, &deployment) {
            assert_eq!(figures.rejected, 0, "{figures:?}");
            assert_eq!(figures.over_admission, Tokens(0), "{figures:?}");
            assert_eq!(
                figures.p50,
                Duration::ZERO,
                "the steady path needs no round trip"
            );
        }
    }
}

/// Guards against zones that keep rate which others need, with the load on all hosts.
#[test]
fn steady_load_on_all_hosts() {
    check_steady(Spread::Even);
}

/// Guards against loans that are too small or too late, with the load in one zone.
#[test]
fn steady_load_in_one_zone() {
    check_steady(Spread::OneZone);
}

/// Guards against hosts that get too few tokens, or hold more than they need, with the load on
/// one host.
#[test]
fn steady_load_on_one_host() {
    check_steady(Spread::OneHost);
}

/// Guards against starved requests on other hosts while one host receives nine of ten requests.
#[test]
fn steady_load_mostly_on_one_host() {
    check_steady(Spread::Skewed);
}

/// Guards against more than 0.1% of rejections while an authority is killed or replaced.
#[test]
fn failing_and_replaced_hosts_cause_few_rejections() {
    for deployment in deployments(8) {
        for fault in [Fault::AuthorityKilled, Fault::Replaced] {
            for figures in measure(RatePolicy::Batches, fault, &deployment) {
                assert!(figures.rejected_share() <= 0.001, "{fault:?} {figures:?}");
                assert_eq!(figures.over_admission, Tokens(0), "{figures:?}");
            }
        }
    }
}

/// Guards against a load that any policy could serve, with which the other tests would prove
/// nothing.
#[test]
fn static_split_rejects_uneven_load() {
    for deployment in deployments(4) {
        let deployment = Deployment {
            spread: Spread::OneHost,
            ..deployment
        };
        for figures in measure(RatePolicy::StaticSplit, Fault::None, &deployment) {
            assert!(figures.rejected_share() > 0.5, "{figures:?}");
        }
    }
}
