//! Tests that all hosts together keep to an organisation's limit, and that operations within it are admitted.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use burdockslip_directory::OrganisationConfig;
use burdockslip_runtime::{now, paused, random_range, sleep};
use burdockslip_shares::{Admission, Allocator, Demand, DemandScope, Grant, Limits, LocalLimiter};
use burdockslip_types::{HostId, Organisation};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const RATE: f64 = 100.0;
const BURST: f64 = 100.0;

/// The rate and burst of a small organisation.
const SMALL_RATE: f64 = 20.0;
/// Operations in excess of rate and burst that are tolerated per window.
const SLACK: u32 = 20;
const STEP: Duration = Duration::from_millis(10);

/// The window over which the limit applies, in steps.
const WINDOW_STEPS: usize = 500;

/// The most operations in a window: 10% and 20 operations above rate and burst.
const MAX_OPERATIONS: f64 = (RATE * 5.0 + BURST) * 1.1 + 20.0;

fn organisation() -> Organisation {
    Organisation::from("airline")
}

fn config(limits: Limits) -> OrganisationConfig {
    OrganisationConfig {
        name: organisation(),
        rate: limits.rate,
        burst: limits.burst,
    }
}

const LARGE_LIMITS: Limits = Limits {
    rate: RATE,
    burst: BURST,
};

const SMALL_LIMITS: Limits = Limits {
    rate: SMALL_RATE,
    burst: SMALL_RATE,
};

/// A simulation of hosts that use every token that they receive.
struct Fleet {
    hosts: Vec<(HostId, LocalLimiter)>,
    allocator: Option<Allocator>,
    is_interim: bool,
    /// The hosts that have reported to the current coordinator.
    reported: HashSet<HostId>,
    admitted: Vec<usize>,
    limits: Limits,
}

impl Fleet {
    fn new(count: usize) -> Self {
        Self::with_limits(count, LARGE_LIMITS)
    }

    fn with_limits(count: usize, limits: Limits) -> Self {
        let host = |number| {
            (
                HostId::from(format!("host-{number}")),
                LocalLimiter::new(SLACK),
            )
        };
        Self {
            hosts: (0..count).map(host).collect(),
            allocator: Some(Allocator::new(SLACK)),
            is_interim: false,
            reported: HashSet::new(),
            admitted: Vec::new(),
            limits,
        }
    }

    fn replace_allocator(&mut self, allocator: Option<Allocator>) {
        self.allocator = allocator;
        self.reported.clear();
    }

    fn registered(&self) -> HashSet<HostId> {
        self.hosts.iter().map(|(host, _)| host.clone()).collect()
    }

    /// Sends the report of a host on which `waiting` operations wait for tokens.
    fn report(&mut self, index: usize, waiting: usize) {
        let registered = self.registered();
        let limits = HashMap::from([(organisation(), self.limits)]);
        let (host, limiter) = &mut self.hosts[index];
        limiter.set_host_count(registered.len());
        for _ in 0..waiting {
            limiter.begin_wait(&organisation());
        }
        if let Some(allocator) = &mut self.allocator {
            let is_new = self.reported.insert(host.clone());
            let scope = match (is_new, waiting) {
                (true, _) => DemandScope::All,
                (false, 0) => DemandScope::Changed,
                (false, _) => DemandScope::Urgent,
            };
            let grants = allocator.grant(
                host,
                &limiter.demands(scope),
                &limits,
                &registered,
                self.is_interim,
            );
            limiter.apply(grants);
        }
        for _ in 0..waiting {
            limiter.end_wait(&organisation());
        }
    }

    /// Sends `offered` operations to each host and advances the time by one step.
    async fn step(&mut self, offered: usize) {
        let mut admitted = 0;
        let config = config(self.limits);
        for index in 0..self.hosts.len() {
            let mut waiting = 0;
            for _ in 0..offered {
                let limiter = &mut self.hosts[index].1;
                limiter.record_demand(&organisation());
                match limiter.admit(&config) {
                    Admission::Granted => admitted += 1,
                    Admission::Wait => waiting += 1,
                    Admission::Refused(_) => {}
                }
            }
            if waiting > 0 || random_range(0..30) == 0 {
                self.report(index, waiting);
            }
        }
        self.admitted.push(admitted);
        sleep(STEP).await;
    }

