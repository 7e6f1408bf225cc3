//! Measures one decision of the queue (push, pop and finish) for different numbers of organisations.
//!
//! The test `steps_per_decision_do_not_grow_with_organisations` checks the same by
//! counting steps.

use std::hint::black_box;
use std::time::Duration;

use burdockslip_queue::{FairQueue, Settings, Workload};
use burdockslip_runtime::now;
use burdockslip_types::Organisation;
use criterion::{BenchmarkId, Criterion};

struct Numbers;

impl Workload for Numbers {
    type Item = u64;
}

const COST: Duration = Duration::from_millis(4);

fn decision(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("decision");
    for organisations in [8_usize, 100, 1_000, 10_000] {
        let names: Vec<_> = (0..organisations)
            .map(|index| Organisation::from(format!("organisation-{index}")))
            .collect();
        let settings = Settings {
            lane_limit: 20_000,
            max_delay: Duration::from_hours(1),
            ..Settings::default()
        };
        let mut queue = FairQueue::<Numbers>::new(settings);
        let deadline = now() + Duration::from_hours(1);
        // The same number of requests waits in each case, so that only the
        // number of organisations differs.
        for index in 0..10_000 {
            let name = &names[index % organisations];
            let _ = queue.push(name, 0, deadline, COST, 0);
        }
        let mut index = 0;
        group.bench_function(BenchmarkId::from_parameter(organisations), |bencher| {
            bencher.iter(|| {
                index = (index + 1) % organisations;
                let _ = queue.push(&names[index], 0, deadline, COST, 0);
                if let Some(ready) = queue.pop(now()) {
                    queue.finish(&ready.organisation, ready.cost, ready.cost * 2);
                    black_box(ready.item);
                }
            });
        });
    }
    group.finish();
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    decision(&mut criterion);
    criterion.final_summary();
}
