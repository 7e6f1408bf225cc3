//! Guards the choice of members for reads (`docs/design.md`, section 4.3).

mod support;

use std::time::Duration;

use burdockslip_group::ReadRequirements;
use burdockslip_group::fake::{Cluster, Session};
use burdockslip_group::history::{Recorder, check};
use burdockslip_runtime::{now, random_range, sleep, spawn};
use burdockslip_types::{ErrorKind, LogPosition, Term};
use support::{cluster, each_seed, finish, member, ms};

fn session(cluster: &Cluster, recorder: &Recorder, id: u64, host: usize) -> Session {
    let mut session = Session::open(cluster, recorder, id, host);
    session.op_timeout = ms(300);
    session
}

/// Guards against a replica that serves nobody, or serves without a known age,
/// when its holder reaches other watchers but no other member.
#[test]
fn age_comes_from_other_watchers() {
    each_seed(|seed| async move {
        let cluster = cluster().await;
        let recorder = Recorder::default();
        let mut writer = session(&cluster, &recorder, 1, 0);
        let mut reader = session(&cluster, &recorder, 2, 2);
        cluster.network.cut("host-2", "member-0");
        cluster.network.cut("host-2", "member-1");
        sleep(ms(1000)).await;
        for value in 1..20 {
            writer
                .write(1, value, None)
                .await
                .expect("the group is healthy");
            sleep(ms(random_range(0..200))).await;
            let served = reader.read(1, ms(600)).await.expect("the age is known");
            assert_eq!(served.choice.member, member(2), "seed {seed}");
        }
        assert_eq!(check(&finish(&cluster, &recorder).await), [], "seed {seed}");
    });
}

/// Guards against a replica whose age does not grow while its holder can ask
/// nobody.
#[test]
fn age_grows_by_the_clock() {
    each_seed(|seed| async move {
        let cluster = cluster().await;
        let recorder = Recorder::default();
        let mut reader = session(&cluster, &recorder, 2, 2);
        let (limit, cut) = (ms(1500), now());
        cluster.isolate_zone(2);
        while cut.elapsed() < ms(1000) {
            reader
                .read(1, limit)
                .await
                .expect("the class allows the age");
        }
        sleep(ms(600)).await;
        let error = reader
            .read(1, limit)
            .await
            .expect_err("the age is over the limit");
        assert_eq!(
            *error.current_context(),
            ErrorKind::NoFreshData,
            "seed {seed}"
        );
        reader
            .read(1, Duration::MAX)
            .await
            .expect("any age is allowed");
    });
}

/// Guards against a session that misses its own write at a replica that lags.
#[test]
fn session_reads_own_write_on_another_host() {
    each_seed(|seed| async move {
        let cluster = cluster().await;
        let recorder = Recorder::default();
        let mut session = session(&cluster, &recorder, 1, 0);
        cluster.database.set_lag(&member(2), ms(400));
        for value in 1..20 {
            session.host = 0;
            session
                .write(1, value, None)
                .await
                .expect("the group is healthy");
            session.host = 2;
            let served = session
                .read(1, Duration::MAX)
                .await
                .expect("a member has it");
            assert_eq!(served.reply.value, Some(value), "seed {seed}");
        }
    });
}

/// Guards against reads that are older than their class allows when replicas
/// lag by more, while writes go on.
#[test]
fn lagging_replicas_serve_within_age() {
    each_seed(|seed| async move {
        let cluster = cluster().await;
        let recorder = Recorder::default();
        cluster.database.set_lag(&member(1), ms(300));
        cluster.database.set_lag(&member(2), ms(1500));
        let mut writer = Session::open(&cluster, &recorder, 1, 0);
        let writing = spawn(async move {
            for value in 1..30 {
                writer
                    .write(1, value, None)
                    .await
                    .expect("the group is healthy");
            }
        });
        let (mut by_replica, mut total) = (0, 0);
        for id in 10..150 {
            // Each session is new, so no floor hides a stale replica.
            let host = usize::try_from(id % 3).unwrap_or_default();
            let mut reader = Session::open(&cluster, &recorder, id, host);
            let limits = [ms(50), ms(500), ms(1000), ms(3000)];
            let limit = limits[usize::try_from(random_range(0..4)).unwrap_or_default()];
            let served = reader.read(1, limit).await.expect("the primary can serve");
            by_replica += u32::from(!served.choice.is_primary);
            total += 1;
            sleep(ms(random_range(0..60))).await;
        }
        writing.await;
        assert!(
            0 < by_replica && by_replica < total,
            "seed {seed}: {by_replica}"
        );
        assert_eq!(check(&finish(&cluster, &recorder).await), [], "seed {seed}");
    });
}

