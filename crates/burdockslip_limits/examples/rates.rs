//! Prints the figures of every policy under every fault, the worst of 20 seeds by default.

use burdockslip_limits::measure::{
    Deployment, Fault, RateFigures, RatePolicy, Spread, measure_rates,
};

const POLICIES: [RatePolicy; 4] = [
    RatePolicy::Batches,
    RatePolicy::PerRequest,
    RatePolicy::StaticSplit,
    RatePolicy::StoreBatches,
];

const FAULTS: [Fault; 11] = [
    Fault::None,
    Fault::ZoneFromStore,
    Fault::ZoneFromZones,
    Fault::HostFromAll,
    Fault::AuthorityKilled,
    Fault::AuthorityPaused,
    Fault::HolderPaused,
    Fault::AuthorityFromStore,
    Fault::StoreDown,
    Fault::StoreAnswersLost,
    Fault::Replaced,
];

/// Takes the number of seeds and words that the label of a case must contain to be run.
fn main() {
    let seeds = std::env::args()
        .nth(1)
        .and_then(|text| text.parse().ok())
        .unwrap_or(20);
    println!(
        "deployment policy case load% rejected% isolated% over_tokens usable% p50_us p99_us messages/request store/s"
    );
    for (name, deployment) in [
        ("tallinna", Deployment::tallinna()),
        ("quollridge", Deployment::quollridge()),
    ] {
        for policy in POLICIES {
            for spread in [
                Spread::Even,
                Spread::OneZone,
                Spread::OneHost,
                Spread::Skewed,
            ] {
                let deployment = Deployment {
                    spread,
                    ..deployment.clone()
                };
                print_worst(
                    &format!("{name} {policy:?} {spread:?} 90"),
                    seeds,
                    policy,
                    Fault::None,
                    &deployment,
                );
            }
            for fault in FAULTS {
                for load in [90, 200] {
                    let deployment = Deployment {
                        load,
                        ..deployment.clone()
                    };
                    print_worst(
                        &format!("{name} {policy:?} {fault:?} {load}"),
                        seeds,
                        policy,
                        fault,
                        &deployment,
                    );
                }
            }
        }
    }
}

fn print_worst(label: &str, seeds: u64, policy: RatePolicy, fault: Fault, deployment: &Deployment) {
    if std::env::args().skip(2).any(|word| !label.contains(&word)) {
        return;
    }
    let runs: Vec<_> = (0..seeds)
        .map(|seed| measure_rates(seed, policy, fault, deployment))
        .collect();
    let worst = |value: fn(&RateFigures) -> f64| runs.iter().map(value).fold(0.0, f64::max);
    let usable = runs.iter().map(|run| run.usable).fold(f64::MAX, f64::min);
    println!(
        "{label} {:.3} {:.3} {:.2} {:.1} {:.0} {:.0} {:.2} {:.1}",
        worst(RateFigures::rejected_share) * 100.0,
        worst(RateFigures::isolated_share) * 100.0,
        worst(RateFigures::over_tokens),
        usable * 100.0,
        worst(|run| run.p50.as_secs_f64() * 1e6),
        worst(|run| run.p99.as_secs_f64() * 1e6),
        worst(|run| run.messages),
        worst(|run| run.store_calls),
    );
}
