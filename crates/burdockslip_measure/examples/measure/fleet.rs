//! Measures the cost of membership and rate limits as the fleet grows.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use burdockslip_limits::measure::{Deployment, Fault, RatePolicy, measure_rates};
use burdockslip_measure::{Curve, Figure, Limit, Outcome, ThreadClock, fit_line};
use burdockslip_membership::{Gossip, Membership, Peer, Traffic};
use burdockslip_runtime::{paused, sleep};
use burdockslip_types::{ErrorKind, HostId, PeerClient, Result};
use error_stack::Report;
use futures::FutureExt;

/// Fleet sizes, in hosts. The last one is that of section 1.7 of the design.
const SIZES: [u32; 5] = [13, 50, 150, 400, 670];
/// Number of availability zones in each fleet.
const ZONES: u32 = 5;
/// How long membership may converge before the measurement starts.
const SETTLE: Duration = Duration::from_mins(1);
/// How long traffic and processor time are measured.
const SPAN: Duration = Duration::from_secs(20);
/// One-way latency between hosts.
const LATENCY: Duration = Duration::from_millis(1);
/// The maximum traffic of all control messages of a host, in bytes per second.
const TRAFFIC_LIMIT: f64 = 21_000.0;
/// Hosts per zone when store calls are measured.
const ZONE_SIZES: [usize; 4] = [2, 4, 8, 16];
/// Number of zones when store calls are measured.
const RATE_ZONES: usize = 4;

type Hosts = Rc<RefCell<HashMap<HostId, Membership>>>;

/// Mean cost per host and second in a fleet of one size.
struct Cost {
    bytes: f64,
    messages: f64,
    busy: f64,
    is_converged: bool,
}

/// Measures the traffic and processor time of gossip in fleets of several sizes.
pub(crate) fn run_gossip(seed: u64) -> Result<Outcome> {
    let mut outcome = Outcome::default();
    let mut points = Vec::new();
    for size in SIZES {
        let cost = paused::run(seed, gossip(size))?;
        points.push((f64::from(size), cost.bytes));
        let converged = f64::from(u8::from(cost.is_converged));
        outcome.figures.extend([
            Figure::new(format!("{size}/bytes"), cost.bytes, "bytes/s per host")
                .limited(Limit::AtMost(TRAFFIC_LIMIT)),
            Figure::new(format!("{size}/messages"), cost.messages, "per s per host"),
            Figure::new(format!("{size}/busy"), 1e6 * cost.busy, "us/s per host"),
            Figure::new(format!("{size}/converged"), converged, "all see all")
                .limited(Limit::AtLeast(1.0)),
        ]);
    }
    let (base, slope, r2) = fit_line(&points);
    outcome.figures.extend([
        Figure::new("fit/base", base, "bytes/s per host"),
        Figure::new("fit/each", slope, "bytes/s per peer"),
        Figure::new("fit/r2", r2, ""),
    ]);
    outcome.curves.push(Curve {
        name: "bytes".to_owned(),
        across: "hosts",
        upward: "bytes/s per host, sent",
        points,
    });
    Ok(outcome)
}

async fn gossip(size: u32) -> Result<Cost> {
    let hosts: Hosts = Rc::default();
    for number in 0..size {
        let own = peer(number);
        let seeds = vec![peer(0).address, peer(1).address];
        let membership = Membership::spawn(own.clone(), seeds, client(&hosts));
        // Hosts contact a seed by address until they learn its name.
        let alias = HostId::from(own.address.to_string());
        hosts.borrow_mut().insert(alias, membership.clone());
        hosts.borrow_mut().insert(own.host, membership);
    }
    sleep(SETTLE).await;
    let clock = ThreadClock::current()?;
    let (before, start) = (total(&hosts, size), clock.used()?);
    sleep(SPAN).await;
    let (after, end) = (total(&hosts, size), clock.used()?);
    let all = f64::from(size) * SPAN.as_secs_f64();
    let expected = size as usize;
    let is_converged = hosts
        .borrow()
        .values()
        .all(|host| host.view().live().count() == expected);
    Ok(Cost {
        bytes: count(after.bytes_sent - before.bytes_sent) / all,
        messages: count(after.sent - before.sent) / all,
        busy: end.saturating_sub(start).as_secs_f64() / all,
        is_converged,
    })
}

fn peer(number: u32) -> Peer {
    let [_, _, high, low] = number.to_be_bytes();
    Peer {
        host: HostId::from(format!("host-{number:03}")),
        zone: format!("zone-{}", number % ZONES).into(),
        address: SocketAddr::from(([10, 0, high, low], 7432)),
    }
}

fn client(hosts: &Hosts) -> PeerClient<Gossip> {
    let hosts = Rc::clone(hosts);
    PeerClient::new(move |to, request| {
        let hosts = Rc::clone(&hosts);
        async move {
            sleep(LATENCY).await;
            let target = hosts.borrow().get(&to).cloned();
            let target = target.ok_or_else(|| Report::new(ErrorKind::ConnectionLost))?;
            let reply = target.handle(request);
            sleep(LATENCY).await;
            Ok(reply)
        }
        .boxed_local()
    })
}

fn total(hosts: &Hosts, size: u32) -> Traffic {
    let hosts = hosts.borrow();
    let mut total = Traffic::default();
    for number in 0..size {
        let traffic = hosts[&peer(number).host].traffic();
        total.sent += traffic.sent;
        total.bytes_sent += traffic.bytes_sent;
    }
    total
}

fn count(number: u64) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}

/// Counts the store calls of the budget authorities in fleets of several sizes.
pub(crate) fn run_store_calls(seed: u64) -> Outcome {
    let mut outcome = Outcome::default();
    let mut points = Vec::new();
    for size in ZONE_SIZES {
        let deployment = Deployment {
            zones: vec![size; RATE_ZONES],
            ..Deployment::tallinna()
        };
        let figures = measure_rates(seed, RatePolicy::Batches, Fault::None, &deployment);
        let hosts = u32::try_from(size * RATE_ZONES).unwrap_or(u32::MAX);
        points.push((f64::from(hosts), figures.store_calls));
        outcome.figures.extend([
            Figure::new(format!("{hosts}/store"), figures.store_calls, "calls/s"),
            Figure::new(format!("{hosts}/messages"), figures.messages, "per request"),
        ]);
    }
    let (base, slope, r2) = fit_line(&points);
    outcome.figures.extend([
        Figure::new("fit/base", base, "calls/s"),
        Figure::new("fit/each", slope, "calls/s per host"),
        Figure::new("fit/r2", r2, ""),
        Figure::new("at_670_hosts", base + 670.0 * slope, "calls/s, fitted"),
    ]);
    outcome.curves.push(Curve {
        name: "calls".to_owned(),
        across: "hosts",
        upward: "store calls/s",
        points,
    });
    outcome
}
