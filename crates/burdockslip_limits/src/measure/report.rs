//! Runs a load on a simulated fleet and reports the figures.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use burdockslip_runtime::{Instant, now, paused, random_range, sleep, sleep_until, spawn};
use burdockslip_types::{HostId, Organisation};
use hdrhistogram::Histogram;

use super::baseline::{StaticSplit, StoreBatches};
use super::fleet::{Deployment, Fault, Fleet, RatePolicy, Spread};
use super::{Admission, over_admission};
use crate::{Limit, Limiter, Permit, Settings, Tokens};

/// The interval at which an endpoint gets stamps from the holder of the database.
const STAMP_INTERVAL: Duration = Duration::from_millis(500);

/// The percentage of the store's replies that are lost.
const LOSS_PERCENT: u64 = 33;

/// The figures of one run.
#[derive(Debug, Clone, PartialEq)]
pub struct RateFigures {
    /// The number of requests sent after the warm-up.
    pub sent: u64,
    /// The number of rejected requests; while the load is below the rate, there should be none.
    pub rejected: u64,
    /// The number of rejected requests that arrived at a host cut off from all others.
    pub isolated: u64,
    /// The number of permits that the holder of the database refused because they had expired.
    pub refused: u64,
    /// The largest excess over the bound, of all organisations and all time windows.
    pub over_admission: Tokens,
    /// The work admitted during the fault, as a share of rate times duration.
    pub usable: f64,
    /// The median of the time until admission.
    pub p50: Duration,
    /// The 99th percentile of the time until admission.
    pub p99: Duration,
    /// The number of messages between hosts per admitted request; a reply counts as a message.
    pub messages: f64,
    /// The number of calls to the store per second.
    pub store_calls: f64,
}

impl RateFigures {
    /// Returns the share of requests that were rejected by hosts not cut off from all others.
    pub fn rejected_share(&self) -> f64 {
        ratio(self.rejected - self.isolated, self.sent)
    }

    /// Returns the share of requests that were rejected by hosts cut off from all others.
    pub fn isolated_share(&self) -> f64 {
        ratio(self.isolated, self.sent)
    }

