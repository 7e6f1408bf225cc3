//! Guards the bound on an organisation's operations over all hosts.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use burdockslip_directory::OrganisationConfig;
use burdockslip_runtime::{now, paused, random_range, sleep};
use burdockslip_shares::{Admission, Allocator, Demand, DemandScope, Limits, LocalLimiter};
use burdockslip_types::{HostId, Organisation};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const RATE: f64 = 100.0;
const BURST: f64 = 100.0;

/// The rate and burst of a small organisation.
const SMALL: f64 = 20.0;
/// The operations beyond rate and burst that the operators tolerate.
const SLACK: u32 = 20;
const STEP: Duration = Duration::from_millis(10);

/// The window of the operators' rule, in steps.
const WINDOW: usize = 500;

/// What the rule allows in a window: a tenth and 20 operations above rate and burst.
const ALLOWED: f64 = (RATE * 5.0 + BURST) * 1.1 + 20.0;

fn organisation() -> Organisation {
    Organisation::from("airline")
}

fn account(limits: Limits) -> OrganisationConfig {
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
    rate: SMALL,
    burst: SMALL,
};

/// Simulates hosts that take every operation they are given.
struct Fleet {
    hosts: Vec<(HostId, LocalLimiter)>,
    allocator: Option<Allocator>,
    is_interim: bool,
    /// The hosts that have reported to the present coordinator.
    known: HashSet<HostId>,
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
            known: HashSet::new(),
            admitted: Vec::new(),
            limits,
        }
    }

    fn replace(&mut self, allocator: Option<Allocator>) {
        self.allocator = allocator;
        self.known.clear();
    }

    fn registered(&self) -> HashSet<HostId> {
        self.hosts.iter().map(|(host, _)| host.clone()).collect()
    }

    /// Reports for a host on which `waiting` operations wait for tokens.
    fn report(&mut self, index: usize, waiting: usize) {
        let registered = self.registered();
        let limits = HashMap::from([(organisation(), self.limits)]);
        let (host, rates) = &mut self.hosts[index];
        rates.set_host_count(registered.len());
        for _ in 0..waiting {
            rates.begin_wait(&organisation());
        }
        if let Some(allocator) = &mut self.allocator {
            let is_new = self.known.insert(host.clone());
            let scope = match (is_new, waiting) {
                (true, _) => DemandScope::All,
                (false, 0) => DemandScope::Changed,
                (false, _) => DemandScope::Urgent,
            };
            let grants = allocator.grant(
                host,
                &rates.demands(scope),
                &limits,
                &registered,
                self.is_interim,
            );
            rates.apply(grants);
        }
        for _ in 0..waiting {
            rates.end_wait(&organisation());
        }
    }

    /// Offers operations to all hosts for one step.
    async fn step(&mut self, offered: usize) {
        let mut admitted = 0;
        let account = account(self.limits);
        for index in 0..self.hosts.len() {
            let mut waiting = 0;
            for _ in 0..offered {
                let rates = &mut self.hosts[index].1;
                rates.record_demand(&organisation());
                match rates.admit(&account) {
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
        let windows = self.admitted.windows(WINDOW.min(self.admitted.len()));
        windows
            .map(|window| window.iter().sum())
            .max()
            .unwrap_or_default()
    }
}

#[derive(Debug, Clone, Copy)]
enum Fault {
    None,
    /// The coordinator is replaced by one that knows nothing.
    NewCoordinator,
    /// There is no coordinator for some time.
    NoCoordinator,
    /// A host restarts and forgets what it holds.
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

    /// Guards against more operations in a window than the rule allows, while
    /// coordinators and hosts come and go under a load far above the rate.
    #[test]
    fn windows_stay_within_the_rule(
        seed in any::<u64>(),
        hosts in 2_usize..20,
        faults in prop::collection::vec(fault(), 6),
    ) {
        let busiest = paused::run(seed, async move {
            let mut fleet = Fleet::new(hosts);
            for fault in faults {
                match fault {
                    Fault::None => {}
                    Fault::NewCoordinator => fleet.replace(Some(Allocator::new(SLACK))),
                    Fault::NoCoordinator => fleet.replace(None),
                    Fault::Restart => fleet.hosts[0].1 = LocalLimiter::new(SLACK),
                }
                for _ in 0..200 {
                    fleet.step(2).await;
                }
                if fleet.allocator.is_none() {
                    fleet.replace(Some(Allocator::new(SLACK)));
                }
            }
            fleet.busiest_window()
        });
        let busiest = u32::try_from(busiest).expect("tests admit few operations");
        prop_assert!(f64::from(busiest) <= ALLOWED, "{busiest} of {ALLOWED}");
    }
}

/// Guards against refusals of an organisation that stays below its rate when
/// its operations move from one host to the next, as fractions alone caused.
#[test]
fn operations_below_the_rate_are_admitted_wherever_they_come() {
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
            let mut admission = fleet.hosts[index].1.admit(&account(LARGE_LIMITS));
            if admission == Admission::Wait {
                fleet.report(index, 1);
                admission = fleet.hosts[index].1.admit(&account(LARGE_LIMITS));
            }
            if admission != Admission::Granted {
                refused += 1;
            }
            sleep(Duration::from_millis(16)).await;
        }
        assert_eq!(refused, 0);
    });
}

