//! Guards acknowledged writes and reads over changes of the primary
//! (`docs/design.md`, sections 4.2 to 4.4).

mod support;

use std::time::Duration;

use burdockslip_group::fake::Session;
use burdockslip_group::history::{History, Operation, Outcome, Recorder, check};
use burdockslip_runtime::{now, random_range, sleep, spawn};
use burdockslip_types::{ErrorKind, Term};
use support::{
    assert_clean, attempts, cluster, each_seed, finish, lag_one, member, ms, run_sessions,
};

fn has_later_term(history: &History) -> bool {
    history.applied.iter().any(|a| a.position.term > Term(1))
}

/// Guards against acknowledged writes that are lost when the primary dies, and
/// against sessions that go back in time when host and term change.
#[test]
fn kill_of_primary_keeps_history() {
    each_seed(|seed| async move {
        let cluster = cluster().await;
        lag_one(&cluster);
        let fault = async {
            sleep(ms(random_range(200..700))).await;
            cluster.database.kill(&member(0));
            sleep(ms(random_range(500..2500))).await;
            cluster.database.restart(&member(0));
        };
        let history = run_sessions(&cluster, ms(4000), fault).await;
        assert_clean(&history, seed);
        assert!(has_later_term(&history), "seed {seed}");
    });
}

/// Guards against lost writes and stale reads when the primary's zone is cut
/// off together with its clients and returns later.
#[test]
fn cut_of_primary_keeps_history() {
    each_seed(|seed| async move {
        let cluster = cluster().await;
        lag_one(&cluster);
        let fault = async {
            sleep(ms(random_range(200..700))).await;
            cluster.isolate_zone(0);
            sleep(ms(random_range(500..2500))).await;
            cluster.network.heal_all();
        };
        let history = run_sessions(&cluster, ms(4000), fault).await;
        assert_clean(&history, seed);
    });
}

/// Guards against a primary that is paused, replaced, and resumes with
/// requests that reached it before and during the pause.
#[test]
fn freeze_of_primary_keeps_history() {
    each_seed(|seed| async move {
        let cluster = cluster().await;
        lag_one(&cluster);
        let fault = async {
            sleep(ms(random_range(200..700))).await;
            cluster.database.freeze(&member(0));
            sleep(ms(random_range(600..2500))).await;
            cluster.database.thaw(&member(0));
        };
        let history = run_sessions(&cluster, ms(4000), fault).await;
        assert_clean(&history, seed);
    });
}

/// Guards against faults that only matter in combination or when repeated.
#[test]
fn repeated_faults_keep_history() {
    each_seed(|seed| async move {
        let cluster = cluster().await;
        lag_one(&cluster);
        let fault = async {
            for _ in 0..5 {
                let index = usize::try_from(random_range(0..3)).unwrap_or_default();
                match random_range(0..3) {
                    0 => cluster.database.kill(&member(index)),
                    1 => cluster.database.freeze(&member(index)),
                    _ => cluster.isolate_zone(index),
                }
                sleep(ms(random_range(100..2000))).await;
                cluster.database.thaw(&member(index));
                cluster.database.restart(&member(index));
                cluster.network.heal_all();
                sleep(ms(random_range(0..1500))).await;
            }
        };
        let history = run_sessions(&cluster, ms(12_000), fault).await;
        assert_clean(&history, seed);
    });
}

/// Guards against an acknowledgement by a primary that has been replaced, and
/// against reads there that are older than their class allows.
#[test]
fn replaced_primary_serves_nobody() {
    each_seed(|seed| async move {
        let cluster = cluster().await;
        let recorder = Recorder::default();
        let mut inside = Session::open(&cluster, &recorder, 1, 0);
        let mut outside = Session::open(&cluster, &recorder, 2, 1);
        inside
            .write(1, 1, None)
            .await
            .expect("the group is healthy");
        cluster.isolate_zone(0);
        sleep(ms(1500)).await;
        outside
            .write(1, 2, None)
            .await
            .expect("the others have a primary");
        assert!(
            cluster.database.status(&member(0)).is_primary,
            "seed {seed}"
        );

        inside.op_timeout = ms(300);
        let result = inside.write(1, 3, None).await;
        assert!(result.is_err(), "seed {seed}: no majority can confirm");
        for age in [Duration::ZERO, ms(500), ms(1000)] {
            let error = inside.read(1, age).await.expect_err("the data is too old");
            assert_eq!(
                *error.current_context(),
                ErrorKind::NoFreshData,
                "seed {seed}"
            );
        }
        let old = inside
            .read(1, Duration::MAX)
            .await
            .expect("any age is allowed");
        assert_eq!(old.reply.value, Some(1), "seed {seed}");
        let history = finish(&cluster, &recorder).await;
        assert_eq!(check(&history), [], "seed {seed}");
    });
}

