//! Tests the queue for the room of one resource, and what a host refuses by itself.

use std::time::Duration;

use burdockslip_dispatch::{Claim, Holdback, HostPressure, PressureReply, Rank, TurnQueue, Window};
use burdockslip_queue::Workload;
use burdockslip_runtime::{now, paused, sleep};
use burdockslip_types::{ErrorKind, MemberName, Organisation};

/// Each item is a number that names the statement.
#[derive(Debug)]
struct Numbers;

impl Workload for Numbers {
    type Item = u32;
}

const COST: Duration = Duration::from_millis(10);

/// The rooms of a resource that runs one statement at a time.
const ONE: f64 = 1.0;

fn claim(priority: u8, organisation: &str, limit: u64) -> Claim {
    Claim {
        rank: Rank::of_priority(priority),
        organisation: Organisation::from(organisation),
        latest: now() + Duration::from_millis(limit),
        cost: COST,
    }
}

/// Queues a statement and returns the numbers of those that are refused for it.
fn push(queue: &mut TurnQueue<Numbers>, claim: &Claim, number: u32) -> Vec<u32> {
    let refused = queue.push(claim, ONE, number);
    assert!(
        refused
            .iter()
            .all(|dropped| dropped.cause == ErrorKind::QueueFull)
    );
    refused.into_iter().map(|dropped| dropped.item).collect()
}

fn order(queue: &mut TurnQueue<Numbers>) -> Vec<u32> {
    std::iter::from_fn(|| queue.pop().map(|waiting| waiting.item)).collect()
}

/// Answers load: statements of all priorities wait. The most urgent runs first, within an
/// organisation the one with the least time left.
#[test]
fn urgent_statements_run_first() {
    paused::run(1, async {
        let mut queue = TurnQueue::default();
        push(&mut queue, &claim(2, "a", 500), 1);
        push(&mut queue, &claim(1, "a", 500), 2);
        push(&mut queue, &claim(1, "a", 100), 3);
        push(&mut queue, &claim(0, "a", 500), 4);
        assert_eq!(order(&mut queue), [4, 3, 2, 1]);
    });
}

/// Answers load: more waits than can start in time. The arrival is refused at once, while
/// a more urgent one displaces the last of the least urgent.
#[test]
fn late_starts_are_refused_at_once() {
    paused::run(1, async {
        let mut queue = TurnQueue::default();
        for number in 0..4 {
            assert!(push(&mut queue, &claim(2, "a", 35), number).is_empty());
        }
        assert_eq!(push(&mut queue, &claim(2, "a", 35), 4), [4]);
        assert_eq!(push(&mut queue, &claim(0, "a", 35), 5), [3]);
        assert_eq!(queue.len(), 4);
        assert_eq!(order(&mut queue)[0], 5);
    });
}

/// Answers load: an organisation fills the queue. The statements of another are taken in
/// its place and run in turn with it.
#[test]
fn full_queue_takes_statements_of_other_organisations() {
    paused::run(1, async {
        let mut queue = TurnQueue::default();
        for number in 0..10 {
            push(&mut queue, &claim(1, "heavy", 60), number);
        }
        assert_eq!(queue.len(), 6);
        assert_eq!(push(&mut queue, &claim(1, "light", 60), 20), [5]);
        assert_eq!(push(&mut queue, &claim(1, "light", 60), 21), [4]);
        let order = order(&mut queue);
        assert!(order[..3].contains(&20), "order {order:?}");
        assert!(order[..5].contains(&21), "order {order:?}");
    });
}

/// Answers load: statements that took longer than expected. What cannot start in time any
/// more is not run.
#[test]
fn expired_statements_are_not_run() {
    paused::run(1, async {
        let mut queue = TurnQueue::default();
        push(&mut queue, &claim(1, "a", 30), 1);
        push(&mut queue, &claim(1, "a", 80), 2);
        sleep(Duration::from_millis(40)).await;
        assert_eq!(order(&mut queue), [2]);
        assert_eq!(queue.take_expired().len(), 1);
    });
}

/// Answers load: a member refuses statements as busy. The host sends fewer at a time, at
/// least one, and more again after answers in time, never more than the member has slots.
#[test]
fn window_follows_the_answers() {
    let window = Window::new(4);
    assert!(window.has_room(3) && !window.has_room(4));
    (0..10).for_each(|_| window.narrow());
    assert!(window.has_room(0) && !window.has_room(1));
    (0..100).for_each(|_| window.widen());
    assert!(window.has_room(3) && !window.has_room(4));
}

/// Answers load: the processor of a host is used up. The least urgent operations are
/// refused there, the most urgent are not, and none once tasks run on time again.
#[test]
fn busy_host_refuses_the_least_urgent() {
    paused::run(1, async {
        let pressure = HostPressure::new(true);
        let objective = Duration::from_millis(150);
        let period = Duration::from_millis(20);
        let mut refused = [[0; 3]; 2];
        for (phase, lag) in [(0, 60), (1, 0)] {
            for _ in 0..500 {
                sleep(period).await;
                pressure.record_lag(period, period + Duration::from_millis(lag));
                for (priority, count) in (0_u8..).zip(&mut refused[phase]) {
                    let rank = Rank::of_priority(priority);
                    *count += u32::from(!pressure.admits_here(rank, objective));
                }
            }
        }
        let [slow, _] = refused;
        assert!(slow[2] > 200 && slow[0] < slow[2] / 2, "refused {slow:?}");
        assert_eq!(pressure.own_holdback(), None);
    });
}

/// Without the switch nothing is counted or refused.
#[test]
fn nothing_is_refused_without_priorities() {
    paused::run(1, async {
        let pressure = HostPressure::new(false);
        let period = Duration::from_millis(20);
        for _ in 0..500 {
            sleep(period).await;
            pressure.record_lag(period, period * 10);
            assert!(pressure.admits_here(Rank::of_priority(2), period));
        }
        assert_eq!(pressure.take_report().arrivals.len(), 0);
    });
}

/// Answers load: reads that a replica can serve stand in the way of what only the primary
/// can. They leave it alone while it is under pressure and a replica answers soon enough.
#[test]
fn pressed_primary_is_left_to_its_own_work() {
    paused::run(1, async {
        let (primary, replica) = (MemberName::from("a"), MemberName::from("b"));
        let rank = Rank::of_priority(1);
        let limit = Duration::from_millis(125);
        let pressure = HostPressure::new(true);
        let spares = |latency| {
            let replicas = [(replica.clone(), Duration::from_millis(latency))];
            pressure.spares_primary(&primary, replicas, rank, limit)
        };
        assert!(!spares(20), "the primary is not under pressure");
        let holdback = Holdback {
            rank,
            thousandths: 300,
            passing: 10,
        };
        pressure.apply(PressureReply {
            members: vec![(primary.clone(), holdback)],
            ..PressureReply::default()
        });
        assert!(spares(20));
        assert!(!spares(200), "the replica is too slow");
        assert!(!pressure.spares_primary(&primary, [], rank, limit));
    });
}