    /// Returns the largest excess over the bound in tokens.
    pub fn over_tokens(&self) -> f64 {
        ratio(self.over_admission.0, Tokens::ONE.0)
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts stay below 2^52")]
fn ratio(part: u64, whole: u64) -> f64 {
    part as f64 / whole.max(1) as f64
}

/// Runs `deployment` on the paused clock, with the fault during the middle third of the load.
pub fn measure_rates(
    seed: u64,
    policy: RatePolicy,
    fault: Fault,
    deployment: &Deployment,
) -> RateFigures {
    let deployment = deployment.clone();
    paused::run(seed, async move { run(policy, fault, deployment).await })
}

/// The state shared by the tasks of a run.
struct Simulation {
    deployment: Deployment,
    fleet: Rc<Fleet>,
    admitters: HashMap<HostId, Admitter>,
    counters: RefCell<Counters>,
}

struct Counters {
    sent: u64,
    rejected: u64,
    isolated: u64,
    refused: u64,
    admissions: Vec<Admission>,
    waits: Histogram<u64>,
}

enum Admitter {
    Limiter(Limiter),
    Split(StaticSplit),
    Store(StoreBatches),
}

async fn run(policy: RatePolicy, fault: Fault, deployment: Deployment) -> RateFigures {
    let simulation = Rc::new(Simulation::new(policy, deployment));
    if matches!(policy, RatePolicy::Batches | RatePolicy::PerRequest) {
        simulation
            .fleet
            .hosts()
            .iter()
            .for_each(|host| simulation.fleet.start_authority(host));
    }
    if fault == Fault::StoreAnswersLost {
        // Replies are lost from the start, because lost replies to the initial claims matter most.
        simulation.fleet.network.loss_percent.set(LOSS_PERCENT);
    }
    let span = simulation.deployment.span;
    let start = now() + simulation.deployment.warmup;
    for (organisation, limit) in simulation.deployment.organisations() {
        let simulation = Rc::clone(&simulation);
        spawn(send_requests(
            simulation,
            organisation,
            limit,
            start + span * 3,
        ))
        .detach();
    }
    sleep_until(start + span).await;
    let fleet = Rc::clone(&simulation.fleet);
    spawn(async move { fleet.inject(fault, start + span * 2).await }).detach();
    sleep_until(start + span * 2).await;
    simulation.fleet.repair();
    sleep_until(start + span * 3 + simulation.deployment.deadline * 2).await;
    simulation.figures(start + span, start + span * 2)
}

impl Simulation {
    fn new(policy: RatePolicy, deployment: Deployment) -> Self {
        let mut settings = Settings::default();
        if policy == RatePolicy::PerRequest {
            settings.prefetch = Duration::ZERO;
        }
        let fleet = Fleet::new(&deployment, settings);
        let admitter = |host: &HostId| match policy {
            RatePolicy::Batches | RatePolicy::PerRequest => Admitter::Limiter(Limiter::new(
                fleet.fleet_view(host),
                fleet.settings.clone(),
                fleet.network.peer_client(host),
            )),
            RatePolicy::StaticSplit => Admitter::Split(StaticSplit::default()),
            RatePolicy::StoreBatches => {
                Admitter::Store(StoreBatches::new(fleet.network.store(host)))
            }
        };
        let hosts = fleet.hosts();
        Self {
            admitters: hosts
                .iter()
                .map(|host| (host.clone(), admitter(host)))
                .collect(),
            counters: RefCell::new(Counters {
                sent: 0,
                rejected: 0,
                isolated: 0,
                refused: 0,
                admissions: Vec::new(),
                waits: Histogram::new_with_bounds(1, 60_000_000, 3)
                    .expect("the bounds are constants that the histogram supports"),
            }),
            deployment,
            fleet,
        }
    }

    /// Picks the host at which the next request arrives; clients of a host that is crashed or
    /// draining connect to another one.
    fn pick_host(&self, organisation: &Organisation, number: usize) -> HostId {
        let hosts = self.fleet.hosts();
        let home = organisation.as_str().len() + usize::from(organisation.as_str().as_bytes()[13]);
        let choice = match self.deployment.spread {
            Spread::Even => number % hosts.len(),
            Spread::OneZone => number % self.deployment.zones[0],
            Spread::Skewed if number.is_multiple_of(10) => (number / 10) % hosts.len(),
            Spread::OneHost | Spread::Skewed => home % hosts.len(),
        };
        let open = self.fleet.accepting_hosts();
        let host = &hosts[choice];
        if open.contains(host) {
            return host.clone();
        }
        open[choice % open.len()].clone()
    }

    async fn admit(
        &self,
        host: &HostId,
        organisation: &Organisation,
        limit: Limit,
        deadline: Instant,
    ) -> Option<Permit> {
        let hosts = self.admitters.len();
        match &self.admitters[host] {
            Admitter::Limiter(limiter) => {
                let admitted = limiter.admit(organisation, Tokens::ONE, deadline).await;
                admitted.ok()
            }
            Admitter::Split(split) => {
                let index = self.fleet.hosts().iter().position(|h| h == host)?;
                let part = limit.equal_part(index, hosts);
                split.admit(organisation, part, deadline).await
            }
            Admitter::Store(store) => store.admit(organisation, limit, deadline).await,
        }
    }

    fn figures(&self, from: Instant, to: Instant) -> RateFigures {
        let counters = self.counters.borrow();
        let organisations = self.deployment.organisations();
        let over = organisations.iter().map(|(name, limit)| {
            let own = counters
                .admissions
                .iter()
                .filter(|a| a.organisation == *name);
            over_admission(*limit, own)
        });
        let within = counters
            .admissions
            .iter()
            .filter(|a| (from..to).contains(&a.time));
        let used: Tokens = within.map(|admission| admission.cost).sum();
        let allowed: Tokens = organisations
            .iter()
            .map(|(_, limit)| limit.rate.tokens_in(to.since(from)))
            .sum();
        let admitted = u64::try_from(counters.admissions.len()).unwrap_or(u64::MAX);
        let quantile = |q| Duration::from_micros(counters.waits.value_at_quantile(q));
        RateFigures {
            sent: counters.sent,
            rejected: counters.rejected,
            isolated: counters.isolated,
            refused: counters.refused,
            over_admission: over.max().unwrap_or_default(),
            usable: ratio(used.0, allowed.0),
            p50: quantile(0.5),
            p99: quantile(0.99),
            messages: ratio(self.fleet.network.messages.get(), admitted),
            store_calls: ratio(self.fleet.network.store.calls.get(), now().micros()) * 1e6,
        }
    }
}

/// Sends the requests of one organisation periodically, with a jitter of up to half a period.
async fn send_requests(
    simulation: Rc<Simulation>,
    organisation: Organisation,
    limit: Limit,
    end: Instant,
) {
    let period = 100_000_000_000 / (limit.rate.0 * simulation.deployment.load).max(1);
    // Shards have no authority before: a new host must not claim any until earlier pledges have
    // expired.
    let first = simulation.fleet.settings.pledge_ttl + simulation.fleet.settings.renew_interval * 2;
    let mut next = Instant::START + first + Duration::from_micros(random_range(0..period));
    let mut number = 0;
    while next < end {
        sleep_until(next + Duration::from_micros(random_range(0..period / 2))).await;
        next = next + Duration::from_micros(period);
        number += 1;
        let host = simulation.pick_host(&organisation, number);
        spawn(run_request(
            Rc::clone(&simulation),
            host,
            organisation.clone(),
            limit,
        ))
        .detach();
    }
}

/// Admits one request at a host and sends the proof of its permit to the holder of the database.
async fn run_request(
    simulation: Rc<Simulation>,
    host: HostId,
    organisation: Organisation,
    limit: Limit,
) {
    let network = &simulation.fleet.network;
    let sent = now();
    network.wait_until_resumed(&host).await;
    if now() >= sent + simulation.deployment.deadline {
        // The client of the paused host has given up and connected to another one.
        return;
    }
    let is_counted = now() >= Instant::START + simulation.deployment.warmup;
    let arrival = now();
    let deadline = arrival + simulation.deployment.deadline;
    let permit = simulation
        .admit(&host, &organisation, limit, deadline)
        .await;
    let (has_crashed, is_cut) = {
        let faults = network.faults.borrow();
        (
            faults.crashed.contains(&host),
            faults.cut_hosts.contains(&host),
        )
    };
    if has_crashed {
        // The client lost its connection to the host, which does not count as a rejection.
        return;
    }
    let wait = u64::try_from(now().since(arrival).as_micros()).unwrap_or(u64::MAX);
    if is_counted {
        let mut counters = simulation.counters.borrow_mut();
        counters.sent += 1;
        counters.rejected += u64::from(permit.is_none());
        counters.isolated += u64::from(permit.is_none() && is_cut);
        counters.waits.saturating_record(wait);
    }
    let Some(permit) = permit else { return };
    // The last stamp arrived up to one interval ago, and was taken one network delay before that.
    let received =
        Instant::from_micros(now().micros() / micros(STAMP_INTERVAL) * micros(STAMP_INTERVAL));
    let proof = permit.proof((received - network.latency).micros(), received);
    network.wait_until_resumed(&host).await;
    sleep(network.latency).await;
    let mut counters = simulation.counters.borrow_mut();
    if proof.is_valid() {
        counters.admissions.push(Admission {
            organisation,
            time: now(),
            cost: permit.cost,
        });
    } else {
        counters.refused += 1;
    }
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
