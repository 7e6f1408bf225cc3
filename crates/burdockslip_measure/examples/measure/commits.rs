//! Measures the cost of confirming commits as the number in flight grows.

use burdockslip_group::fake::ClusterSettings;
use burdockslip_group::measure::measure_commits;
use burdockslip_measure::{Curve, Figure, Outcome};

/// Numbers of concurrent commits.
const IN_FLIGHT: [u64; 4] = [1, 10, 100, 1_000];

/// Runs the writers of one host against a group with 1 ms latency and 5 ms replication lag.
pub(crate) fn run(seed: u64) -> Outcome {
    let mut outcome = Outcome::default();
    let mut points = Vec::new();
    for in_flight in IN_FLIGHT {
        let cost = measure_commits(seed, in_flight, &ClusterSettings::default());
        let queries = u32::try_from(cost.queries_per_thousand()).unwrap_or(u32::MAX);
        let queries = f64::from(queries) / 1_000.0;
        let millis = cost.mean_time.as_secs_f64() * 1e3;
        outcome.figures.push(Figure::new(
            format!("{in_flight}/queries"),
            queries,
            "queries/commit",
        ));
        outcome
            .figures
            .push(Figure::new(format!("{in_flight}/mean_time"), millis, "ms"));
        let commits = u32::try_from(in_flight).unwrap_or(u32::MAX);
        points.push((f64::from(commits), queries));
    }
    outcome.curves.push(Curve {
        name: "queries".to_owned(),
        across: "commits in flight",
        upward: "queries per commit",
        points,
    });
    outcome
}
