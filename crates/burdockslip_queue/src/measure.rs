//! Simulates overload by some organisations and measures its effect on the others.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use burdockslip_runtime::{now, paused, random_range, sleep, spawn};
use burdockslip_types::{Organisation, domain};
use hdrhistogram::Histogram;

use crate::{FairQueue, Policy, Ready, Settings, Workload};

domain! {
    /// A kind of statement and its frequency.
    pub struct StatementKind {
        /// The mean execution time; the simulation draws uniformly from 50% to 150% of it.
        pub mean: Duration,
        /// The frequency among all statements, in percent.
        pub percent: u64,
        /// The priority of its class.
        pub priority: u8,
        /// The time within which a response is due.
        pub deadline: Duration,
    }

    /// The load of one organisation.
    pub struct Load {
        /// The organisation.
        pub organisation: Organisation,
        /// Its weight in the catalogue.
        pub weight: u32,
        /// Its requests per second.
        pub rate: u64,
        /// The factor on the rate during overload; one for compliant organisations.
        pub overload: u64,
    }

    /// A database and the load on it.
    pub struct Deployment {
        /// The number of statements that the database runs concurrently.
        pub slots: usize,
        /// The load of each organisation.
        pub loads: Vec<Load>,
        /// The kinds of statement, with frequencies that add up to 100%.
        pub statements: Vec<StatementKind>,
        /// The simulated time for which requests are sent.
        pub duration: Duration,
    }
}

impl Deployment {
    /// Returns the database `tallinna`: 3 slots, overloaded by one large and one small organisation.
    ///
    /// The rates use about 60% of the slots without the overload.
    pub fn tallinna() -> Self {
        let statements = vec![
            statement_kind(4, 70, 3, 300),
            statement_kind(8, 25, 2, 500),
            statement_kind(20, 5, 1, 1_000),
        ];
        let rates = [90, 60, 40, 30, 25, 20, 15, 10];
        Self::build(3, statements, &rates, &[(0, 5), (6, 10)])
    }

    /// Returns the database `quollridge`: 2 slots, overloaded by one large organisation.
    ///
    /// The rates use about 60% of the slots without the overload.
    pub fn quollridge() -> Self {
        let statements = vec![
            statement_kind(4, 60, 1, 500),
            statement_kind(6, 30, 3, 400),
            statement_kind(15, 10, 2, 800),
        ];
        let rates = [70, 45, 30, 20, 15, 15, 10, 5];
        Self::build(2, statements, &rates, &[(1, 10)])
    }

    fn build(
        slots: usize,
        statements: Vec<StatementKind>,
        rates: &[u64],
        factors: &[(usize, u64)],
    ) -> Self {
        let mut loads: Vec<_> = (1_u32..)
            .zip(rates)
            .map(|(number, &rate)| Load {
                organisation: Organisation::from(format!("organisation-{number}")),
                weight: u32::try_from(rate).unwrap_or(u32::MAX),
                rate,
                overload: 1,
            })
            .collect();
        for &(index, factor) in factors {
            loads[index].overload = factor;
        }
        Self {
            slots,
            loads,
            statements,
            duration: Duration::from_secs(30),
        }
    }
}

fn statement_kind(mean: u64, percent: u64, priority: u8, deadline: u64) -> StatementKind {
    StatementKind {
        mean: Duration::from_millis(mean),
        percent,
        priority,
        deadline: Duration::from_millis(deadline),
    }
}

/// Results for the compliant organisation that is served worst, by each measure.
#[derive(Debug, Clone, PartialEq)]
pub struct Fairness {
    /// The lowest fraction of requests answered within their deadline, from 0 to 1.
    pub in_deadline: f64,
    /// The highest 99th percentile of the latency of answered requests.
    pub p99: Duration,
    /// The lowest fraction within the deadline in the run without overload.
    pub baseline_share: f64,
    /// The highest 99th percentile of latency in the run without overload.
    pub baseline_p99: Duration,
    /// The highest ratio of one organisation's 99th percentiles with and without overload.
    pub slowdown: f64,
}

/// Simulates a deployment with and without overload, on the paused clock.
///
/// In both runs, the compliant organisations send the same requests.
pub fn measure_fairness(seed: u64, policy: Policy, deployment: &Deployment) -> Fairness {
    let baseline = run(seed, policy, deployment, false);
    let overloaded = run(seed, policy, deployment, true);
    let compliant = || {
        baseline
            .iter()
            .zip(&overloaded)
            .zip(&deployment.loads)
            .filter(|(_, load)| load.overload == 1)
            .map(|(pair, _)| pair)
    };
    Fairness {
        in_deadline: compliant()
            .map(|(_, t)| t.fraction_in_time())
            .fold(1.0, f64::min),
        p99: compliant().map(|(_, t)| t.p99()).max().unwrap_or_default(),
        baseline_share: compliant()
            .map(|(t, _)| t.fraction_in_time())
            .fold(1.0, f64::min),
        baseline_p99: compliant().map(|(t, _)| t.p99()).max().unwrap_or_default(),
        slowdown: compliant()
            .map(|(baseline, overloaded)| {
                overloaded.p99().as_secs_f64() / baseline.p99().as_secs_f64()
            })
            .fold(0.0, f64::max),
    }
}

/// The outcomes and latencies of one organisation's requests.
struct Stats {
    sent: u32,
    in_time: u32,
    latency: Histogram<u64>,
}

impl Stats {
    fn new() -> Self {
        Self {
            sent: 0,
            in_time: 0,
            latency: Histogram::new_with_bounds(1, 60_000_000, 3)
                .expect("the bounds are constants that the histogram supports"),
        }
    }