    fn busiest_window(&self) -> usize {
        let windows = self.admitted.windows(WINDOW_STEPS.min(self.admitted.len()));
        windows
            .map(|window| window.iter().sum())
            .max()
            .unwrap_or_default()
    }
}

#[derive(Debug, Clone, Copy)]
enum Fault {
    None,
    /// The coordinator is replaced by one without state.
    NewCoordinator,
    /// There is no coordinator for 2 s.
    NoCoordinator,
    /// A host restarts and loses its tokens and fractions.
    Restart,
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        Just(Fault::None),
        Just(Fault::NewCoordinator),
        Just(Fault::NoCoordinator),
        Just(Fault::Restart),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        cases: 16,
        ..ProptestConfig::default()
    })]

    /// Guards against windows that exceed the limit when coordinators and hosts
    /// are replaced under a load far above the rate.
    #[test]
    fn windows_stay_within_the_limit(
        seed in any::<u64>(),
        hosts in 2_usize..20,
        faults in prop::collection::vec(fault(), 6),
    ) {
        let busiest = paused::run(seed, async move {
            let mut fleet = Fleet::new(hosts);
            for fault in faults {
                match fault {
                    Fault::None => {}
                    Fault::NewCoordinator => fleet.replace_allocator(Some(Allocator::new(SLACK))),
                    Fault::NoCoordinator => fleet.replace_allocator(None),
                    Fault::Restart => fleet.hosts[0].1 = LocalLimiter::new(SLACK),
                }
                for _ in 0..200 {
                    fleet.step(2).await;
                }
                if fleet.allocator.is_none() {
                    fleet.replace_allocator(Some(Allocator::new(SLACK)));
                }
            }
            fleet.busiest_window()
        });
        let busiest = u32::try_from(busiest).expect("tests admit few operations");
        prop_assert!(f64::from(busiest) <= MAX_OPERATIONS, "{busiest} of {MAX_OPERATIONS}");
    }
}

/// Guards against refused operations of an organisation below its rate whose
/// operations move from host to host. Fractions of the rate without tokens from
/// the coordinator caused such refusals.
#[test]
fn operations_below_the_rate_are_admitted_on_any_host() {
    paused::run(7, async {
        let mut fleet = Fleet::new(14);
        for _ in 0..300 {
            fleet.step(0).await;
            for index in 0..14 {
                fleet.report(index, 0);
            }
        }
        let started = now();
        let mut refused = 0;
        while started.elapsed() < Duration::from_secs(10) {
            for index in 0..14 {
                fleet.report(index, 0);
            }
            let second = usize::try_from(started.elapsed().as_secs()).expect("ten seconds");
            let index = second % 14;
            fleet.hosts[index].1.record_demand(&organisation());
            let mut admission = fleet.hosts[index].1.admit(&config(LARGE_LIMITS));
            if admission == Admission::Wait {
                fleet.report(index, 1);
                admission = fleet.hosts[index].1.admit(&config(LARGE_LIMITS));
            }
            if admission != Admission::Granted {
                refused += 1;
            }
            sleep(Duration::from_millis(16)).await;
        }
        assert_eq!(refused, 0);
    });
}

/// Guards against hosts that refuse all operations after a restart of the whole
/// fleet, until a coordinator is elected.
#[test]
fn restarted_host_has_an_initial_fraction() {
    paused::run(1, async {
        let mut limiter = LocalLimiter::new(SLACK);
        limiter.set_host_count(10);
        let mut admitted = 0;
        for _ in 0..100 {
            limiter.record_demand(&organisation());
            if limiter.admit(&config(LARGE_LIMITS)) == Admission::Granted {
                admitted += 1;
            }
            sleep(STEP).await;
        }
        // A tenth of the rate for one second, less the reserve for running hosts.
        assert!((5..=13).contains(&admitted), "{admitted}");
    });
}

