//! Tests of the pace of members under load, and of what a cold member gets from all hosts.

use std::time::Duration;

use burdockslip_pace::{
    Admission, ColdLimit, Condition, Controller, Gate, MemberDemand, Outcome, PERMIT_LIFETIME,
    PaceGrant, Rules, Sighting,
};
use burdockslip_runtime::{now, paused, random_range, sleep};
use burdockslip_types::{HostId, MemberName};

const STEP: Duration = Duration::from_millis(10);
const STEPS_A_SECOND: usize = 100;

/// How often a host reports, in steps.
const REPORT_STEPS: usize = 30;

/// How often hosts that hoard permits use them, in steps: half of this time, after they
/// have kept them for the other half.
const HOARD_STEPS: usize = 240;

/// The latency of the other members of the group, in milliseconds.
const PEER_LATENCY: f64 = 20.0;

const COLD_RATE: f64 = 40.0;
const LIMIT: ColdLimit = ColdLimit {
    percent: 150,
    slack: 5,
};

/// The most statements that a cold member may get in a second: 40 * 1.5 + 5.
const MAX_COLD: usize = 65;

/// A member that runs statements in its slots and refuses those beyond its queue.
struct Upstream {
    slots: f64,
    /// The time of a statement, in milliseconds.
    service: f64,
    queue: f64,
    pending: f64,
}

impl Upstream {
    fn healthy() -> Self {
        Self {
            slots: 4.0,
            service: PEER_LATENCY,
            queue: 32.0,
            pending: 0.0,
        }
    }

    fn send(&mut self) -> Outcome {
        if self.pending >= self.queue {
            return Outcome::Busy;
        }
        self.pending += 1.0;
        let waited = (self.pending / self.slots).max(1.0);
        Outcome::Answered(Duration::from_secs_f64(self.service * waited / 1000.0))
    }

    fn advance(&mut self) {
        let done = self.slots * STEP.as_secs_f64() * 1000.0 / self.service;
        self.pending = (self.pending - done).max(0.0);
    }
}

/// Hosts that send all they may to one member.
struct Fleet {
    hosts: Vec<(HostId, Gate)>,
    controller: Option<Controller>,
    sighting: Sighting,
    upstream: Upstream,
    /// The hosts from this one on are cut off from the coordinator.
    connected: usize,
    /// Whether one of four replies is lost.
    loses_replies: bool,
    /// Whether hosts keep their permits for some time and then use all at once.
    hoards: bool,
    steps: usize,
    sent: Vec<usize>,
    busy: Vec<usize>,
}

impl Fleet {
    fn new(count: usize, sighting: Sighting) -> Self {
        let host = |number| {
            let mut gate = Gate::default();
            gate.set_host_count(count);
            (HostId::from(format!("host-{number}")), gate)
        };
        Self {
            hosts: (0..count).map(host).collect(),
            controller: Some(Controller::default()),
            sighting,
            upstream: Upstream::healthy(),
            connected: count,
            loses_replies: false,
            hoards: false,
            steps: 0,
            sent: Vec::new(),
            busy: Vec::new(),
        }
    }

    /// Runs for a time in which all hosts together ask for `rate` statements a second.
    async fn run(&mut self, rate: u32, span: Duration) {
        let until = now() + span;
        while !until.is_past() {
            self.step(rate).await;
        }
    }

    async fn step(&mut self, rate: u32) {
        let (mut sent, mut busy) = (0, 0);
        let count = self.hosts.len();
        let odds = u64::try_from(count * STEPS_A_SECOND).expect("it is small");
        for index in 0..count {
            if random_range(0..odds) < u64::from(rate) {
                let gate = &mut self.hosts[index].1;
                gate.record_demand(&self.sighting);
                let admission = if self.hoards {
                    Admission::Wait
                } else {
                    gate.take(&self.sighting, 1)
                };
                let is_urgent = admission == Admission::Wait && gate.is_urgent();
                if admission == Admission::Granted {
                    let outcome = self.upstream.send();
                    gate.record_outcome(&self.sighting.member, outcome);
                    sent += 1;
                    busy += usize::from(outcome == Outcome::Busy);
                } else if is_urgent {
                    self.report(index, &[]);
                }
            }
            if index % REPORT_STEPS == self.steps % REPORT_STEPS {
                self.report(index, &[]);
            }
        }
        if self.hoards && self.steps % HOARD_STEPS > HOARD_STEPS / 2 {
            sent += self.use_all();
        }
        self.upstream.advance();
        self.sent.push(sent);
        self.busy.push(busy);
        self.steps += 1;
        sleep(STEP).await;
    }

    /// Uses all permits of all hosts, and returns how many there were.
    fn use_all(&mut self) -> usize {
        let mut sent = 0;
        for (_, gate) in &mut self.hosts {
            while gate.take(&self.sighting, 1) == Admission::Granted {
                sent += 1;
            }
        }
        sent
    }