/// Guards against reads of a log suffix that no majority held and that the
/// next primary discards, before and after the old primary returns.
#[test]
fn unconfirmed_suffix_is_never_read() {
    each_seed(|seed| async move {
        let cluster = cluster().await;
        let recorder = Recorder::default();
        let mut writer = Session::open(&cluster, &recorder, 1, 0);
        writer
            .write(1, 1, None)
            .await
            .expect("the group is healthy");
        cluster.network.cut("member-0", "member-1");
        cluster.network.cut("member-0", "member-2");
        writer.op_timeout = ms(50);
        let result = writer.write(1, 2, None).await;
        assert!(result.is_err(), "seed {seed}: only the primary holds it");
        let readers = (0..3).map(|host| {
            let mut session = Session::open(&cluster, &recorder, 10 + host as u64, host);
            session.op_timeout = ms(200);
            spawn(async move {
                for _ in 0..150 {
                    // Failures are allowed; the value is checked below.
                    let _ = session.read(1, Duration::MAX).await;
                    sleep(ms(random_range(1..20))).await;
                }
            })
        });
        let readers: Vec<_> = readers.collect();
        sleep(ms(random_range(20..200))).await;
        cluster.isolate_zone(0);
        sleep(ms(1500)).await;
        // The old primary returns as a replica that its hosts reach before the
        // new primary does.
        cluster.database.kill(&member(0));
        cluster.database.restart(&member(0));
        for host in ["host-0", "host-1", "host-2"] {
            cluster.network.heal(host, "member-0");
            cluster.network.heal("host-0", "member-1");
            cluster.network.heal("host-0", "member-2");
        }
        sleep(ms(300)).await;
        // The suffix must not be read, and must not keep others from reading.
        let mut near = Session::open(&cluster, &recorder, 20, 0);
        near.op_timeout = ms(200);
        let served = near.read(1, Duration::MAX).await;
        assert!(served.is_ok(), "seed {seed}: {served:?}");
        sleep(ms(200)).await;
        cluster.network.heal_all();
        futures::future::join_all(readers).await;
        let history = finish(&cluster, &recorder).await;
        assert_eq!(check(&history), [], "seed {seed}");
        assert!(
            history.applied.iter().all(|a| a.record.value != 2),
            "seed {seed}"
        );
    });
}

/// Guards against writes and promotions without a majority of members, and
/// against the loss of reads that their class still allows.
#[test]
fn lost_majority_stops_writes_only() {
    each_seed(|seed| async move {
        let cluster = cluster().await;
        let recorder = Recorder::default();
        let mut session = Session::open(&cluster, &recorder, 1, 1);
        session
            .write(1, 1, None)
            .await
            .expect("the group is healthy");
        sleep(ms(300)).await;
        cluster.database.kill(&member(0));
        cluster.database.kill(&member(2));
        session.op_timeout = ms(200);
        let read = session.read(1, ms(2000)).await;
        assert!(read.is_ok(), "seed {seed}: the class allows this age");
        sleep(ms(2000)).await;
        for value in 2..5 {
            let error = session
                .write(1, value, None)
                .await
                .expect_err("no majority");
            assert_eq!(
                *error.current_context(),
                ErrorKind::NoPrimary,
                "seed {seed}"
            );
        }
        let read = session.read(1, ms(2000)).await;
        assert!(read.is_err(), "seed {seed}: the data is too old");
        let read = session.read(1, Duration::MAX).await;
        assert!(read.is_ok(), "seed {seed}: any age is allowed");
        assert_eq!(attempts(&cluster), 0, "seed {seed}");
        cluster.database.restart(&member(0));
        session.op_timeout = ms(3000);
        session.write(1, 9, None).await.expect("a majority is back");
        cluster.database.restart(&member(2));
        assert_eq!(check(&finish(&cluster, &recorder).await), [], "seed {seed}");
    });
}

/// Guards against requests that run twice, or are reported as already run and
/// lost, when clients repeat them on other hosts during a failover.
#[yare::parameterized(kill = { true }, cut = { false })]
fn repeated_requests_run_once(is_kill: bool) {
    each_seed(move |seed| async move {
        let cluster = cluster().await;
        lag_one(&cluster);
        let recorder = Recorder::default();
        let clients: Vec<_> = (0..6)
            .map(|id| spawn(repeat_requests(Session::open(&cluster, &recorder, id, 0))))
            .collect();
        sleep(ms(random_range(200..500))).await;
        if is_kill {
            cluster.database.kill(&member(0));
        } else {
            cluster.isolate_zone(0);
        }
        sleep(ms(random_range(1000..2000))).await;
        cluster.database.restart(&member(0));
        cluster.network.heal_all();
        futures::future::join_all(clients).await;
        let history = finish(&cluster, &recorder).await;
        assert_clean(&history, seed);
        let is_repeat = |o: &Operation| o.outcome == Outcome::Failed(ErrorKind::AlreadyRun);
        assert!(history.operations.iter().any(is_repeat), "seed {seed}");
    });
}

/// Sends requests for 3 s and repeats each one whose outcome is unknown.
async fn repeat_requests(mut session: Session) {
    let end = now() + ms(3000);
    let mut count = 0;
    while !end.is_past() {
        count += 1;
        let request = session.id * 1_000_000 + count * 100;
        for attempt in 0..100 {
            // Short timeouts and slow confirmation leave many outcomes unknown.
            session.op_timeout = ms(random_range(5..60));
            session.host = usize::try_from(random_range(0..3)).unwrap_or_default();
            let result = session.write(1, request + attempt, Some(request)).await;
            sleep(ms(random_range(1..20))).await;
            let kind = result.map_err(|report| *report.current_context());
            if matches!(kind, Ok(_) | Err(ErrorKind::AlreadyRun)) {
                break;
            }
        }
    }
}
