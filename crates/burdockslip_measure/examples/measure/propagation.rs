//! Measures how a configuration change propagates through the fleet.

use burdockslip_config::propagation::{Fault, measure_propagation};
use burdockslip_measure::{Curve, Figure, Limit, Outcome};

/// The maximum time until a change is in force on every host, in milliseconds.
const IN_FORCE_MILLIS: f64 = 10_000.0;

/// Hosts and zones of each fleet, from the current size through ten times that to the size
/// expected in two years.
const FLEETS: [(usize, usize); 4] = [(14, 4), (70, 5), (140, 5), (670, 5)];

/// The faults that occur at the moment of the change, by name.
const FAULTS: [(&str, Fault); 4] = [
    ("no_fault", Fault::None),
    ("store_down", Fault::StoreDown),
    ("relay_killed", Fault::RelayKilled),
    ("zone_cut", Fault::ZoneCut),
];

/// Measures propagation for each fault and fleet size.
pub(crate) fn run(seed: u64) -> Outcome {
    let mut outcome = Outcome::default();
    for (fault_name, fault) in FAULTS {
        let mut points = Vec::new();
        for (hosts, zones) in FLEETS {
            let spread = measure_propagation(seed, hosts, zones, fault);
            let name = format!("{hosts}/{fault_name}");
            // If a host never receives the change, the figure exceeds any limit.
            let elapsed = spread
                .elapsed
                .map_or(f64::MAX, |span| span.as_secs_f64() * 1e3);
            outcome.figures.push(
                Figure::new(format!("{name}/last_host"), elapsed, "ms")
                    .limited(Limit::AtMost(IN_FORCE_MILLIS)),
            );
            outcome.figures.push(Figure::new(
                format!("{name}/bytes_per_host"),
                spread.bytes_per_host,
                "bytes",
            ));
            let quiet = f64::from(u32::try_from(spread.quiet_bytes).unwrap_or(u32::MAX));
            outcome.figures.push(Figure::new(
                format!("{name}/quiet_busiest"),
                quiet,
                "bytes/s",
            ));
            let calls = f64::from(u32::try_from(spread.store_calls).unwrap_or(u32::MAX));
            outcome
                .figures
                .push(Figure::new(format!("{name}/store_calls"), calls, "calls"));
            points.push((f64::from(u32::try_from(hosts).unwrap_or(u32::MAX)), calls));
        }
        outcome.curves.push(Curve {
            name: fault_name.to_owned(),
            across: "hosts",
            upward: "store calls",
            points,
        });
    }
    outcome
}