    fn report(&mut self, index: usize, suspects: &[MemberName]) -> Option<Vec<PaceGrant>> {
        let is_lost = self.loses_replies && random_range(0..4) == 0;
        let (host, gate) = &mut self.hosts[index];
        let demands = gate.demands(|_| PEER_LATENCY);
        let controller = self.controller.as_mut();
        let controller = controller.filter(|_| index < self.connected);
        let known = std::slice::from_ref(&self.sighting);
        let grants = controller.map(|known_by| known_by.grant(host, &demands, suspects, known));
        let Some(grants) = grants.filter(|_| !is_lost) else {
            gate.mark_disconnected();
            return None;
        };
        if !grants.is_empty() {
            gate.record_listed(&self.sighting);
        }
        gate.apply(now(), &grants);
        Some(grants)
    }

    /// Returns the most statements sent in a second, and those sent in total.
    fn peak_and_total(&self) -> (usize, usize) {
        let windows = self.sent.windows(STEPS_A_SECOND + 1);
        let peak = windows.map(|window| window.iter().sum()).max();
        (peak.unwrap_or_default(), self.sent.iter().sum())
    }

    /// Returns the mean of a count of the last seconds, for each second.
    fn mean(counts: &[usize], seconds: usize) -> usize {
        let last = counts.iter().rev().take(seconds * STEPS_A_SECOND);
        last.sum::<usize>() / seconds
    }

    fn free_count(&self) -> usize {
        let is_free =
            |(_, gate): &&(HostId, Gate)| gate.condition(&self.sighting) == Condition::Free;
        self.hosts.iter().filter(is_free).count()
    }
}

fn sighting(rules: Rules, cold: Duration) -> Sighting {
    Sighting {
        member: MemberName::from("m1"),
        born: 1,
        slots: 4,
        cold_until: (!cold.is_zero()).then(|| now() + cold),
        seen: Some(now()),
        rules,
    }
}

fn limited() -> Rules {
    Rules::new(Some(COLD_RATE), Some(LIMIT)).expect("the group is paced")
}

/// Load: 150 hosts ask a cold member for 50 times what it may get.
#[test]
fn cold_member_stays_within_its_limit() {
    for seed in 0..5 {
        paused::run(seed, async {
            let mut fleet = Fleet::new(150, sighting(limited(), Duration::from_secs(8)));
            fleet.run(2_000, Duration::from_secs(7)).await;
            let (peak, total) = fleet.peak_and_total();
            assert!(peak <= MAX_COLD, "{peak}");
            // It is not left idle either: half of what it can run arrives.
            assert!(total >= 7 * 20, "{total}");
        });
    }
}

/// Load: hosts keep their permits for 1.2 s and then use all that are still valid, and
/// each new one at once.
#[test]
fn hoarded_permits_stay_within_the_limit() {
    for seed in 0..5 {
        paused::run(seed, async {
            let mut fleet = Fleet::new(60, sighting(limited(), Duration::from_secs(15)));
            fleet.hoards = true;
            fleet.run(1_200, Duration::from_secs(12)).await;
            let (peak, total) = fleet.peak_and_total();
            assert!(peak <= MAX_COLD, "{peak}");
            // The hosts do press: a second has most of what is allowed.
            assert!(peak * 2 > MAX_COLD && total > 0, "{peak}");
        });
    }
}

/// Failure: the coordinator changes twice, replies are lost, and a third of the hosts is
/// cut off while they hold permits.
#[test]
fn cold_member_stays_within_its_limit_under_failures() {
    for seed in 0..5 {
        paused::run(seed, async move {
            let mut fleet = Fleet::new(60, sighting(limited(), Duration::from_secs(12)));
            fleet.loses_replies = true;
            fleet.hoards = seed % 2 == 0;
            fleet.run(600, Duration::from_secs(2)).await;
            fleet.controller = Some(Controller::default());
            fleet.run(600, Duration::from_secs(2)).await;
            fleet.connected = 40;
            fleet.run(600, Duration::from_secs(2)).await;
            fleet.connected = 60;
            fleet.controller = None;
            fleet.run(600, Duration::from_millis(300)).await;
            fleet.controller = Some(Controller::default());
            fleet.run(600, Duration::from_secs(2)).await;
            let (peak, total) = fleet.peak_and_total();
            assert!(peak <= MAX_COLD, "{peak}");
            assert!(total > 0);
        });
    }
}

