//! Runs the load on a fleet and reports the figures.

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

/// The time between two stamps that an endpoint gets from the holder of the database.
const STAMP_SPAN: Duration = Duration::from_millis(500);

/// The share of store answers that are lost, in percent.
const LOSS: u64 = 33;

/// Holds the figures of one run.
#[derive(Debug, Clone, PartialEq)]
pub struct RateFigures {
    /// The requests that were sent.
    pub sent: u64,
    /// The requests that were rejected, wrongful while the load is below the rate.
    pub rejected: u64,
    /// The rejected requests that arrived at a host cut from all others.
    pub isolated: u64,
    /// The permits that the holder of the database refused because they had expired.
    pub refused: u64,
    /// The worst excess of any window of any organisation over its bound.
    pub over_admission: Tokens,
    /// The admitted work as a share of rate times time while the fault lasted.
    pub usable: f64,
    /// The median of the time until admission.
    pub p50: Duration,
    /// The 99th percentile of the time until admission.
    pub p99: Duration,
    /// The messages between hosts per admitted request, each way counted.
    pub messages: f64,
    /// The store calls per second.
    pub store_calls: f64,
}

impl RateFigures {
    /// Returns the share of requests that were rejected by hosts that can reach others.
    pub fn rejected_share(&self) -> f64 {
        ratio(self.rejected - self.isolated, self.sent)
    }

    /// Returns the share of requests that were rejected by hosts cut from all others.
    pub fn isolated_share(&self) -> f64 {
        ratio(self.isolated, self.sent)
    }

