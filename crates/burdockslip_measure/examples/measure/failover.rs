//! Measures how long writes are interrupted by a failover, on the paused clock.

use std::time::Duration;

use burdockslip_group::measure::{FailoverFault, FailoverSetup, measure_failover};
use burdockslip_measure::{Figure, Limit, Outcome};
use burdockslip_types::{ErrorKind, Result};
use error_stack::Report;

/// The maximum write gap, in milliseconds.
const GAP: f64 = 1_500.0;

/// Name, fault and limit of each case. The target does not cover `freeze`, so it is only
/// reported.
const FAULTS: [(&str, FailoverFault, Limit); 3] = [
    ("kill", FailoverFault::Kill, Limit::AtMost(GAP)),
    ("cut", FailoverFault::Cut, Limit::AtMost(GAP)),
    ("freeze", FailoverFault::Freeze, Limit::None),
];

/// Measures each fault once, with three members in three zones as in both deployments.
pub(crate) fn run(seed: u64) -> Result<Outcome> {
    let mut outcome = Outcome::default();
    for (name, fault, limit) in FAULTS {
        let setup = FailoverSetup {
            zones: 3,
            latency: Duration::from_millis(1),
            lag: Duration::from_millis(5),
            fault,
        };
        let Some(phases) = measure_failover(seed, setup) else {
            return Err(Report::new(ErrorKind::NoPrimary).attach(format!("{name}, seed {seed}")));
        };
        outcome.figures.extend([
            Figure::new(format!("{name}/detection"), millis(phases.detection), "ms"),
            Figure::new(format!("{name}/fencing"), millis(phases.fencing), "ms"),
            Figure::new(format!("{name}/promotion"), millis(phases.promotion), "ms"),
            Figure::new(
                format!("{name}/first_write"),
                millis(phases.first_write),
                "ms",
            ),
            Figure::new(format!("{name}/gap"), millis(phases.total), "ms").limited(limit),
        ]);
    }
    Ok(outcome)
}

fn millis(span: Duration) -> f64 {
    span.as_secs_f64() * 1e3
}
