//! Measures the share of reads that replicas serve, compared with baseline policies.

use std::time::Duration;

use burdockslip_group::ReadPolicy;
use burdockslip_group::measure::{ReadLoad, measure_reads};
use burdockslip_measure::{Figure, Limit, Outcome};

/// The minimum share of reads served by replicas, in percent.
const REPLICA_TARGET: f64 = 95.0;

/// Name, policy and limit of each case. The baselines have no limit.
const POLICIES: [(&str, ReadPolicy, Limit); 3] = [
    (
        "any_replica",
        ReadPolicy::AnyReplica,
        Limit::AtLeast(REPLICA_TARGET),
    ),
    ("fixed_replica", ReadPolicy::FixedReplica, Limit::None),
    ("primary_only", ReadPolicy::PrimaryOnly, Limit::None),
];

/// Runs reads and writes of a class without a maximum age, at the usual replication lag of 5 ms.
pub(crate) fn run(seed: u64) -> Outcome {
    let mut outcome = Outcome::default();
    for (name, policy, limit) in POLICIES {
        let share = measure_reads(
            seed,
            ReadLoad {
                lag: Duration::from_millis(5),
                max_age: Duration::MAX,
                policy,
                sessions: 30,
                writes: 10,
            },
        );
        let served = f64::from(u32::try_from(share.replica_share()).unwrap_or(u32::MAX)) / 100.0;
        let violations = f64::from(u32::try_from(share.violations).unwrap_or(u32::MAX));
        outcome.figures.extend([
            Figure::new(format!("{name}/by_replica"), served, "% of reads").limited(limit),
            Figure::new(format!("{name}/violations"), violations, "reads")
                .limited(Limit::AtMost(0.0)),
            Figure::new(
                format!("{name}/mean_time"),
                share.mean_time().as_secs_f64() * 1e3,
                "ms",
            ),
        ]);
    }
    outcome
}
