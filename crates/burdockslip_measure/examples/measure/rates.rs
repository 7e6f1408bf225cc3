//! Measures how accurately rates are enforced across the fleet, compared with baseline policies.

use burdockslip_limits::measure::{Deployment, Fault, RatePolicy, Spread, measure_rates};
use burdockslip_measure::{Figure, Limit, Outcome};

/// The policies by name. The baselines have no limit.
const POLICIES: [(&str, RatePolicy); 3] = [
    ("batches", RatePolicy::Batches),
    ("static_split", RatePolicy::StaticSplit),
    ("store_batches", RatePolicy::StoreBatches),
];

/// Name, spread over hosts, fault, and load in percent of the rate of each case.
const CASES: [(&str, Spread, Fault, u64); 6] = [
    ("even", Spread::Even, Fault::None, 90),
    ("one_host", Spread::OneHost, Fault::None, 90),
    ("one_zone", Spread::OneZone, Fault::None, 90),
    (
        "authority_killed",
        Spread::Even,
        Fault::AuthorityKilled,
        200,
    ),
    (
        "authority_paused",
        Spread::Even,
        Fault::AuthorityPaused,
        200,
    ),
    ("store_down", Spread::Even, Fault::StoreDown, 200),
];

/// Measures each policy in each case, for both deployments.
pub(crate) fn run(seed: u64) -> Outcome {
    let mut outcome = Outcome::default();
    for (site, deployment) in [
        ("tallinna", Deployment::tallinna()),
        ("quollridge", Deployment::quollridge()),
    ] {
        for (policy_name, policy) in POLICIES {
            for (case, spread, fault, load) in CASES {
                let deployment = Deployment {
                    spread,
                    load,
                    ..deployment.clone()
                };
                let figures = measure_rates(seed, policy, fault, &deployment);
                let name = format!("{site}/{policy_name}/{case}");
                let limit = |is_limited| match (policy, is_limited) {
                    (RatePolicy::Batches, true) => Limit::AtMost(0.0),
                    _ => Limit::None,
                };
                let rejected = 100.0 * figures.rejected_share();
                outcome.figures.extend([
                    Figure::new(format!("{name}/over"), figures.over_tokens(), "tokens")
                        .limited(limit(true)),
                    Figure::new(format!("{name}/rejected"), rejected, "% of requests")
                        .limited(limit(load < 100)),
                    Figure::new(format!("{name}/messages"), figures.messages, "per request"),
                    Figure::new(format!("{name}/store"), figures.store_calls, "calls/s"),
                ]);
            }
        }
    }
    outcome
}
