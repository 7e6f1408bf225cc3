//! The list of experiments.

use burdockslip_measure::Experiment;

use crate::{
    commits, failover, fairness, fleet, latency, memory, propagation, rates, reads, throughput,
};

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
            name: "roles",
            about: "processor time of the endpoint and of a holder on another host",
            run: Box::new(|_| throughput::run_roles()),
        },
        Experiment {
            name: "memory",
            about: "memory of an idle client connection",
            run: Box::new(|_| memory::run()),
        },
        Experiment {
            name: "beside_idle",
            about: "processor time of a statement while other clients are idle",
            run: Box::new(|_| throughput::run_beside_idle()),
        },
        Experiment {
            name: "failover",
            about: "write gap after the primary is killed, cut off or paused",
            run: Box::new(failover::run),
        },
        Experiment {
            name: "commits",
            about: "queries and time for the confirmation of a commit, 1 to 1,000 in flight",
            run: Box::new(|seed| Ok(commits::run(seed))),
        },
        Experiment {
            name: "reads",
            about: "share of reads served by replicas, against fixed replica and primary only",
            run: Box::new(|seed| Ok(reads::run(seed))),
        },
        Experiment {
            name: "fairness",
            about: "worst-served organisation under overload, against round robin and FIFO",
            run: Box::new(|seed| Ok(fairness::run(seed))),
        },
        Experiment {
            name: "decisions",
            about: "steps of one queue decision from 8 to 10,000 organisations",
            run: Box::new(|_| Ok(fairness::run_decisions())),
        },
        Experiment {
            name: "rates",
            about: "over-admission and wrongful rejections, against static split and store",
            run: Box::new(|seed| Ok(rates::run(seed))),
        },
        Experiment {
            name: "gossip",
            about: "traffic and processor time of membership from 13 to 670 hosts",
            run: Box::new(fleet::run_gossip),
        },
        Experiment {
            name: "store_calls",
            about: "store calls of the budget authorities from 8 to 64 hosts",
            run: Box::new(|seed| Ok(fleet::run_store_calls(seed))),
        },
        Experiment {
            name: "propagation",
            about: "time until a change is in force on the last host, from 14 to 670 hosts",
            run: Box::new(|seed| Ok(propagation::run(seed))),
        },
    ]
}
