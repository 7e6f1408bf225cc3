//! Guards the order, the bounds and the cost of the queue's decisions.

use std::time::Duration;

use burdockslip_queue::{FairQueue, Order, Policy, Settings, Sharing, Workload};
use burdockslip_runtime::{Instant, now, paused, sleep};
use burdockslip_types::{ErrorKind, Organisation};

const COST: Duration = Duration::from_millis(4);

#[derive(Debug)]
struct Numbers;

impl Workload for Numbers {
    type Item = u32;
}

fn policy(sharing: Sharing) -> Settings {
    Settings {
        policy: Policy {
            sharing,
            order: Order::Priority,
        },
        ..Settings::default()
    }
}

fn push(queue: &mut FairQueue<Numbers>, organisation: &str, item: u32) -> Result<(), ErrorKind> {
    push_with(queue, organisation, 0, 1_000, item)
}

fn push_with(
    queue: &mut FairQueue<Numbers>,
    organisation: &str,
    priority: u8,
    millis: u64,
    item: u32,
) -> Result<(), ErrorKind> {
    let deadline = now() + Duration::from_millis(millis);
    queue
        .push(&organisation.into(), priority, deadline, COST, item)
        .map_err(|dropped| dropped.cause)
}

fn drain(queue: &mut FairQueue<Numbers>) -> Vec<u32> {
    std::iter::from_fn(|| queue.pop(now()).map(|ready| ready.item)).collect()
}

/// Guards against one organisation's backlog delaying all others.
#[test]
fn backlog_of_one_does_not_delay_another() {
    for (sharing, place) in [
        (Sharing::Fifo, 100),
        (Sharing::RoundRobin, 1),
        (Sharing::Deficit, 1),
    ] {
        paused::run(1, async move {
            let mut queue = FairQueue::<Numbers>::new(policy(sharing));
            for item in 0..100 {
                push(&mut queue, "large", item).unwrap();
            }
            push(&mut queue, "small", 500).unwrap();
            let order = drain(&mut queue);
            assert_eq!(order.iter().position(|item| *item == 500), Some(place));
        });
    }
}

/// Guards against shares that ignore the weights or the measured cost.
#[test]
fn shares_follow_weight_and_measured_cost() {
    paused::run(1, async {
        let mut queue = FairQueue::<Numbers>::new(policy(Sharing::Deficit));
        queue.set_weight(&"heavy".into(), 3);
        for item in 0..900 {
            for name in ["heavy", "light", "slow"] {
                push(&mut queue, name, item).unwrap();
            }
        }
        let mut used = std::collections::BTreeMap::<Organisation, u128>::new();
        for turn in 0..900 {
            let ready = queue.pop(now()).unwrap();
            // "slow" takes five times as long as estimated.
            let factor = if ready.organisation.as_str() == "slow" {
                5
            } else {
                1
            };
            let measured = ready.cost * factor;
            queue.finish(&ready.organisation, ready.cost, measured);
            // The first turns use up savings, which are the same for all weights.
            if turn >= 200 {
                *used.entry(ready.organisation).or_default() += measured.as_micros();
            }
        }
        let ratio = |name: &str| used[name] * 100 / used["light"];
        assert!((295..=305).contains(&ratio("heavy")), "{used:?}");
        assert!((95..=105).contains(&ratio("slow")), "{used:?}");
    });
}

/// Guards against idle time that lets an organisation save up more than the setting allows.
#[test]
fn savings_of_an_idle_organisation_are_bounded() {
    paused::run(1, async {
        let mut queue = FairQueue::<Numbers>::new(policy(Sharing::Deficit));
        for item in 0..300 {
            push(&mut queue, "busy", item).unwrap();
        }
        for _ in 0..200 {
            queue.pop(now()).unwrap();
        }
        for item in 1_000..1_200 {
            push(&mut queue, "idle", item).unwrap();
        }
        let served = drain(&mut queue);
        let idle = served[..100].iter().filter(|item| **item >= 1_000).count();
        // 100 ms of savings are 25 requests; the other 75 are shared equally.
        assert!((60..=65).contains(&idle), "{idle}");
    });
}

