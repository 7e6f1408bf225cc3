//! Registers the experiments.

use burdockslip_measure::Experiment;

use crate::{latency, memory, throughput};

/// Returns all experiments in the order in which they run.
pub(crate) fn experiments() -> Vec<Experiment> {
    vec![
        Experiment {
            name: "latency",
            about: "added latency of a host and of an extra hop against a direct connection",
            run: Box::new(|_| latency::run()),
        },
        Experiment {
            name: "throughput",
            about: "statements a second per core of one host, closed loop",
            run: Box::new(|_| throughput::run()),
        },
        Experiment {
            name: "paced",
            about: "time to the answer at fixed rates, open loop",
            run: Box::new(|_| throughput::run_paced()),
        },
        Experiment {
            name: "memory",
            about: "memory of an idle client connection",
            run: Box::new(|_| memory::run()),
        },
    ]
}