/// Guards against hosts that refuse operations waiting for tokens while the
/// coordinator is being replaced, instead of falling back to their fractions.
#[test]
fn unreachable_coordinator_leaves_the_fraction() {
    paused::run(1, async {
        let mut fleet = Fleet::new(2);
        for _ in 0..100 {
            fleet.step(1).await;
        }
        let limiter = &mut fleet.hosts[0].1;
        limiter.mark_disconnected();
        let mut admitted = 0;
        for _ in 0..50 {
            limiter.record_demand(&organisation());
            if limiter.admit(&config(LARGE_LIMITS)) == Admission::Granted {
                admitted += 1;
            }
            sleep(STEP).await;
        }
        // Half of the rate for half a second.
        assert!(admitted >= 20, "{admitted}");
    });
}

/// Guards against many hosts that each hold a token of a small organisation.
/// Together, these tokens exceeded its burst when all its clients sent operations
/// at once.
#[test]
fn tokens_held_by_many_hosts_stay_within_the_limit() {
    let busiest = paused::run(5, async {
        let mut fleet = Fleet::with_limits(90, SMALL_LIMITS);
        for number in 0..180 {
            // Each host receives an occasional operation and reports often.
            let index = number % 90;
            let limiter = &mut fleet.hosts[index].1;
            limiter.record_demand(&organisation());
            if limiter.admit(&config(SMALL_LIMITS)) == Admission::Wait {
                fleet.report(index, 1);
            }
            for index in 0..90 {
                fleet.report(index, 0);
            }
            sleep(STEP * 10).await;
        }
        for _ in 0..WINDOW_STEPS {
            fleet.step(1).await;
        }
        fleet.busiest_window()
    });
    let max_operations = (SMALL_RATE * 5.0 + SMALL_RATE) * 1.1 + 20.0;
    let busiest = u32::try_from(busiest).expect("tests admit few operations");
    assert!(
        f64::from(busiest) <= max_operations,
        "{busiest} of {max_operations}"
    );
}

/// Guards against refused operations of a small organisation below its rate,
/// because hosts without operations of it hold all the tokens.
#[test]
fn small_organisation_is_admitted_on_any_host() {
    let limits = Limits {
        rate: 6.0,
        burst: 6.0,
    };
    let refused = paused::run(3, async move {
        let mut fleet = Fleet::with_limits(140, limits);
        let mut refused = 0;
        for number in 0..150 {
            // Two thirds of the rate on average, three operations at a time.
            for _ in 0..3 {
                let index = usize::try_from(random_range(0..140)).expect("a small number");
                let limiter = &mut fleet.hosts[index].1;
                limiter.record_demand(&organisation());
                let mut admission = limiter.admit(&config(limits));
                if admission == Admission::Wait {
                    fleet.report(index, 1);
                    admission = fleet.hosts[index].1.admit(&config(limits));
                }
                // The coordinator learns within some seconds what the hosts hold.
                if admission != Admission::Granted && number > 15 {
                    refused += 1;
                }
            }
            for _ in 0..3 {
                for index in 0..140 {
                    fleet.report(index, 0);
                }
                sleep(STEP * 25).await;
            }
        }
        refused
    });
    assert!(refused <= 9, "{refused} of 402 refused");
}

/// Guards against refusals at the start of a fleet's traffic. All clients send their
/// first operations at once, long after the coordinator took the duty, and the
/// organisation's whole burst is available.
#[test]
fn burst_after_an_idle_start_is_admitted() {
    let (refused, busiest) = paused::run(11, async {
        let limits = SMALL_LIMITS;
        let mut fleet = Fleet::with_limits(40, limits);
        for _ in 0..1_000 {
            fleet.step(0).await;
        }
        for index in 0..40 {
            fleet.report(index, 0);
        }
        fleet.admitted.clear();
        let mut refused = 0;
        for index in 0..20 {
            let limiter = &mut fleet.hosts[index].1;
            limiter.record_demand(&organisation());
            if limiter.admit(&config(limits)) == Admission::Wait {
                fleet.report(index, 1);
            }
            let admission = fleet.hosts[index].1.admit(&config(limits));
            refused += usize::from(admission != Admission::Granted);
        }
        fleet.admitted.push(20 - refused);
        for _ in 0..WINDOW_STEPS {
            fleet.step(1).await;
        }
        (refused, fleet.busiest_window())
    });
    assert_eq!(refused, 0, "of 20");
    let max_operations = (SMALL_RATE * 5.0 + SMALL_RATE) * 1.1 + 20.0;
    let busiest = u32::try_from(busiest).expect("tests admit few operations");
    assert!(
        f64::from(busiest) <= max_operations,
        "{busiest} of {max_operations}"
    );
}