/// Failure: a member turns cold while hosts hold permits of its ramp.
#[test]
fn permits_of_a_ramp_are_void_once_the_member_is_cold() {
    paused::run(1, async {
        let mut fleet = Fleet::new(20, sighting(limited(), Duration::ZERO));
        fleet.sighting.slots = 40;
        fleet.hoards = true;
        fleet.run(800, Duration::from_millis(600)).await;
        fleet.hoards = false;
        fleet.sighting.cold_until = Some(now() + Duration::from_secs(5));
        let turned = fleet.sent.len();
        fleet.run(2_000, Duration::from_secs(4)).await;
        fleet.sent.drain(..turned);
        let (peak, _) = fleet.peak_and_total();
        assert!(peak <= MAX_COLD, "{peak}");
    });
}

/// Failure: no coordinator. A cold member gets nothing, one that ramps a little.
#[test]
fn hosts_without_a_coordinator_send_cold_members_nothing() {
    paused::run(1, async {
        let mut fleet = Fleet::new(20, sighting(limited(), Duration::from_secs(5)));
        fleet.controller = None;
        fleet.run(2_000, Duration::from_secs(4)).await;
        assert_eq!(fleet.peak_and_total().1, 0);
        let mut fleet = Fleet::new(20, sighting(limited(), Duration::ZERO));
        fleet.run(2_000, Duration::from_millis(500)).await;
        fleet.controller = None;
        fleet.run(2_000, Duration::from_secs(2)).await;
        let rate = Fleet::mean(&fleet.sent, 1);
        assert!((1..200).contains(&rate), "{rate}");
        fleet.run(2_000, Duration::from_secs(6)).await;
        assert_eq!(fleet.free_count(), 20);
    });
}

/// Load: a cold primary is asked for far more than it may get. What it has no permit for
/// is refused after one reply, not at the deadline.
#[test]
fn statements_beyond_a_cold_primary_are_refused_at_once() {
    paused::run(1, async {
        let mut fleet = Fleet::new(50, sighting(limited(), Duration::from_secs(20)));
        fleet.run(1_000, Duration::from_secs(3)).await;
        let limit = Duration::from_millis(140);
        let (mut granted, mut refused) = (0, 0);
        for index in 0..50 {
            let sighting = fleet.sighting.clone();
            let gate = &mut fleet.hosts[index].1;
            gate.record_demand(&sighting);
            gate.begin_wait(&sighting, 1);
            fleet.report(index, &[]);
            let gate = &mut fleet.hosts[index].1;
            match gate.take(&sighting, 1) {
                Admission::Granted => granted += 1,
                _ => refused += usize::from(gate.is_hopeless(&sighting, limit)),
            }
            gate.end_wait(&sighting.member, 1);
        }
        assert_eq!(granted + refused, 50);
        assert!((1..=MAX_COLD).contains(&granted), "{granted}");
    });
}

/// Load: a member that is as fast as the others restarts in a busy fleet.
#[test]
fn healthy_member_is_at_full_rate_within_two_seconds() {
    for (seed, hosts, rate) in [(1, 13, 100), (2, 100, 150), (3, 146, 60), (4, 300, 180)] {
        paused::run(seed, async move {
            let mut fleet = Fleet::new(hosts, sighting(limited(), Duration::ZERO));
            fleet.run(rate, Duration::from_secs(2)).await;
            assert_eq!(fleet.free_count(), hosts, "{hosts} hosts");
            let early = fleet.sent[..STEPS_A_SECOND].iter().sum::<usize>();
            assert!(early > 0, "{hosts} hosts left it idle");
        });
    }
}

/// Load: a member has been cold for longer than any ramp lasts, and hosts ask for far more
/// than it got. It is not flooded when it gets warm, and is soon at full rate.
#[test]
fn member_that_gets_warm_is_ramped() {
    paused::run(1, async {
        let mut fleet = Fleet::new(40, sighting(limited(), Duration::from_secs(25)));
        fleet.upstream.slots = 40.0;
        fleet.sighting.slots = 40;
        fleet.run(900, Duration::from_millis(25_010)).await;
        fleet.run(900, Duration::from_millis(200)).await;
        let first = fleet.sent.iter().rev().take(20).sum::<usize>();
        assert!(first < 60, "{first}");
        fleet.run(900, Duration::from_millis(2_300)).await;
        let rate = Fleet::mean(&fleet.sent, 1);
        assert!(fleet.free_count() == 40 || rate > 600, "{rate}");
    });
}

/// Load: a member takes four times as long as the others after its start, and hosts ask
/// for six times what it can run.
#[test]
fn slow_member_settles_near_what_it_can_run() {
    for seed in 0..5 {
        paused::run(seed, async {
            let mut fleet = Fleet::new(100, sighting(limited(), Duration::ZERO));
            fleet.upstream.service = 80.0;
            fleet.run(300, Duration::from_secs(12)).await;
            // Its four slots run 50 statements a second.
            let rate = Fleet::mean(&fleet.sent, 6);
            assert!((20..=55).contains(&rate), "{rate}");
            assert_eq!(Fleet::mean(&fleet.busy, 6), 0);
        });
    }
}

