//! Guards the decision to promote and its steps (`docs/design.md`, section 4.4).

mod support;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use burdockslip_group::fake::{Cluster, ClusterSettings, Session};
use burdockslip_group::history::{Recorder, check};
use burdockslip_group::{Primary, Timing, WatchReply, WatchRequest, Watcher};
use burdockslip_runtime::{now, random_range, sleep};
use burdockslip_types::{MemberName, Result, Term};
use support::{
    assert_clean, attempts, cluster, cluster_with, each_seed, finish, member, ms, run_sessions,
};

/// Lists the members that act as primary.
fn primaries(cluster: &Cluster) -> Vec<(MemberName, Term)> {
    let names = cluster.database.names().into_iter();
    let statuses = names.map(|name| cluster.database.status(&name));
    statuses
        .filter(|s| s.is_primary)
        .map(|s| (s.member, s.term))
        .collect()
}

/// Guards against promotions over a primary that answers late.
#[test]
fn slow_primary_stays() {
    each_seed(|seed| async move {
        let cluster = cluster().await;
        for _ in 0..3 {
            cluster.database.set_answer_delay(&member(0), ms(500));
            sleep(ms(random_range(1000..4000))).await;
            cluster
                .database
                .set_answer_delay(&member(0), Duration::ZERO);
            sleep(ms(random_range(0..300))).await;
        }
        assert_eq!(attempts(&cluster), 0, "seed {seed}");
    });
}

/// Guards against promotions over a primary that is paused for 500 ms, also
/// when it is paused again soon after.
#[test]
fn paused_primary_stays() {
    each_seed(|seed| async move {
        let cluster = cluster().await;
        for _ in 0..10 {
            cluster.database.freeze(&member(0));
            sleep(ms(500)).await;
            cluster.database.thaw(&member(0));
            sleep(ms(random_range(5..400))).await;
        }
        assert_eq!(attempts(&cluster), 0, "seed {seed}");
    });
}

/// Guards against promotions because one watcher cannot reach the primary, and
/// against a flood of questions from it while that lasts.
#[test]
fn one_watcher_is_not_enough() {
    each_seed(|seed| async move {
        let cluster = cluster().await;
        let host = random_range(0..3);
        cluster.network.cut(&format!("host-{host}"), "member-0");
        sleep(ms(5000)).await;
        assert_eq!(attempts(&cluster), 0, "seed {seed}");
        // Ten rounds a second of view, freshness and evidence to two watchers.
        let index = usize::try_from(host).unwrap_or_default();
        let group = cluster.group(index).expect("the host runs");
        let messages = group.counts().messages;
        assert!(messages <= 300, "seed {seed}: {messages}");
    });
}

/// Guards against two primaries of one term when watchers promote at the same
/// moment: one of them gets a majority for a term, the others back off.
#[test]
fn concurrent_promoters_leave_one_primary() {
    let failures = Rc::new(Cell::new(0));
    let total = Rc::clone(&failures);
    each_seed(move |seed| {
        let total = Rc::clone(&total);
        async move {
            let settings = ClusterSettings {
                timing: Timing {
                    rank_backoff: Duration::ZERO,
                    ..Timing::default()
                },
                ..ClusterSettings::default()
            };
            let cluster = cluster_with(settings).await;
            // Each promoter fences its own member first, so that they collide.
            cluster.kill_host(0);
            cluster.network.set_delay("host-1", "member-2", ms(30));
            cluster.network.set_delay("host-2", "member-1", ms(30));
            let fault = async {
                sleep(ms(random_range(200..400))).await;
                cluster.database.kill(&member(0));
                for _ in 0..3000 {
                    sleep(ms(1)).await;
                    assert_distinct_terms(&cluster, seed);
                }
            };
            let history = run_sessions(&cluster, ms(3000), fault).await;
            assert_clean(&history, seed);
            assert_eq!(primaries(&cluster).len(), 1, "seed {seed}");
            let counts = [1, 2].map(|index| cluster.group(index).expect("it runs").counts());
            let failed = counts.map(|c| c.attempts - c.promotions);
            total.set(total.get() + failed.iter().sum::<u64>());
        }
    });
    assert!(failures.get() > 0, "no two promoters met");
}

fn assert_distinct_terms(cluster: &Cluster, seed: u64) {
    let mut terms: Vec<_> = primaries(cluster)
        .into_iter()
        .map(|(_, term)| term)
        .collect();
    let count = terms.len();
    terms.sort_unstable();
    terms.dedup();
    assert_eq!(terms.len(), count, "seed {seed}: two primaries of one term");
}