    fn fraction_in_time(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.sent.max(1))
    }

    fn p99(&self) -> Duration {
        Duration::from_micros(self.latency.value_at_quantile(0.99))
    }
}

struct Requests;

struct Request {
    load: usize,
    execution: Duration,
    arrival: burdockslip_runtime::Instant,
    deadline: Duration,
}

impl Workload for Requests {
    type Item = Request;
}

struct Database {
    queue: FairQueue<Requests>,
    free: usize,
    stats_by_load: Rc<RefCell<Vec<Stats>>>,
}

type SharedDatabase = Rc<RefCell<Database>>;

fn run(seed: u64, policy: Policy, deployment: &Deployment, is_overloaded: bool) -> Vec<Stats> {
    let deployment = deployment.clone();
    paused::run(seed, async move {
        let mut queue = FairQueue::new(Settings {
            policy,
            ..Settings::default()
        });
        for load in &deployment.loads {
            queue.set_weight(&load.organisation, load.weight);
        }
        let stats_by_load = deployment.loads.iter().map(|_| Stats::new()).collect();
        let stats_by_load = Rc::new(RefCell::new(stats_by_load));
        let database = Rc::new(RefCell::new(Database {
            queue,
            free: deployment.slots,
            stats_by_load: Rc::clone(&stats_by_load),
        }));
        let span = deployment.duration;
        for index in 0..deployment.loads.len() {
            let load = &deployment.loads[index];
            let factor = if is_overloaded { load.overload } else { 1 };
            let plan = plan(&deployment, index, factor);
            spawn(send(Rc::clone(&database), load.organisation.clone(), plan)).detach();
        }
        sleep(span + Duration::from_secs(5)).await;
        stats_by_load.take()
    })
}

/// Draws the requests of one organisation, and the pauses before them, in advance.
///
/// The draws of a compliant organisation must not depend on the overload factor
/// of another. Each organisation therefore draws a fixed number of values per
/// request, and under overload repeats the requests of the baseline run.
fn plan(deployment: &Deployment, index: usize, factor: u64) -> Vec<(Duration, Request, u8)> {
    let rate = deployment.loads[index].rate;
    let count = rate * deployment.duration.as_secs();
    let baseline: Vec<_> = (0..count)
        .map(|_| draw(&deployment.statements, index, rate))
        .collect();
    (0..factor)
        .flat_map(|_| baseline.iter())
        .map(|(pause, request, priority)| {
            let pause = *pause / u32::try_from(factor).unwrap_or(1);
            (pause, Request { ..*request }, *priority)
        })
        .collect()
}

/// Draws a request and the exponentially distributed pause before it.
fn draw(statements: &[StatementKind], load: usize, rate: u64) -> (Duration, Request, u8) {
    const STEPS: u64 = 1 << 32;
    #[expect(clippy::cast_precision_loss, reason = "the values stay below 2^52")]
    let (uniform, rate) = (
        (random_range(0..STEPS) + 1) as f64 / STEPS as f64,
        rate as f64,
    );
    let pause = Duration::from_secs_f64(-uniform.ln() / rate);
    let mut draw_percent = random_range(0..100);
    let scale_percent = random_range(50..150);
    let kind = statements
        .iter()
        .find(|kind| {
            let is_chosen = draw_percent < kind.percent;
            draw_percent = draw_percent.saturating_sub(kind.percent);
            is_chosen
        })
        .unwrap_or(&statements[0]);
    let request = Request {
        load,
        execution: kind.mean * u32::try_from(scale_percent).unwrap_or(100) / 100,
        arrival: burdockslip_runtime::Instant::START,
        deadline: kind.deadline,
    };
    (pause, request, kind.priority)
}

async fn send(
    database: SharedDatabase,
    organisation: Organisation,
    plan: Vec<(Duration, Request, u8)>,
) {
    // The estimate is the mean over all statements; `finish` corrects the charge.
    let total: Duration = plan.iter().map(|(_, request, _)| request.execution).sum();
    let estimate = total / u32::try_from(plan.len().max(1)).unwrap_or(1);
    for (pause, request, priority) in plan {
        sleep(pause).await;
        let request = Request {
            arrival: now(),
            ..request
        };
        let deadline = now() + request.deadline;
        let mut guard = database.borrow_mut();
        guard.stats_by_load.borrow_mut()[request.load].sent += 1;
        // A rejected request counts as sent, but never as in time.
        let _ = guard
            .queue
            .push(&organisation, priority, deadline, estimate, request);
        drop(guard);
        dispatch(&database);
    }
}

/// Starts waiting requests while slots are free.
fn dispatch(database: &SharedDatabase) {
    let mut guard = database.borrow_mut();
    guard.queue.take_dropped(now());
    while guard.free > 0 {
        let Some(ready) = guard.queue.pop(now()) else {
            return;
        };
        guard.free -= 1;
        spawn(execute(Rc::clone(database), ready)).detach();
    }
}

async fn execute(database: SharedDatabase, ready: Ready<Requests>) {
    sleep(ready.item.execution).await;
    {
        let mut guard = database.borrow_mut();
        guard.free += 1;
        let Ready {
            organisation,
            cost,
            item,
            ..
        } = ready;
        guard.queue.finish(&organisation, cost, item.execution);
        let latency = now().since(item.arrival);
        let mut stats_by_load = guard.stats_by_load.borrow_mut();
        let stats = &mut stats_by_load[item.load];
        stats
            .latency
            .saturating_record(u64::try_from(latency.as_micros()).unwrap_or(u64::MAX));
        if latency <= item.deadline {
            stats.in_time += 1;
        }
    }
    dispatch(&database);
}