    /// Returns the worst excess over the bound in tokens.
    pub fn over_tokens(&self) -> f64 {
        ratio(self.over_admission.0, Tokens::ONE.0)
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts stay below 2^52")]
fn ratio(part: u64, whole: u64) -> f64 {
    part as f64 / whole.max(1) as f64
}

/// Runs `deployment` on the paused clock; the fault lasts for the middle third of the load.
pub fn measure_rates(
    seed: u64,
    policy: RatePolicy,
    fault: Fault,
    deployment: &Deployment,
) -> RateFigures {
    let deployment = deployment.clone();
    paused::run(seed, async move { run(policy, fault, deployment).await })
}

/// Holds what a run shares between its tasks.
struct Bench {
    deployment: Deployment,
    fleet: Rc<Fleet>,
    admitters: HashMap<HostId, Admitter>,
    tally: RefCell<Tally>,
}

struct Tally {
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
    let bench = Rc::new(Bench::new(policy, deployment));
    if matches!(policy, RatePolicy::Batches | RatePolicy::PerRequest) {
        bench
            .fleet
            .hosts()
            .iter()
            .for_each(|host| bench.fleet.start(host));
    }
    if fault == Fault::StoreAnswersLost {
        // The claims at the start are what a lost answer can upset.
        bench.fleet.network.loss.set(LOSS);
    }
    let span = bench.deployment.span;
    let start = now() + bench.deployment.warmup;
    for (organisation, limit) in bench.deployment.organisations() {
        let bench = Rc::clone(&bench);
        spawn(send(bench, organisation, limit, start + span * 3)).detach();
    }
    sleep_until(start + span).await;
    let fleet = Rc::clone(&bench.fleet);
    spawn(async move { fleet.fail(fault, start + span * 2).await }).detach();
    sleep_until(start + span * 2).await;
    bench.fleet.repair();
    sleep_until(start + span * 3 + bench.deployment.deadline * 2).await;
    bench.figures(start + span, start + span * 2)
}

impl Bench {
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
                fleet.network.link(host),
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
            tally: RefCell::new(Tally {
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

    /// Picks the host at which the next request arrives; clients of a dead host connect to another.
    fn pick(&self, organisation: &Organisation, number: usize) -> HostId {
        let hosts = self.fleet.hosts();
        let home = organisation.as_str().len() + usize::from(organisation.as_str().as_bytes()[13]);
        let choice = match self.deployment.spread {
            Spread::Even => number % hosts.len(),
            Spread::OneZone => number % self.deployment.zones[0],
            Spread::Skewed if number.is_multiple_of(10) => (number / 10) % hosts.len(),
            Spread::OneHost | Spread::Skewed => home % hosts.len(),
        };
        let open = self.fleet.open_hosts();
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
        let tally = self.tally.borrow();
        let organisations = self.deployment.organisations();
        let over = organisations.iter().map(|(name, limit)| {
            let own = tally.admissions.iter().filter(|a| a.organisation == *name);
            over_admission(*limit, own)
        });
        let within = tally
            .admissions
            .iter()
            .filter(|a| (from..to).contains(&a.time));
        let used: Tokens = within.map(|admission| admission.cost).sum();
        let allowed: Tokens = organisations
            .iter()
            .map(|(_, limit)| limit.rate.tokens_in(to.since(from)))
            .sum();
        let admitted = u64::try_from(tally.admissions.len()).unwrap_or(u64::MAX);
        let quantile = |q| Duration::from_micros(tally.waits.value_at_quantile(q));
        RateFigures {
            sent: tally.sent,
            rejected: tally.rejected,
            isolated: tally.isolated,
            refused: tally.refused,
            over_admission: over.max().unwrap_or_default(),
            usable: ratio(used.0, allowed.0),
            p50: quantile(0.5),
            p99: quantile(0.99),
            messages: ratio(self.fleet.network.messages.get(), admitted),
            store_calls: ratio(self.fleet.network.store.calls.get(), now().micros()) * 1e6,
        }
    }
}

/// Sends the requests of one organisation at regular times with a jitter of half a period.
async fn send(bench: Rc<Bench>, organisation: Organisation, limit: Limit, end: Instant) {
    let period = 100_000_000_000 / (limit.rate.0 * bench.deployment.load).max(1);
    // Authorities exist after the pledge life, before which a new host must not claim.
    let first = bench.fleet.settings.pledge_ttl + bench.fleet.settings.renew_interval * 2;
    let mut next = Instant::START + first + Duration::from_micros(random_range(0..period));
    let mut number = 0;
    while next < end {
        sleep_until(next + Duration::from_micros(random_range(0..period / 2))).await;
        next = next + Duration::from_micros(period);
        number += 1;
        let host = bench.pick(&organisation, number);
        spawn(one_request(
            Rc::clone(&bench),
            host,
            organisation.clone(),
            limit,
        ))
        .detach();
    }
}

/// Admits one request at a host and presents the permit to the holder of the database.
async fn one_request(bench: Rc<Bench>, host: HostId, organisation: Organisation, limit: Limit) {
    let network = &bench.fleet.network;
    let sent = now();
    network.resume(&host).await;
    if now() >= sent + bench.deployment.deadline {
        // The client of a paused host gave up and connected to another one.
        return;
    }
    let is_counted = now() >= Instant::START + bench.deployment.warmup;
    let arrival = now();
    let deadline = arrival + bench.deployment.deadline;
    let permit = bench.admit(&host, &organisation, limit, deadline).await;
    let (is_dead, is_cut) = {
        let cuts = network.cuts.borrow();
        (cuts.dead.contains(&host), cuts.hosts.contains(&host))
    };
    if is_dead {
        // The client lost its connection with the host, which is no rejection.
        return;
    }
    let wait = u64::try_from(now().since(arrival).as_micros()).unwrap_or(u64::MAX);
    if is_counted {
        let mut tally = bench.tally.borrow_mut();
        tally.sent += 1;
        tally.rejected += u64::from(permit.is_none());
        tally.isolated += u64::from(permit.is_none() && is_cut);
        tally.waits.saturating_record(wait);
    }
    let Some(permit) = permit else { return };
    // The last stamp arrived up to one span ago; it was taken one latency before.
    let received = Instant::from_micros(now().micros() / micros(STAMP_SPAN) * micros(STAMP_SPAN));
    let proof = permit.proof((received - network.latency).micros(), received);
    network.resume(&host).await;
    sleep(network.latency).await;
    let mut tally = bench.tally.borrow_mut();
    if proof.is_valid() {
        tally.admissions.push(Admission {
            organisation,
            time: now(),
            cost: permit.cost,
        });
    } else {
        tally.refused += 1;
    }
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