/// Guards against the response of a paused primary that was replaced before
/// it answered.
#[test]
fn late_read_of_replaced_primary_is_withheld() {
    each_seed(|seed| async move {
        let cluster = cluster().await;
        let group = cluster.group(0).expect("the host runs");
        cluster.database.set_leaving(&member(1), true);
        cluster.database.set_leaving(&member(2), true);
        sleep(ms(200)).await;
        let need = ReadRequirements {
            floor: group.confirmed().expect("the group is healthy"),
            max_age: ms(500),
            zone: "zone-0".into(),
            deadline: now() + ms(300),
        };
        let choice = group.choose_read(&need).await.expect("the primary serves");
        assert!(choice.is_primary, "seed {seed}");
        cluster.database.set_leaving(&member(1), false);
        cluster.database.set_leaving(&member(2), false);
        cluster.database.freeze(&member(0));
        let (database, host, name) = (cluster.database.clone(), "host-0".into(), member(0));
        let read = spawn(async move { database.read(&host, &name, 1).await });
        group.next_primary(Term(1)).await;
        let recorder = Recorder::default();
        let mut writer = Session::open(&cluster, &recorder, 1, 1);
        cluster.database.thaw(&member(0));
        let reply = read.await.expect("the task ends");
        if let Ok(reply) = reply {
            let result = group
                .check_read(&choice, reply.position, now() + ms(300))
                .await;
            assert!(
                result.is_err(),
                "seed {seed}: the data is of a replaced primary"
            );
        }
        writer
            .write(1, 1, None)
            .await
            .expect("a new primary serves");
    });
}

/// Guards against data of a log suffix that was discarded between the read and
/// the query of the position, and against data before the floor.
#[test]
fn marks_outside_of_the_choice_are_withheld() {
    each_seed(|seed| async move {
        let cluster = cluster().await;
        let group = cluster.group(1).expect("the host runs");
        let need = ReadRequirements {
            floor: group.confirmed().expect("the group is healthy"),
            max_age: Duration::MAX,
            zone: "zone-1".into(),
            deadline: now() + ms(300),
        };
        let choice = group.choose_read(&need).await.expect("a replica serves");
        cluster.database.kill(&member(0));
        group.next_primary(Term(1)).await;
        let newest = group.confirmed().expect("the new term is confirmed");
        let earlier = LogPosition::new(need.floor.term.0, need.floor.index.0 - 1);
        for (position, is_released) in [(choice.position, true), (newest, false), (earlier, false)]
        {
            let result = group.check_read(&choice, position, now() + ms(300)).await;
            assert_eq!(result.is_ok(), is_released, "seed {seed}: {position}");
        }
    });
}

/// Guards against reads that cross zones although the own zone has a replica.
#[test]
fn replica_of_own_zone_is_preferred() {
    each_seed(|seed| async move {
        let cluster = cluster().await;
        let recorder = Recorder::default();
        for host in [1, 2] {
            let mut reader = session(&cluster, &recorder, 1, host);
            for _ in 0..10 {
                let served = reader
                    .read(1, Duration::MAX)
                    .await
                    .expect("replicas are fresh");
                assert_eq!(served.choice.member, member(host), "seed {seed}");
            }
        }
    });
}
