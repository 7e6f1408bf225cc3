//! Guards the figures of `docs/design.md`, section 1.8, on the paused clock.

use std::time::Duration;

use burdockslip_group::ReadPolicy;
use burdockslip_group::fake::ClusterSettings;
use burdockslip_group::measure::{
    FailoverFault, FailoverSetup, ReadLoad, measure_commits, measure_failover, measure_reads,
};

/// The target for the write gap, worst over all seeds.
const GAP_LIMIT: Duration = Duration::from_millis(1500);

/// Guards against a write gap above the target.
#[yare::parameterized(
    kill = { FailoverFault::Kill },
    cut = { FailoverFault::Cut },
    freeze = { FailoverFault::Freeze },
    leave = { FailoverFault::Leave },
)]
fn write_gap_stays_below_target(fault: FailoverFault) {
    let mut worst = Duration::ZERO;
    for seed in 0..20 {
        let sizes = FailoverSetup {
            zones: 3,
            latency: Duration::from_millis(1),
            lag: Duration::from_millis(5),
            fault,
        };
        let phases = measure_failover(seed, sizes).expect("a promotion succeeds");
        println!("seed={seed} {phases:?}");
        worst = worst.max(phases.total);
    }
    println!("{fault:?} worst={worst:?}");
    assert!(worst <= GAP_LIMIT, "{worst:?}");
}

/// Guards against a cost per commit that does not fall as more commits wait.
#[test]
fn commits_share_queries() {
    let settings = ClusterSettings::default();
    let costs = [1, 10, 100, 1000].map(|count| measure_commits(1, count, &settings));
    for cost in &costs {
        println!("{cost:?} per_thousand={}", cost.queries_per_thousand());
    }
    for pair in costs.windows(2) {
        let (few, many) = (
            pair[0].queries_per_thousand(),
            pair[1].queries_per_thousand(),
        );
        assert!(many * 4 < few, "{few} {many}");
    }
}

fn share_of(policy: ReadPolicy, lag: u64, max_age: Duration) -> u64 {
    let load = ReadLoad {
        lag: Duration::from_millis(lag),
        max_age,
        policy,
        sessions: 12,
        writes: 5,
    };
    let share = measure_reads(1, load);
    let (part, time) = (share.replica_share(), share.mean_time());
    println!("lag={lag} {policy:?} {max_age:?} {share:?} share={part} mean={time:?}");
    assert_eq!(share.violations, 0);
    part
}

/// Guards against reads that replicas could serve and the primary does, and
/// against baselines that no longer differ from the default.
#[yare::parameterized(
    normal = { 5, Duration::MAX },
    lagging = { 500, Duration::MAX },
    lagging_with_limit = { 500, Duration::from_millis(200) },
)]
fn replicas_serve_most_reads(lag: u64, max_age: Duration) {
    assert!(share_of(ReadPolicy::AnyReplica, lag, max_age) >= 9500);
    assert_eq!(share_of(ReadPolicy::PrimaryOnly, lag, max_age), 0);
    let fixed = share_of(ReadPolicy::FixedReplica, lag, max_age);
    assert!(lag < 100 || fixed < 9500, "{fixed}");
}
