//! Tests the decisions under pressure with a member of four slots and clients that retry.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use burdockslip_dispatch::{
    Answer, HostPressure, Observation, PressureReply, Rank, Regulator, Regulators, Usual,
};
use burdockslip_runtime::{Instant, now, paused, random_range, sleep, spawn};
use burdockslip_types::{MemberName, Organisation};

const SLOTS: usize = 4;
const QUEUE: usize = 32;
const HOSTS: usize = 40;
const REPORT_PERIOD: Duration = Duration::from_millis(400);
const WARM_UP: Duration = Duration::from_secs(5);
const DURATION: Duration = Duration::from_secs(25);

/// A kind of request: priority, work and objective in milliseconds, and the part of the
/// demand in percent.
type Kind = (u8, u64, u64, u64);

const KINDS: [Kind; 3] = [(0, 5, 150, 15), (1, 14, 250, 60), (2, 22, 800, 25)];

/// The mean work of a request.
const MEAN_WORK: Duration = Duration::from_micros(14_650);

/// A member with slots and a bounded queue in the order of arrival.
#[derive(Default)]
struct FakeMember {
    slots: RefCell<Vec<Instant>>,
    /// The factor on the work of all statements.
    slowness: Cell<u32>,
    is_refusing: Cell<bool>,
}

impl FakeMember {
    /// Returns when a statement ends, or `None` if the queue is full.
    fn start(&self, work: Duration) -> Option<Instant> {
        let mut slots = self.slots.borrow_mut();
        slots.retain(|end| !end.is_past());
        if self.is_refusing.get() || slots.len() >= SLOTS + QUEUE {
            return None;
        }
        slots.sort();
        let free = match slots.len().checked_sub(SLOTS) {
            Some(index) => slots[index],
            None => now(),
        };
        let end = free + work * (1 + self.slowness.get());
        slots.push(end);
        Some(end)
    }
}

/// What became of the requests of a kind or an organisation.
#[derive(Debug, Default, Clone, Copy)]
struct Outcomes {
    requests: u32,
    in_time: u32,
    /// Slot time used by requests in time, in milliseconds.
    useful: u64,
}

struct Fleet {
    member: FakeMember,
    hosts: Vec<HostPressure>,
    regulators: RefCell<Regulators>,
    usual: RefCell<Usual>,
    /// Requests are counted from this moment.
    counted_from: Instant,
    by_priority: RefCell<BTreeMap<u8, Outcomes>>,
    by_organisation: RefCell<BTreeMap<Organisation, Outcomes>>,
}

fn name() -> MemberName {
    MemberName::from("a")
}

impl Fleet {
    fn new(is_on: bool, counted_from: Duration) -> Rc<Self> {
        Rc::new(Self {
            member: FakeMember::default(),
            hosts: (0..HOSTS).map(|_| HostPressure::new(is_on)).collect(),
            regulators: RefCell::default(),
            usual: RefCell::default(),
            counted_from: Instant::START + counted_from,
            by_priority: RefCell::default(),
            by_organisation: RefCell::default(),
        })
    }

    async fn report(self: Rc<Self>, host: usize) {
        sleep(REPORT_PERIOD * u32::try_from(host).unwrap() / u32::try_from(HOSTS).unwrap()).await;
        loop {
            self.exchange_report(host);
            sleep(REPORT_PERIOD).await;
        }
    }

    fn exchange_report(&self, host: usize) {
        let report = self.hosts[host].take_report();
        let mut regulators = self.regulators.borrow_mut();
        let mut usual = self.usual.borrow_mut();
        regulators.record(report.members);
        usual.record(&report.arrivals);
        self.hosts[host].apply(PressureReply {
            members: regulators.decide(),
            is_watched: regulators.is_watched(),
            excess: usual.excess().to_vec(),
        });
    }