/// Guards against a group without primary after a promoter has died between
/// two steps: after fencing (false) or after the promotion (true).
#[yare::parameterized(fenced = { false }, promoted = { true })]
fn dead_promoter_is_replaced(is_promoted: bool) {
    each_seed(move |seed| async move {
        let cluster = cluster().await;
        let recorder = Recorder::default();
        let mut session = Session::open(&cluster, &recorder, 1, 2);
        session
            .write(1, 1, None)
            .await
            .expect("the group is healthy");
        cluster.database.kill(&member(0));
        let started = now();
        while !is_reached(&cluster, is_promoted) {
            sleep(Duration::from_micros(100)).await;
            assert!(started.elapsed() < ms(2000), "seed {seed}: no promotion");
        }
        cluster.kill_host(0);
        // A write sent to the dead primary would end as outcome unknown.
        let group = cluster.group(2).expect("the host runs");
        group.next_primary(Term(1)).await;
        let result = session.write(1, 2, None).await;
        assert!(result.is_ok(), "seed {seed}: {result:?}");
        assert!(started.elapsed() < ms(2500), "seed {seed}: took too long");
        assert_eq!(primaries(&cluster).len(), 1, "seed {seed}");
        cluster.database.restart(&member(0));
        assert_eq!(check(&finish(&cluster, &recorder).await), [], "seed {seed}");
    });
}

/// Returns whether the first promotion has reached the step after which the
/// promoter is to die.
fn is_reached(cluster: &Cluster, is_promoted: bool) -> bool {
    let statuses = [1, 2].map(|index| cluster.database.status(&member(index)));
    if is_promoted {
        statuses.iter().any(|s| s.is_primary)
    } else {
        statuses.iter().all(|s| s.term > Term(1))
    }
}

/// Guards against a promoter that is paused after fencing and goes on when
/// another one has already promoted a member in a higher term.
#[test]
fn paused_promoter_gains_nothing() {
    each_seed(|seed| async move {
        let cluster = cluster().await;
        let members = cluster.database.members(&"host-0".into());
        for index in [1, 2] {
            (members[index].fence)(Term(2))
                .await
                .expect("the term is new");
        }
        sleep(ms(200)).await;
        for index in 0..3 {
            let group = cluster.group(index).expect("the host runs");
            assert!(group.primary().is_err(), "seed {seed}: a majority has left");
        }
        let fault = async {
            sleep(ms(random_range(1000..2000))).await;
            let (before, index) = (primaries(&cluster), random_range(1..3));
            let member = &members[usize::try_from(index).unwrap_or(1)];
            let result = (member.promote)(Term(2)).await;
            assert!(result.is_err(), "seed {seed}");
            assert_eq!(primaries(&cluster), before, "seed {seed}");
            assert!(
                before.iter().any(|(_, term)| *term > Term(2)),
                "seed {seed}"
            );
        };
        let history = run_sessions(&cluster, ms(3000), fault).await;
        assert_clean(&history, seed);
    });
}

/// Guards against a member that stays without entries because a promotion
/// that failed left it in a higher term than the primary's.
#[test]
fn divided_member_is_joined_again() {
    each_seed(|seed| async move {
        let cluster = cluster().await;
        let members = cluster.database.members(&"host-1".into());
        (members[2].fence)(Term(5)).await.expect("the term is new");
        sleep(ms(3000)).await;
        let recorder = Recorder::default();
        let mut session = Session::open(&cluster, &recorder, 1, 0);
        session
            .write(1, 1, None)
            .await
            .expect("the group is whole again");
        sleep(ms(200)).await;
        let statuses = [0, 1, 2].map(|index| cluster.database.status(&member(index)));
        assert!(
            statuses.iter().all(|s| s.term == statuses[0].term),
            "seed {seed}"
        );
        assert!(
            statuses.iter().all(|s| s.position == statuses[0].position),
            "seed {seed}"
        );
    });
}

/// Guards against lost writes and long gaps in a planned switchover.
#[test]
fn switchover_keeps_history() {
    each_seed(|seed| async move {
        let cluster = cluster().await;
        let fault = async {
            sleep(ms(random_range(200..700))).await;
            let group = cluster.group(0).expect("the host runs");
            let (target, limit) = (member(1), now() + ms(2000));
            let primary = group.switch_over(Some(&target), sleep(ms(20)), limit).await;
            assert!(primary.is_ok(), "seed {seed}: {primary:?}");
        };
        let history = run_sessions(&cluster, ms(2000), fault).await;
        assert_clean(&history, seed);
        assert_eq!(primaries(&cluster).len(), 1, "seed {seed}");
        assert_ne!(primaries(&cluster)[0].0, member(0), "seed {seed}");
    });
}

/// Guards against new work for a primary or replica that is leaving, and
/// against a leaving primary that nobody replaces.
#[test]
fn leaving_members_get_no_work() {
    each_seed(|seed| async move {
        let cluster = cluster().await;
        let recorder = Recorder::default();
        let mut session = Session::open(&cluster, &recorder, 1, 0);
        session
            .write(1, 1, None)
            .await
            .expect("the group is healthy");
        for index in [2, 0] {
            cluster.database.set_leaving(&member(index), true);
            sleep(ms(1000)).await;
            for value in 0..20 {
                let value = 100 * (index as u64 + 1) + value;
                let key = random_range(0..3);
                session
                    .write(key, value, None)
                    .await
                    .expect("a primary stays");
                let served = session.read(key, ms(500)).await.expect("a member stays");
                assert_ne!(served.choice.member, member(index), "seed {seed}");
            }
        }
        assert!(
            primaries(&cluster)
                .iter()
                .all(|(name, _)| *name == member(1)),
            "seed {seed}"
        );
        assert_eq!(check(&finish(&cluster, &recorder).await), [], "seed {seed}");
    });
}

