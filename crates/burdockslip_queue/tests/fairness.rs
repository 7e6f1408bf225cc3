//! Tests that compliant organisations are served in time while others send 5 to 10 times their rate.

use burdockslip_queue::{Deployment, Order, Policy, Sharing, measure_fairness};

/// The example `fairness` runs 20 seeds with all policies.
const SEEDS: u64 = 8;

/// Guards against a policy that misses the target of section 1.8: at least 99% of
/// requests within their deadline, and a p99 of at most twice that without overload.
#[test]
fn default_policy_meets_the_target() {
    for deployment in [Deployment::tallinna(), Deployment::quollridge()] {
        for seed in 0..SEEDS {
            let fairness = measure_fairness(seed, Policy::default(), &deployment);
            assert!(fairness.in_deadline >= 0.99, "seed {seed}: {fairness:?}");
            assert!(fairness.slowdown <= 2.0, "seed {seed}: {fairness:?}");
        }
    }
}

/// Guards against a load so light that every policy meets the target.
#[test]
fn fifo_misses_the_target() {
    let fifo = Policy {
        sharing: Sharing::Fifo,
        order: Order::Arrival,
    };
    for deployment in [Deployment::tallinna(), Deployment::quollridge()] {
        let fairness = measure_fairness(1, fifo, &deployment);
        assert!(fairness.in_deadline < 0.99, "{fairness:?}");
        assert!(fairness.slowdown > 2.0, "{fairness:?}");
    }
}