    /// Runs a request of a client that retries twice after a refusal.
    async fn request(self: Rc<Self>, kind: Kind, organisation: Organisation) {
        let (priority, work, objective, _) = kind;
        let objective = Duration::from_millis(objective);
        let started = now();
        let mut outcomes = Outcomes {
            requests: 1,
            ..Outcomes::default()
        };
        for attempt in 0..3 {
            let host = usize::try_from(random_range(0..u64::try_from(HOSTS).unwrap())).unwrap();
            let host = &self.hosts[host];
            let rank = host.rank(&organisation, priority);
            let is_admitted = host.admits(&[name()], rank);
            if is_admitted
                && let Some(end) = self.member.start(
                    Duration::from_millis(work) * u32::try_from(random_range(20..180)).unwrap()
                        / 100,
                )
            {
                let sent = now();
                sleep(end.remaining()).await;
                let after = sent.elapsed();
                let answer = if after > objective / 2 {
                    Answer::Late
                } else {
                    Answer::InTime(after)
                };
                host.record(&name(), rank, answer);
                if started.elapsed() <= objective {
                    (outcomes.in_time, outcomes.useful) = (1, work);
                }
                break;
            } else if is_admitted {
                host.record(&name(), rank, Answer::Refused);
            }
            sleep(Duration::from_millis(10 + 20 * attempt)).await;
        }
        if started >= self.counted_from {
            add(
                self.by_priority.borrow_mut().entry(priority).or_default(),
                outcomes,
            );
            add(
                self.by_organisation
                    .borrow_mut()
                    .entry(organisation)
                    .or_default(),
                outcomes,
            );
        }
    }

    /// Offers requests of all kinds for the whole test at `load` times the capacity.
    async fn offer(self: &Rc<Self>, load: f64, organisation: &str, from: Duration) {
        sleep(from).await;
        let organisation = Organisation::from(organisation);
        let mean = MEAN_WORK.div_f64(load * f64::from(u32::try_from(SLOTS).unwrap()));
        while now().since(Instant::START) < DURATION {
            let draw = random_range(0..100);
            let mut sum = 0;
            let kind = KINDS.into_iter().find(|(.., part)| {
                sum += part;
                draw < sum
            });
            let request = Rc::clone(self).request(kind.unwrap(), organisation.clone());
            spawn(request).detach();
            let jitter = u32::try_from(random_range(0..2_000)).unwrap();
            sleep(mean * jitter / 1_000).await;
        }
    }

    fn start_reports(self: &Rc<Self>) {
        (0..HOSTS).for_each(|host| spawn(Rc::clone(self).report(host)).detach());
    }

    /// Returns the slot time of requests served in time, in relation to the capacity.
    fn goodput(&self) -> f64 {
        let useful: u64 = self
            .by_priority
            .borrow()
            .values()
            .map(|outcomes| outcomes.useful)
            .sum();
        let span = DURATION.saturating_sub(WARM_UP).as_secs_f64() * 1_000.0;
        let capacity = span * f64::from(u32::try_from(SLOTS).unwrap());
        f64::from(u32::try_from(useful).unwrap()) / capacity
    }

    fn served(&self, priority: u8) -> f64 {
        part(self.by_priority.borrow()[&priority])
    }

    fn served_organisation(&self, name: &str) -> f64 {
        part(self.by_organisation.borrow()[name])
    }
}

fn part(outcomes: Outcomes) -> f64 {
    f64::from(outcomes.in_time) / f64::from(outcomes.requests)
}

fn add(total: &mut Outcomes, one: Outcomes) {
    total.requests += one.requests;
    total.in_time += one.in_time;
    total.useful += one.useful;
}

fn run(is_on: bool, load: f64) -> Rc<Fleet> {
    paused::run(7, async move {
        let fleet = Fleet::new(is_on, WARM_UP);
        fleet.start_reports();
        fleet.offer(load, "till", Duration::ZERO).await;
        sleep(Duration::from_secs(2)).await;
        fleet
    })
}

/// Answers load: all clients together send several times what a member serves, and retry
/// twice. The goodput stays within a tenth of the capacity, the most urgent kind is served
/// in its objective, and the least urgent pays.
#[test]
fn goodput_stays_near_capacity() {
    for load in [2.0, 4.0, 8.0] {
        let fleet = run(true, load);
        let (goodput, first, last) = (fleet.goodput(), fleet.served(0), fleet.served(2));
        assert!(goodput > 0.9, "goodput {goodput} at {load}");
        assert!(
            first > 0.95,
            "served {first} of the most urgent kind at {load}"
        );
        assert!(
            last < 0.3,
            "served {last} of the least urgent kind at {load}"
        );
    }
}

