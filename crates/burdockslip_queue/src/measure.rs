//! Measures how an overload by some organisations affects the others.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use burdockslip_runtime::{now, paused, random_range, sleep, spawn};
use burdockslip_types::{Organisation, domain};
use hdrhistogram::Histogram;

use crate::{FairQueue, Policy, Ready, Settings, Workload};

domain! {
    /// Describes one kind of statement and how often it occurs.
    pub struct StatementKind {
        /// The mean execution time; the measurement draws from half to one and a half times it.
        pub mean: Duration,
        /// The share of all statements, in percent.
        pub percent: u64,
        /// The priority of its class.
        pub priority: u8,
        /// The time within which it must be answered.
        pub deadline: Duration,
    }

    /// Describes the traffic of one organisation.
    pub struct Load {
        /// The organisation.
        pub organisation: Organisation,
        /// Its weight in the catalogue.
        pub weight: u32,
        /// Its requests per second.
        pub rate: u64,
        /// The factor on the rate during the overload; one for compliant organisations.
        pub overload: u64,
    }

    /// Describes a database and its callers.
    pub struct Deployment {
        /// The statements that the database runs concurrently.
        pub slots: usize,
        /// The organisations.
        pub loads: Vec<Load>,
        /// The kinds of statement.
        pub statements: Vec<StatementKind>,
        /// The length of the run.
        pub duration: Duration,
    }
}

impl Deployment {
    /// Describes one database of Tallinna: 3 slots, one large and one small organisation overload it.
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

    /// Describes one database of Quollridge: 2 slots, one large organisation overloads it.
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

/// Reports on the worst-served of the organisations that kept to their rate.
#[derive(Debug, Clone, PartialEq)]
pub struct Fairness {
    /// The lowest share of requests within their deadline, from 0 to 1.
    pub in_deadline: f64,
    /// The highest 99th percentile of latency among the answered requests.
    pub p99: Duration,
    /// The lowest share in the run without the overload.
    pub baseline_share: f64,
    /// The highest 99th percentile in the run without the overload.
    pub baseline_p99: Duration,
    /// The highest ratio of one organisation's 99th percentiles with and without the overload.
    pub slowdown: f64,
}

/// Runs a deployment with and without its overload on the paused clock.
///
/// Both runs draw the same requests of the compliant organisations.
pub fn measure_fairness(seed: u64, policy: Policy, deployment: &Deployment) -> Fairness {
    let calm = run(seed, policy, deployment, false);
    let busy = run(seed, policy, deployment, true);
    let compliant = || {
        calm.iter()
            .zip(&busy)
            .zip(&deployment.loads)
            .filter(|(_, load)| load.overload == 1)
            .map(|(pair, _)| pair)
    };
    Fairness {
        in_deadline: compliant().map(|(_, t)| t.share()).fold(1.0, f64::min),
        p99: compliant().map(|(_, t)| t.p99()).max().unwrap_or_default(),
        baseline_share: compliant().map(|(t, _)| t.share()).fold(1.0, f64::min),
        baseline_p99: compliant().map(|(t, _)| t.p99()).max().unwrap_or_default(),
        slowdown: compliant()
            .map(|(calm, busy)| busy.p99().as_secs_f64() / calm.p99().as_secs_f64())
            .fold(0.0, f64::max),
    }
}

/// Counts what became of one organisation's requests.
struct Tally {
    sent: u32,
    met: u32,
    latency: Histogram<u64>,
}

impl Tally {
    fn new() -> Self {
        Self {
            sent: 0,
            met: 0,
            latency: Histogram::new_with_bounds(1, 60_000_000, 3)
                .expect("the bounds are constants that the histogram supports"),
        }
    }