/// Guards against exceeding a small organisation's limit when all hosts restart
/// while its clients send far more than usual.
#[test]
fn restarted_fleet_stays_within_a_small_limit() {
    let limits = Limits {
        rate: 8.0,
        burst: 8.0,
    };
    let busiest = paused::run(9, async move {
        let mut fleet = Fleet::with_limits(140, limits);
        fleet.replace_allocator(None);
        for index in 0..140 {
            fleet.hosts[index].1.set_host_count(140);
        }
        for _ in 0..150 {
            fleet.step(1).await;
        }
        fleet.replace_allocator(Some(Allocator::new(SLACK)));
        for _ in 0..WINDOW_STEPS {
            fleet.step(1).await;
        }
        fleet.busiest_window()
    });
    let max_operations = (limits.rate * 5.0 + limits.burst) * 1.1 + f64::from(SLACK);
    let busiest = u32::try_from(busiest).expect("tests admit few operations");
    assert!(
        f64::from(busiest) <= max_operations,
        "{busiest} of {max_operations}"
    );
}

/// Guards against operations that are refused because a report, sent before they arrived
/// and asking for tokens in advance only, was granted none.
#[test]
fn later_operations_are_not_denied_by_an_earlier_report() {
    paused::run(12, async {
        let mut limiter = LocalLimiter::new(SLACK);
        limiter.set_host_count(2);
        limiter.apply(Vec::new());
        for _ in 0..10 {
            limiter.record_demand(&organisation());
        }
        let demands = limiter.demands(DemandScope::All);
        assert_eq!(demands[0].waiting, 0);
        limiter.begin_wait(&organisation());
        let grant = Grant {
            organisation: organisation(),
            tokens: 0,
            fraction: 0.1,
        };
        limiter.apply(vec![grant.clone()]);
        assert_eq!(limiter.admit(&config(LARGE_LIMITS)), Admission::Wait);
        assert_eq!(limiter.demands(DemandScope::Urgent)[0].waiting, 1);
        limiter.apply(vec![grant]);
        let admission = limiter.admit(&config(LARGE_LIMITS));
        assert!(matches!(admission, Admission::Refused(_)));
    });
}

/// Guards against tokens that hosts without operations hold for half a minute, so that
/// the others get none in advance.
#[test]
fn idle_tokens_are_given_up() {
    paused::run(13, async {
        let mut limiter = LocalLimiter::new(SLACK);
        limiter.apply(vec![Grant {
            organisation: organisation(),
            tokens: 3,
            fraction: 0.1,
        }]);
        limiter.record_demand(&organisation());
        assert!(limiter.demands(DemandScope::All)[0].unused > 2.0);
        sleep(Duration::from_secs(8)).await;
        limiter.apply(Vec::new());
        let demands = limiter.demands(DemandScope::Changed);
        assert!(demands[0].unused <= 0.0);
        assert!(limiter.demands(DemandScope::Changed).is_empty());
    });
}

/// Guards against a host that gives up the tokens of its own fraction while the
/// coordinator does not answer.
#[test]
fn tokens_of_the_fraction_are_kept() {
    paused::run(14, async {
        let mut limiter = LocalLimiter::new(SLACK);
        limiter.apply(vec![Grant {
            organisation: organisation(),
            tokens: 0,
            fraction: 0.1,
        }]);
        limiter.mark_disconnected();
        sleep(Duration::from_secs(8)).await;
        assert_eq!(limiter.admit(&config(LARGE_LIMITS)), Admission::Granted);
        sleep(Duration::from_secs(8)).await;
        let _ = limiter.demands(DemandScope::Changed);
        assert_eq!(limiter.admit(&config(LARGE_LIMITS)), Admission::Granted);
    });
}