/// Guards against hosts that refuse everything after all of them have
/// restarted, until a coordinator is found.
#[test]
fn restarted_host_has_a_part_to_start_with() {
    paused::run(1, async {
        let mut rates = LocalLimiter::new(SLACK);
        rates.set_host_count(10);
        let mut admitted = 0;
        for _ in 0..100 {
            rates.record_demand(&organisation());
            if rates.admit(&account(LARGE_LIMITS)) == Admission::Granted {
                admitted += 1;
            }
            sleep(STEP).await;
        }
        // A tenth of the rate for one second, less what is kept back.
        assert!((5..=13).contains(&admitted), "{admitted}");
    });
}

/// Guards against hosts that refuse what waits for tokens while the
/// coordinator is being replaced.
#[test]
fn lost_coordinator_leaves_the_fraction() {
    paused::run(1, async {
        let mut fleet = Fleet::new(2);
        for _ in 0..100 {
            fleet.step(1).await;
        }
        let rates = &mut fleet.hosts[0].1;
        rates.mark_disconnected();
        let mut admitted = 0;
        for _ in 0..50 {
            rates.record_demand(&organisation());
            if rates.admit(&account(LARGE_LIMITS)) == Admission::Granted {
                admitted += 1;
            }
            sleep(STEP).await;
        }
        // Half of the rate for half a second.
        assert!(admitted >= 20, "{admitted}");
    });
}

/// Guards against many hosts that each hold a token of a small organisation:
/// together they exceeded its burst when its callers all came at once.
#[test]
fn tokens_held_by_many_hosts_stay_within_the_rule() {
    let busiest = paused::run(5, async {
        let mut fleet = Fleet::with_limits(90, SMALL_LIMITS);
        for number in 0..180 {
            // Each host gets a single operation now and then, and reports often.
            let index = number % 90;
            let rates = &mut fleet.hosts[index].1;
            rates.record_demand(&organisation());
            if rates.admit(&account(SMALL_LIMITS)) == Admission::Wait {
                fleet.report(index, 1);
            }
            for index in 0..90 {
                fleet.report(index, 0);
            }
            sleep(STEP * 10).await;
        }
        for _ in 0..WINDOW {
            fleet.step(1).await;
        }
        fleet.busiest_window()
    });
    let allowed = (SMALL * 5.0 + SMALL) * 1.1 + 20.0;
    let busiest = u32::try_from(busiest).expect("tests admit few operations");
    assert!(f64::from(busiest) <= allowed, "{busiest} of {allowed}");
}

/// Guards against refusals of a small organisation below its rate because the
/// tokens that it could use are held by hosts that have no operations of it.
#[test]
fn small_organisation_is_admitted_wherever_its_operations_come() {
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
                let rates = &mut fleet.hosts[index].1;
                rates.record_demand(&organisation());
                let mut admission = rates.admit(&account(limits));
                if admission == Admission::Wait {
                    fleet.report(index, 1);
                    admission = fleet.hosts[index].1.admit(&account(limits));
                }
                // The coordinator needs some seconds to know what hosts held.
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

/// Guards against hosts that together exceed a small organisation's limit when
/// all of them restart while its callers send far more than usual.
#[test]
fn restarted_fleet_stays_within_a_small_limit() {
    let limits = Limits {
        rate: 8.0,
        burst: 8.0,
    };
    let busiest = paused::run(9, async move {
        let mut fleet = Fleet::with_limits(140, limits);
        fleet.replace(None);
        for index in 0..140 {
            fleet.hosts[index].1.set_host_count(140);
        }
        for _ in 0..150 {
            fleet.step(1).await;
        }
        fleet.replace(Some(Allocator::new(SLACK)));
        for _ in 0..WINDOW {
            fleet.step(1).await;
        }
        fleet.busiest_window()
    });
    let allowed = (limits.rate * 5.0 + limits.burst) * 1.1 + f64::from(SLACK);
    let busiest = u32::try_from(busiest).expect("tests admit few operations");
    assert!(f64::from(busiest) <= allowed, "{busiest} of {allowed}");
}

/// Guards against reports that repeat what the coordinator knows, which are
/// the larger part of the bytes between availability zones in a large fleet.
#[test]
fn unused_organisation_is_reported_until_it_is_known() {
    paused::run(4, async {
        let mut rates = LocalLimiter::new(SLACK);
        rates.set_host_count(2);
        rates.record_demand(&organisation());
        assert_eq!(rates.demands(DemandScope::Changed).len(), 1);
        let mut reports = 0;
        let mut is_over = false;
        for _ in 0..400 {
            sleep(STEP * 10).await;
            let demands = rates.demands(DemandScope::Changed);
            reports += demands.len();
            is_over |= demands.first().is_some_and(Demand::is_empty);
        }
        // The demand halves four times, then it is none, then it is forgotten.
        assert!((4..=7).contains(&reports), "{reports}");
        assert!(is_over);
        assert!(rates.demands(DemandScope::All).is_empty());
    });
}

/// Guards against hosts that are refused below the rate because the store, and
/// with it the coordinator's tenure, is lost; and against a coordinator without
/// tenure that hands out more than its hosts may use by themselves.
#[test]
fn interim_coordinator_shares_out_the_parts_of_its_hosts() {
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
        // Half of the hosts are cut off and use their own parts elsewhere.
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