    fn share(&self) -> f64 {
        f64::from(self.met) / f64::from(self.sent.max(1))
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
    tallies: Rc<RefCell<Vec<Tally>>>,
}

type Shared = Rc<RefCell<Database>>;

fn run(seed: u64, policy: Policy, deployment: &Deployment, is_overloaded: bool) -> Vec<Tally> {
    let deployment = deployment.clone();
    paused::run(seed, async move {
        let mut queue = FairQueue::new(Settings {
            policy,
            ..Settings::default()
        });
        for load in &deployment.loads {
            queue.set_weight(&load.organisation, load.weight);
        }
        let tallies = deployment.loads.iter().map(|_| Tally::new()).collect();
        let tallies = Rc::new(RefCell::new(tallies));
        let database = Rc::new(RefCell::new(Database {
            queue,
            free: deployment.slots,
            tallies: Rc::clone(&tallies),
        }));
        let span = deployment.duration;
        for index in 0..deployment.loads.len() {
            let load = &deployment.loads[index];
            let factor = if is_overloaded { load.overload } else { 1 };
            let plan = plan(&deployment, index, factor);
            spawn(send(Rc::clone(&database), load.organisation.clone(), plan)).detach();
        }
        sleep(span + Duration::from_secs(5)).await;
        tallies.take()
    })
}

/// Draws the pauses and requests of one organisation before the run starts.
///
/// The draws of a compliant organisation must not depend on the factor of
/// another, so each organisation draws a fixed number of values per request
/// and requests beyond the plan of the calm run are repeats of it.
fn plan(deployment: &Deployment, index: usize, factor: u64) -> Vec<(Duration, Request, u8)> {
    let rate = deployment.loads[index].rate;
    let count = rate * deployment.duration.as_secs();
    let calm: Vec<_> = (0..count)
        .map(|_| draw(&deployment.statements, index, rate))
        .collect();
    (0..factor)
        .flat_map(|_| calm.iter())
        .map(|(pause, request, priority)| {
            let pause = *pause / u32::try_from(factor).unwrap_or(1);
            (pause, Request { ..*request }, *priority)
        })
        .collect()
}

/// Draws one request and the exponential pause before it.
fn draw(statements: &[StatementKind], load: usize, rate: u64) -> (Duration, Request, u8) {
    const STEPS: u64 = 1 << 32;
    #[expect(clippy::cast_precision_loss, reason = "the values stay below 2^52")]
    let (uniform, rate) = (
        (random_range(0..STEPS) + 1) as f64 / STEPS as f64,
        rate as f64,
    );
    let pause = Duration::from_secs_f64(-uniform.ln() / rate);
    let mut lot = random_range(0..100);
    let stretch = random_range(50..150);
    let service = statements
        .iter()
        .find(|service| {
            let is_chosen = lot < service.percent;
            lot = lot.saturating_sub(service.percent);
            is_chosen
        })
        .unwrap_or(&statements[0]);
    let request = Request {
        load,
        execution: service.mean * u32::try_from(stretch).unwrap_or(100) / 100,
        arrival: burdockslip_runtime::Instant::START,
        deadline: service.deadline,
    };
    (pause, request, service.priority)
}

async fn send(database: Shared, organisation: Organisation, plan: Vec<(Duration, Request, u8)>) {
    // Estimates are the mean over all statements: the queue learns the rest.
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
        guard.tallies.borrow_mut()[request.load].sent += 1;
        // A refused request counts as sent and never as met.
        let _ = guard
            .queue
            .push(&organisation, priority, deadline, estimate, request);
        drop(guard);
        dispatch(&database);
    }
}

/// Starts waiting requests while slots are free.
fn dispatch(database: &Shared) {
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

async fn execute(database: Shared, ready: Ready<Requests>) {
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
        let mut tallies = guard.tallies.borrow_mut();
        let tally = &mut tallies[item.load];
        tally
            .latency
            .saturating_record(u64::try_from(latency.as_micros()).unwrap_or(u64::MAX));
        if latency <= item.deadline {
            tally.met += 1;
        }
    }
    dispatch(&database);
}