/// Shows the order without the switch: all kinds fall alike.
#[test]
fn all_kinds_fall_alike_without_priorities() {
    let fleet = run(false, 4.0);
    assert!(fleet.hosts.iter().all(|host| host.holdbacks().is_empty()));
    assert!(fleet.served(0) < 0.9);
}

/// Answers load: the usual demand. Nothing is held back.
#[test]
fn usual_demand_is_not_held_back() {
    let fleet = run(true, 0.6);
    assert!((0..3).all(|priority| fleet.served(priority) > 0.995));
}

/// Answers load: an organisation sends nine times its usual, beyond what the member
/// serves. Four seconds later, which it takes to know it from a demand that has grown for
/// all, the others lose nothing any more.
#[test]
fn heavy_organisation_pays_for_itself() {
    let fleet = paused::run(3, async {
        let fleet = Fleet::new(true, Duration::from_secs(14));
        fleet.start_reports();
        let heavy = Rc::clone(&fleet);
        spawn(async move { heavy.offer(0.15, "heavy", Duration::ZERO).await }).detach();
        let excess = Rc::clone(&fleet);
        spawn(async move { excess.offer(1.2, "heavy", Duration::from_secs(10)).await }).detach();
        for number in 0..4 {
            let (fleet, name) = (Rc::clone(&fleet), format!("light-{number}"));
            spawn(async move { fleet.offer(0.12, &name, Duration::ZERO).await }).detach();
        }
        sleep(DURATION + Duration::from_secs(2)).await;
        fleet
    });
    let heavy = fleet.served_organisation("heavy");
    for number in 0..4 {
        let served = fleet.served_organisation(&format!("light-{number}"));
        assert!(served > 0.95, "served {served} of light-{number}");
    }
    assert!(heavy < 0.9);
}

/// Answers load: a member turns slow at the usual demand. Less is sent to it, and all of
/// it again once it has recovered.
#[test]
fn slow_member_gets_less_until_it_recovers() {
    paused::run(5, async {
        let fleet = Fleet::new(true, WARM_UP);
        fleet.start_reports();
        let offering = Rc::clone(&fleet);
        spawn(async move { offering.offer(0.6, "till", Duration::ZERO).await }).detach();
        sleep(Duration::from_secs(4)).await;
        fleet.member.slowness.set(4);
        sleep(Duration::from_secs(5)).await;
        assert!(fleet.hosts.iter().all(|host| host.is_pressed(&name())));
        assert!(fleet.hosts[0].held(&name(), Rank::of_priority(0)) == 0);
        fleet.member.slowness.set(0);
        sleep(Duration::from_secs(8)).await;
        assert!(fleet.hosts.iter().all(|host| !host.is_pressed(&name())));
    });
}

/// Answers load: a member refuses everything for two seconds at the usual demand. It is
/// used as before a few seconds later.
#[test]
fn member_that_refused_everything_is_used_again() {
    paused::run(6, async {
        let fleet = Fleet::new(true, Duration::from_secs(13));
        fleet.start_reports();
        let offering = Rc::clone(&fleet);
        spawn(async move { offering.offer(0.6, "till", Duration::ZERO).await }).detach();
        sleep(Duration::from_secs(6)).await;
        fleet.member.is_refusing.set(true);
        sleep(Duration::from_secs(2)).await;
        assert!(fleet.hosts.iter().all(|host| host.is_pressed(&name())));
        fleet.member.is_refusing.set(false);
        sleep(DURATION).await;
        assert!((0..3).all(|priority| fleet.served(priority) > 0.99));
    });
}

/// Answers load: a demand that ends. Nothing is held back any more, although too few
/// statements come to show how much room there is.
#[test]
fn few_statements_end_the_holdback() {
    paused::run(1, async {
        let mut regulator = Regulator::default();
        let rank = Rank::of_priority(1);
        for _ in 0..50 {
            regulator.record(Observation::of(rank, Answer::Refused));
        }
        sleep(Duration::from_secs(1)).await;
        assert!(regulator.decide().is_some());
        for _ in 0..20 {
            let answer = Answer::InTime(Duration::from_millis(14));
            regulator.record(Observation::of(rank, answer));
            sleep(Duration::from_millis(500)).await;
            regulator.decide();
        }
        assert_eq!(regulator.decide(), None);
    });
}
