//! Tests the loads of a large fleet at the relays of six availability zones: many
//! organisations with few operations each, and a zone that is cut off.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use burdockslip_directory::OrganisationConfig;
use burdockslip_runtime::{paused, random_range, sleep};
use burdockslip_shares::{Admission, Allocator, DemandScope, Limits, LocalLimiter};
use burdockslip_types::{HostId, Organisation};

const ZONES: usize = 6;
const SLACK: u32 = 20;
const STEP: Duration = Duration::from_millis(10);
/// The steps between two regular reports.
const REPORT_STEPS: usize = 30;
/// The steps in the window over which the limit applies.
const WINDOW_STEPS: usize = 500;

const LIMITS: Limits = Limits {
    rate: 7.0,
    burst: 7.0,
};

/// The limits of an organisation with many operations.
const LARGE_LIMITS: Limits = Limits {
    rate: 200.0,
    burst: 200.0,
};

/// The demand as a fraction of the rate.
const DEMAND: f64 = 0.625;

/// The resolution of the random draw for an operation.
const DRAWS: u32 = 1_000;

fn organisation() -> Organisation {
    Organisation::from("airline")
}

/// The relays of all zones and the coordinator.
struct Relays {
    hosts: Vec<(HostId, LocalLimiter)>,
    allocator: Allocator,
    config: OrganisationConfig,
    limits: Limits,
    /// The zones that cannot reach the coordinator.
    cut: HashSet<usize>,
    admitted: Vec<usize>,
    refused: usize,
    asked: usize,
}

impl Relays {
    fn new() -> Self {
        Self::with_hosts(ZONES, LIMITS)
    }

    /// Creates a fleet whose first six hosts are the relays; the others only report.
    fn with_hosts(count: usize, limits: Limits) -> Self {
        let host = |number| {
            let name = HostId::from(format!("host-{number}"));
            (name, LocalLimiter::new(SLACK))
        };
        Self {
            limits,
            hosts: (0..count).map(host).collect(),
            allocator: Allocator::new(SLACK),
            config: OrganisationConfig {
                name: organisation(),
                rate: limits.rate,
                burst: limits.burst,
            },
            cut: HashSet::new(),
            admitted: Vec::new(),
            refused: 0,
            asked: 0,
        }
    }

    fn report(&mut self, zone: usize, scope: DemandScope) {
        let registered: HashSet<_> = self.hosts.iter().map(|(host, _)| host.clone()).collect();
        let limits = HashMap::from([(organisation(), self.limits)]);
        let (host, limiter) = &mut self.hosts[zone];
        limiter.set_host_count(registered.len());
        if self.cut.contains(&zone) {
            limiter.mark_disconnected();
            return;
        }
        let demands = limiter.demands(scope);
        let grants = self
            .allocator
            .grant(host, &demands, &limits, &registered, false);
        limiter.apply(grants);
    }

    /// Runs one operation in a zone and returns whether it is admitted.
    fn operate(&mut self, zone: usize) -> bool {
        let config = self.config.clone();
        let limiter = &mut self.hosts[zone].1;
        limiter.record_demand(&organisation());
        let mut admission = limiter.admit(&config);
        if admission == Admission::Wait {
            limiter.begin_wait(&organisation());
            self.report(zone, DemandScope::Urgent);
            let limiter = &mut self.hosts[zone].1;
            limiter.end_wait(&organisation());
            admission = limiter.admit(&config);
        }
        admission == Admission::Granted
    }

    /// Plays `steps` steps in which clients in all zones send operations.
    async fn play(&mut self, steps: usize) {
        let mut due = 0.0;
        for step in 0..steps {
            let mut admitted = 0;
            due += self.limits.rate * DEMAND * STEP.as_secs_f64() * draw();
            while due >= 1.0 {
                due -= 1.0;
                let zone = usize::try_from(random_range(0..6)).expect("a small number");
                self.asked += 1;
                if self.operate(zone) {
                    admitted += 1;
                } else {
                    self.refused += 1;
                }
            }
            for host in 0..self.hosts.len() {
                if step % REPORT_STEPS == host * 5 % REPORT_STEPS {
                    self.report(host, DemandScope::Changed);
                }
            }
            self.admitted.push(admitted);
            sleep(STEP).await;
        }
    }