/// Guards against reports that repeat unchanged demand. In a large fleet, they
/// were most of the traffic between availability zones.
#[test]
fn unchanged_demand_is_not_reported_again() {
    paused::run(4, async {
        let mut limiter = LocalLimiter::new(SLACK);
        limiter.set_host_count(2);
        limiter.record_demand(&organisation());
        assert_eq!(limiter.demands(DemandScope::Changed).len(), 1);
        let mut reports = 0;
        let mut is_over = false;
        for _ in 0..400 {
            sleep(STEP * 10).await;
            let demands = limiter.demands(DemandScope::Changed);
            reports += demands.len();
            is_over |= demands.first().is_some_and(Demand::is_empty);
        }
        // Reported at four halvings, then as none, then once more at eviction.
        assert!((4..=7).contains(&reports), "{reports}");
        assert!(is_over);
        assert!(limiter.demands(DemandScope::All).is_empty());
    });
}

/// Guards against refused operations below the rate while the store is
/// unreachable and the coordinator only an interim one, and against an interim
/// coordinator that grants more than the fractions of the hosts reporting to it.
#[test]
fn interim_coordinator_grants_the_fractions_of_its_hosts() {
    let (whole, half) = paused::run(6, async {
        let mut fleet = Fleet::new(20);
        for _ in 0..300 {
            fleet.step(1).await;
        }
        fleet.is_interim = true;
        fleet.admitted.clear();
        for _ in 0..200 {
            fleet.step(1).await;
        }
        let whole: usize = fleet.admitted.iter().sum();
        // Half of the hosts are partitioned away and use their own fractions.
        fleet.hosts.truncate(10);
        for _ in 0..100 {
            fleet.step(1).await;
        }
        fleet.admitted.clear();
        for _ in 0..200 {
            fleet.step(1).await;
        }
        (whole, fleet.admitted.iter().sum::<usize>())
    });
    // The rate gives 200 operations in 2 s.
    assert!((150..=240).contains(&whole), "{whole}");
    assert!((60..=120).contains(&half), "{half}");
}

/// Guards against operations of a host that has just started which are refused although
/// its own fraction of the rate yields the next token in a millisecond.
#[test]
fn first_operations_of_a_host_wait_for_the_next_token() {
    paused::run(15, async {
        let limits = config(Limits {
            rate: 2_000.0,
            burst: 2_000.0,
        });
        let mut limiter = LocalLimiter::new(SLACK);
        limiter.set_host_count(1);
        limiter.mark_disconnected();
        for _ in 0..100 {
            limiter.record_demand(&organisation());
            let admission = limiter.admit(&limits);
            if admission == Admission::Wait {
                let pause = limiter.next_token(&limits).expect("no coordinator answers");
                assert!(pause < Duration::from_millis(2), "{pause:?}");
                sleep(pause + Duration::from_micros(1)).await;
                assert_eq!(limiter.admit(&limits), Admission::Granted);
            } else {
                assert_eq!(admission, Admission::Granted);
            }
        }
    });
}

/// Guards against operations that wait for a token which the host's fraction does not yield
/// in time, and that are refused only then.
#[test]
fn operations_far_above_the_fraction_are_refused_at_once() {
    paused::run(16, async {
        let limits = config(LARGE_LIMITS);
        let mut limiter = LocalLimiter::new(SLACK);
        limiter.set_host_count(2);
        limiter.mark_disconnected();
        let mut refused = 0;
        for _ in 0..20 {
            limiter.record_demand(&organisation());
            match limiter.admit(&limits) {
                Admission::Granted => {}
                Admission::Wait => limiter.begin_wait(&organisation()),
                Admission::Refused(_) => refused += 1,
            }
        }
        assert!(refused >= 17, "{refused}");
    });
}