/// Guards against writes to a leaving primary for which there is no successor.
#[test]
fn leaving_primary_gets_no_writes() {
    each_seed(|seed| async move {
        let cluster = cluster().await;
        // The last watcher in rank, which starts no switchover of its own yet.
        let group = cluster.group(2).expect("the host runs");
        assert!(group.primary().is_ok(), "seed {seed}");
        for index in 0..3 {
            cluster.database.set_leaving(&member(index), true);
        }
        sleep(ms(200)).await;
        assert!(group.primary().is_err(), "seed {seed}");
    });
}

/// Guards against evidence from a watcher that hears no member, as after a
/// pause of its host: the silence there says nothing about the primary.
#[test]
fn deaf_watcher_gives_no_evidence() {
    each_seed(|seed| async move {
        let cluster = cluster().await;
        for name in ["member-0", "member-1", "member-2"] {
            cluster.network.cut("host-1", name);
        }
        sleep(ms(2000)).await;
        let group = cluster.group(1).expect("the host runs");
        let request = WatchRequest::View {
            group: "group".into(),
        };
        let WatchReply::View { silence, .. } = group.handle(request) else {
            panic!("seed {seed}: a view is answered by a view");
        };
        assert_eq!(silence, Duration::ZERO, "seed {seed}");
    });
}

/// Guards against a switchover that stops writes before the target can take
/// over, and then promotes the old primary again.
#[test]
fn switchover_waits_for_its_target() {
    each_seed(|seed| async move {
        let cluster = cluster().await;
        let recorder = Recorder::default();
        let mut session = Session::open(&cluster, &recorder, 1, 0);
        cluster.database.set_lag(&member(1), ms(300));
        session
            .write(1, 1, None)
            .await
            .expect("the group is healthy");
        let group = cluster.group(0).expect("the host runs");
        let (target, limit) = (member(1), now() + ms(2000));
        let primary = group.switch_over(Some(&target), async {}, limit).await;
        let primary = primary.expect("the target catches up");
        assert_eq!(
            (primary.member, attempts(&cluster)),
            (target, 1),
            "seed {seed}"
        );
    });
}

/// Guards against promotions by a host that is not among the watchers, as a
/// holder that has been replaced but does not know it yet.
#[test]
fn stranger_does_not_promote() {
    each_seed(|seed| async move {
        let cluster = cluster().await;
        let watchers = [1, 2].map(|index| Watcher {
            host: format!("host-{index}").into(),
            zone: format!("zone-{index}").into(),
        });
        for index in 0..3 {
            let group = cluster.group(index).expect("the host runs");
            group.set_watchers(watchers.to_vec());
        }
        cluster.database.kill(&member(0));
        let group = cluster.group(0).expect("the host runs");
        group.next_primary(Term(1)).await;
        assert_eq!(group.counts().attempts, 0, "seed {seed}");
    });
}

/// Guards against writes to a new primary before a majority holds the first
/// entry of its term.
#[test]
fn unconfirmed_term_gets_no_writes() {
    each_seed(|seed| async move {
        let cluster = cluster().await;
        cluster.network.cut("member-1", "member-2");
        cluster.database.kill(&member(0));
        let groups = [0, 1, 2].map(|index| cluster.group(index).expect("the host runs"));
        for _ in 0..2000 {
            sleep(ms(1)).await;
            let is_early = |p: Result<Primary>| p.is_ok_and(|p| p.term > Term(1));
            assert!(!groups.iter().any(|g| is_early(g.primary())), "seed {seed}");
        }
        assert!(
            primaries(&cluster).iter().any(|(_, term)| *term > Term(1)),
            "seed {seed}"
        );
        cluster.network.heal_all();
        sleep(ms(500)).await;
        assert!(groups.iter().all(|g| g.primary().is_ok()), "seed {seed}");
    });
}

/// Guards against a second replacement when two hosts are told to switch over
/// at the same time, and against new writes at a host while it switches.
#[test]
fn concurrent_switchovers_replace_once() {
    each_seed(|seed| async move {
        let cluster = cluster().await;
        let groups = [0, 1].map(|index| cluster.group(index).expect("the host runs"));
        let limit = now() + ms(2000);
        let first = groups[0].switch_over(None, sleep(ms(50)), limit);
        let second = groups[1].switch_over(None, sleep(ms(150)), limit);
        let watch = async {
            sleep(ms(10)).await;
            groups[0].primary().is_err()
        };
        let (first, second, is_closed) = futures::join!(first, second, watch);
        let first = first.expect("a member is level");
        assert_eq!(
            second.expect("the successor is known"),
            first,
            "seed {seed}"
        );
        assert_eq!(attempts(&cluster), 1, "seed {seed}");
        assert!(is_closed, "seed {seed}");
    });
}