/// Load: hosts ask for three times what a member can run, which answers as busy beyond.
#[test]
fn busy_answers_lower_the_rate() {
    for seed in 0..5 {
        paused::run(seed, async {
            let mut fleet = Fleet::new(50, sighting(limited(), Duration::ZERO));
            fleet.upstream = Upstream {
                slots: 2.0,
                queue: 3.0,
                ..Upstream::healthy()
            };
            fleet.run(300, Duration::from_secs(12)).await;
            let (sent, busy) = (Fleet::mean(&fleet.sent, 6), Fleet::mean(&fleet.busy, 6));
            assert!((40..=130).contains(&sent), "{sent}");
            assert!(busy * 5 <= sent, "{busy} of {sent}");
        });
    }
}

/// Failure: a cold member starts again during its ramp.
#[test]
fn member_that_restarts_during_its_ramp_starts_again() {
    paused::run(1, async {
        let mut fleet = Fleet::new(60, sighting(limited(), Duration::from_secs(3)));
        fleet.run(900, Duration::from_millis(1_500)).await;
        fleet.sighting.born = 2;
        fleet.sighting.seen = Some(now());
        fleet.sighting.cold_until = Some(now() + Duration::from_secs(3));
        fleet.run(900, Duration::from_millis(2_500)).await;
        let (peak, _) = fleet.peak_and_total();
        assert!(peak <= MAX_COLD, "{peak}");
        assert!(Fleet::mean(&fleet.sent, 1) > 0);
    });
}

/// Failure: a member is lost for most hosts and comes back; one host with a broken link
/// slows nothing down.
#[test]
fn member_that_most_hosts_lost_is_paced() {
    paused::run(1, async {
        let mut fleet = Fleet::new(4, sighting(limited(), Duration::ZERO));
        fleet.sighting.seen = None;
        let suspects = [fleet.sighting.member.clone()];
        let is_paced = |grants: Option<Vec<PaceGrant>>| !grants.unwrap_or_default().is_empty();
        for index in 0..4 {
            fleet.report(index, &[]);
        }
        fleet.report(0, &suspects);
        assert!(!is_paced(fleet.report(0, &[])));
        for index in 0..3 {
            fleet.report(index, &suspects);
        }
        for index in 0..3 {
            fleet.report(index, &[]);
        }
        assert!(is_paced(fleet.report(3, &[])));
        fleet.run(40, Duration::from_secs(2)).await;
        assert_eq!(fleet.free_count(), 4);
    });
}

/// Load: a full bucket, permits that are used at the end of their lifetime, and a second in
/// which each new one is used at once.
#[test]
fn budget_covers_the_lifetime_of_permits() {
    for (rate, percent, slack) in [
        (40.0, 150, 5),
        (3.0, 150, 5),
        (0.0, 150, 5),
        (900.0, 100, 0),
    ] {
        let limit = ColdLimit { percent, slack };
        let rules = Rules::new(Some(rate), Some(limit)).expect("the group is paced");
        let budget = rules.cold_budget().expect("it is limited");
        let span = 1.0 + PERMIT_LIFETIME.as_secs_f64();
        let most = rate * f64::from(percent) / 100.0 + f64::from(slack);
        assert!(budget.capacity + budget.rate * span <= most, "{budget:?}");
        assert!(budget.capacity >= 1.0, "{budget:?}");
    }
}

/// Failure: values out of range in the configuration, in settings and in reports.
#[test]
fn odd_values_change_nothing() {
    for rate in [
        None,
        Some(f64::NAN),
        Some(-4.0),
        Some(0.0),
        Some(f64::INFINITY),
    ] {
        assert_eq!(Rules::new(rate, None), None);
        let tight = ColdLimit {
            percent: 100,
            slack: 0,
        };
        let budget = Rules::new(rate, Some(tight)).and_then(|rules| rules.cold_budget());
        assert!(budget.is_some_and(|budget| budget.capacity < 1.0));
    }
    paused::run(1, async {
        let mut fleet = Fleet::new(2, sighting(limited(), Duration::from_secs(9)));
        let host = HostId::from("odd");
        let demand = MemberDemand {
            member: fleet.sighting.member.clone(),
            born: 1,
            cold: Duration::MAX,
            rate: f32::NAN,
            waiting: u32::MAX,
            prefetch: u32::MAX,
            answered: u32::MAX,
            busy: 0,
            failed: 0,
            latency: f32::NEG_INFINITY,
            peers: f32::NAN,
        };
        let known = [fleet.sighting.clone()];
        for _ in 0..200 {
            if let Some(controller) = &mut fleet.controller {
                controller.grant(&host, std::slice::from_ref(&demand), &[], &known);
            }
            fleet.step(100).await;
        }
        assert!(fleet.peak_and_total().0 <= MAX_COLD);
    });
}
