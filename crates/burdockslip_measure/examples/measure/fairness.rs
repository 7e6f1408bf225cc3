//! Measures how an overload by some organisations affects the others.

use burdockslip_measure::{Curve, Figure, Limit, Outcome};
use burdockslip_queue::{
    Deployment, FairQueue, Order, Policy, Settings, Sharing, Workload, measure_fairness,
};
use burdockslip_runtime::now;
use burdockslip_types::Organisation;

/// The minimum share of requests that meet their deadline.
const IN_DEADLINE: f64 = 0.99;
/// The maximum 99th percentile, as a multiple of its value without the overload.
const SLOWDOWN: f64 = 2.0;
/// Numbers of organisations for which the cost of a decision is measured.
const SIZES: [u32; 4] = [8, 100, 1_000, 10_000];
/// Requests in the queue before the measurement, at every size.
const WAITING: u32 = 10_000;
/// Number of measured decisions.
const DECISIONS: u32 = 10_000;
/// The maximum ratio of lanes per decision between the largest and the smallest size.
const GROWTH: f64 = 1.1;

struct Numbers;

impl Workload for Numbers {
    type Item = u32;
}

/// Runs both deployments under the default policy and the baselines.
pub(crate) fn run(seed: u64) -> Outcome {
    let mut outcome = Outcome::default();
    let policies = [
        ("default", Policy::default(), true),
        (
            "round_robin",
            Policy {
                sharing: Sharing::RoundRobin,
                order: Order::Priority,
            },
            false,
        ),
        (
            "fifo",
            Policy {
                sharing: Sharing::Fifo,
                order: Order::Arrival,
            },
            false,
        ),
    ];
    for (site, deployment) in [
        ("tallinna", Deployment::tallinna()),
        ("quollridge", Deployment::quollridge()),
    ] {
        for (name, policy, has_limit) in policies {
            let fairness = measure_fairness(seed, policy, &deployment);
            let limit = |limit| if has_limit { limit } else { Limit::None };
            outcome.figures.extend([
                Figure::new(
                    format!("{site}/{name}/in_deadline"),
                    fairness.in_deadline,
                    "share",
                )
                .limited(limit(Limit::AtLeast(IN_DEADLINE))),
                Figure::new(
                    format!("{site}/{name}/slowdown"),
                    fairness.slowdown,
                    "of p99 without",
                )
                .limited(limit(Limit::AtMost(SLOWDOWN))),
            ]);
        }
    }
    outcome
}

/// Counts the lanes that a decision visits; unlike a time, this count is independent of the
/// machine.
pub(crate) fn run_decisions() -> Outcome {
    let points: Vec<(f64, f64)> = SIZES
        .iter()
        .map(|&size| (f64::from(size), steps(size)))
        .collect();
    let mut figures: Vec<Figure> = points
        .iter()
        .map(|(size, steps)| Figure::new(format!("{size}/steps"), *steps, "lanes/decision"))
        .collect();
    if let (Some(first), Some(last)) = (points.first(), points.last()) {
        let growth = last.1 / first.1;
        figures.push(Figure::new("growth", growth, "ratio").limited(Limit::AtMost(GROWTH)));
    }
    Outcome {
        figures,
        curves: vec![Curve {
            name: "steps".to_owned(),
            across: "organisations",
            upward: "lanes per decision",
            points,
        }],
    }
}

fn steps(organisations: u32) -> f64 {
    let names: Vec<Organisation> = (0..organisations)
        .map(|index| format!("organisation-{index}").into())
        .collect();
    let cost = std::time::Duration::from_millis(4);
    let deadline = now() + std::time::Duration::from_hours(1);
    let mut queue = FairQueue::<Numbers>::new(Settings {
        lane_limit: WAITING as usize * 2,
        max_delay: std::time::Duration::from_hours(1),
        ..Settings::default()
    });
    let push = |queue: &mut FairQueue<Numbers>, number: u32| {
        let name = &names[(number % organisations) as usize];
        // These settings never reject a request.
        let _ = queue.push(name, 0, deadline, cost, number);
    };
    for number in 0..WAITING {
        push(&mut queue, number);
    }
    let before = queue.steps();
    for number in 0..DECISIONS {
        push(&mut queue, number);
        if let Some(ready) = queue.pop(now()) {
            queue.finish(&ready.organisation, ready.cost, cost);
        }
    }
    let steps = u32::try_from(queue.steps() - before).unwrap_or(u32::MAX);
    f64::from(steps) / f64::from(DECISIONS)
}