/// Guards against an order within an organisation that ignores priority or deadline.
#[test]
fn order_within_an_organisation() {
    for (order, expected) in [
        (Order::Arrival, [1, 2, 3]),
        (Order::Deadline, [3, 2, 1]),
        (Order::Priority, [2, 3, 1]),
    ] {
        paused::run(1, async move {
            let mut queue = FairQueue::<Numbers>::new(Settings {
                policy: Policy {
                    order,
                    ..Policy::default()
                },
                ..Settings::default()
            });
            push_with(&mut queue, "one", 1, 900, 1).unwrap();
            push_with(&mut queue, "one", 2, 800, 2).unwrap();
            push_with(&mut queue, "one", 1, 700, 3).unwrap();
            assert_eq!(drain(&mut queue), expected);
        });
    }
}

/// Guards against running expired work, and against losing it without an answer.
#[test]
fn expired_and_delayed_work_is_handed_back() {
    paused::run(1, async {
        let mut queue = FairQueue::<Numbers>::new(Settings {
            max_delay: Duration::from_millis(500),
            ..Settings::default()
        });
        push_with(&mut queue, "one", 0, 100, 1).unwrap();
        push_with(&mut queue, "one", 0, 5_000, 2).unwrap();
        assert_eq!(
            queue.next_expiry(),
            Some(now() + Duration::from_millis(100))
        );
        sleep(Duration::from_millis(100)).await;
        let late = queue.take_dropped(now());
        assert_eq!(
            (late[0].item, late[0].cause),
            (1, ErrorKind::DeadlineExceeded)
        );
        sleep(Duration::from_millis(400)).await;
        assert!(queue.pop(now()).is_none());
        let shed = queue.take_dropped(now());
        assert_eq!((shed[0].item, shed[0].cause), (2, ErrorKind::QueueFull));
        assert!(shed[0].cause.did_not_run() && queue.is_empty());
        assert_eq!(
            push_with(&mut queue, "one", 0, 0, 3),
            Err(ErrorKind::DeadlineExceeded)
        );
    });
}

/// Guards against unbounded queues, and against a backlog that locks others out.
#[test]
fn bounds_hold_and_the_longest_lane_gives_way() {
    paused::run(1, async {
        let mut queue = FairQueue::<Numbers>::new(Settings {
            lane_limit: 8,
            total_limit: 10,
            ..Settings::default()
        });
        for item in 0..8 {
            push(&mut queue, "large", item).unwrap();
        }
        assert_eq!(push(&mut queue, "large", 8), Err(ErrorKind::QueueFull));
        for item in 100..105 {
            push(&mut queue, "small", item).unwrap();
        }
        assert_eq!(push(&mut queue, "small", 105), Err(ErrorKind::QueueFull));
        assert_eq!(queue.len(), 10);
        let dropped = queue.take_dropped(Instant::START);
        let items: Vec<_> = dropped.iter().map(|dropped| dropped.item).collect();
        assert_eq!(items, [7, 6, 5]);
    });
}

/// Guards against a decision that scans the organisations: counts steps, not time.
#[test]
fn steps_per_decision_do_not_grow_with_organisations() {
    for sharing in [Sharing::Fifo, Sharing::RoundRobin, Sharing::Deficit] {
        for organisations in [8, 100, 1_000, 10_000] {
            let steps = paused::run(1, async move { steps_per_pop(sharing, organisations) });
            assert!(steps <= 3.0, "{sharing:?} {organisations}: {steps}");
        }
    }
}

fn steps_per_pop(sharing: Sharing, organisations: u32) -> f64 {
    let names: Vec<_> = (0..organisations)
        .map(|index| Organisation::from(format!("organisation-{index}")))
        .collect();
    let mut queue = FairQueue::<Numbers>::new(policy(sharing));
    let deadline = now() + Duration::from_secs(1);
    let mut pops = 0_u32;
    for round in 0..20_u32 {
        for (index, name) in (0_u32..).zip(&names) {
            queue.set_weight(name, 1 + index % 4);
            queue.push(name, 0, deadline, COST, round).unwrap();
        }
        for _ in &names {
            let ready = queue.pop(now()).unwrap();
            let measured = ready.cost * (1 + pops % 20);
            queue.finish(&ready.organisation, ready.cost, measured);
            pops += 1;
        }
    }
    f64::from(u32::try_from(queue.steps()).unwrap()) / f64::from(pops)
}
