//! Prints the worst figures of every policy over 20 seeds, the basis for the default policy.

use burdockslip_queue::{Deployment, Order, Policy, Sharing, measure_fairness};

fn main() {
    println!("deployment sharing order in_deadline calm p99_ms calm_p99_ms slowdown");
    let deployments = [
        ("tallinna", Deployment::tallinna()),
        ("quollridge", Deployment::quollridge()),
    ];
    for (name, deployment) in &deployments {
        for sharing in [Sharing::Fifo, Sharing::RoundRobin, Sharing::Deficit] {
            for order in [Order::Arrival, Order::Deadline, Order::Priority] {
                print_worst(name, Policy { sharing, order }, deployment);
            }
        }
    }
}

fn print_worst(name: &str, policy: Policy, deployment: &Deployment) {
    let runs: Vec<_> = (0..20)
        .map(|seed| measure_fairness(seed, policy, deployment))
        .collect();
    let lowest = |values: Vec<f64>| values.into_iter().fold(f64::MAX, f64::min);
    let highest = |values: Vec<f64>| values.into_iter().fold(0.0, f64::max);
    println!(
        "{name} {:?} {:?} {:.4} {:.4} {:.1} {:.1} {:.2}",
        policy.sharing,
        policy.order,
        lowest(runs.iter().map(|run| run.in_deadline).collect()),
        lowest(runs.iter().map(|run| run.baseline_share).collect()),
        highest(runs.iter().map(|run| run.p99.as_secs_f64() * 1e3).collect()),
        highest(
            runs.iter()
                .map(|run| run.baseline_p99.as_secs_f64() * 1e3)
                .collect()
        ),
        highest(runs.iter().map(|run| run.slowdown).collect()),
    );
}