    fn busiest_window(&self) -> u32 {
        let windows = self.admitted.windows(WINDOW_STEPS);
        let busiest = windows.map(|window| window.iter().sum::<usize>()).max();
        u32::try_from(busiest.unwrap_or_default()).expect("tests admit few operations")
    }
}

/// Returns a random factor with a mean of one.
fn draw() -> f64 {
    let drawn = u32::try_from(random_range(0..u64::from(DRAWS))).unwrap_or_default();
    2.0 * f64::from(drawn) / f64::from(DRAWS)
}

fn max_operations() -> f64 {
    (LIMITS.rate * 5.0 + LIMITS.burst) * 1.1 + f64::from(SLACK)
}

/// Guards against refusals of an organisation whose clients keep to its rate and are
/// spread over the whole fleet: each of 195 hosts saw one operation in 44 s.
#[test]
fn thin_demand_is_admitted_at_relays() {
    let (refused, asked, busiest) = paused::run(21, async {
        let mut relays = Relays::new();
        relays.play(12_000).await;
        (relays.refused, relays.asked, relays.busiest_window())
    });
    assert!(refused * 100 <= asked, "{refused} of {asked}");
    assert!(f64::from(busiest) <= max_operations());
}

/// Guards against refusals in a zone that is cut off from the coordinator and keeps to
/// its share of the rate, and against more operations than the limit allows.
#[test]
fn zone_that_is_cut_off_uses_its_share() {
    let (refused, asked, busiest) = paused::run(22, async {
        let mut relays = Relays::new();
        relays.play(3_000).await;
        (relays.refused, relays.asked) = (0, 0);
        for _ in 0..10 {
            relays.cut.insert(0);
            relays.play(600).await;
            relays.cut.clear();
            relays.play(600).await;
        }
        (relays.refused, relays.asked, relays.busiest_window())
    });
    assert!(refused * 20 <= asked, "{refused} of {asked}");
    assert!(f64::from(busiest) <= max_operations());
}

/// Guards against tokens and fractions that restarted hosts hold for the time before the
/// coordinator answers, and that nobody uses afterwards. A large organisation was limited
/// below its rate for half a minute.
#[test]
fn restarted_hosts_hold_nothing_back() {
    let (refused, asked) = paused::run(23, async {
        let mut relays = Relays::with_hosts(195, LARGE_LIMITS);
        for zone in 0..195 {
            relays.hosts[zone].1.set_host_count(195);
            relays.operate(zone);
        }
        relays.play(600).await;
        (relays.refused, relays.asked) = (0, 0);
        relays.play(1_500).await;
        (relays.refused, relays.asked)
    });
    assert!(refused * 100 <= asked, "{refused} of {asked}");
}

/// Guards against refusals of an organisation at 90% of its rate whose clients move from
/// zone to zone every two seconds, while tokens of other zones lie unused.
#[test]
fn demand_that_moves_between_zones_is_admitted() {
    let (refused, asked, busiest) = paused::run(24, async {
        let mut relays = Relays::with_hosts(ZONES, LARGE_LIMITS);
        relays.play(500).await;
        (relays.refused, relays.asked) = (0, 0);
        let mut due = 0.0;
        for step in 0..6_000 {
            let zone = step / 200 % ZONES;
            let mut admitted = 0;
            due += relays.limits.rate * 0.9 * STEP.as_secs_f64() * draw();
            while due >= 1.0 {
                due -= 1.0;
                relays.asked += 1;
                let is_admitted = relays.operate(zone);
                admitted += usize::from(is_admitted);
                relays.refused += usize::from(!is_admitted);
            }
            for host in 0..ZONES {
                if step % REPORT_STEPS == host * 5 {
                    relays.report(host, DemandScope::Changed);
                }
            }
            relays.admitted.push(admitted);
            sleep(STEP).await;
        }
        (relays.refused, relays.asked, relays.busiest_window())
    });
    assert!(refused * 100 <= asked, "{refused} of {asked}");
    let limit = (LARGE_LIMITS.rate * 5.0 + LARGE_LIMITS.burst) * 1.1 + f64::from(SLACK);
    assert!(f64::from(busiest) <= limit, "{busiest} of {limit}");
}
