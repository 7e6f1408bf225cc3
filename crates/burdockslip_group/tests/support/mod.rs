//! Runs sessions against a fake cluster while a test breaks it.

#![allow(dead_code, reason = "each test file uses its own part")]

use std::time::Duration;

use burdockslip_group::fake::{Cluster, ClusterSettings, Session};
use burdockslip_group::history::{History, Recorder, check};
use burdockslip_runtime::{paused, random_range, sleep, spawn};
use burdockslip_types::MemberName;
use futures::future::join_all;

/// The seeds of every test in which the order of events matters.
pub(crate) const SEEDS: std::ops::Range<u64> = 0..20;

/// Returns a span of whole milliseconds.
pub(crate) const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Returns the name of the member in a zone.
pub(crate) fn member(index: usize) -> MemberName {
    format!("member-{index}").into()
}

/// Runs `test` once per seed on the paused clock.
pub(crate) fn each_seed<F: Future + 'static>(test: impl Fn(u64) -> F)
where
    F::Output: 'static,
{
    for seed in SEEDS {
        paused::run(seed, test(seed));
    }
}

/// Starts a cluster of default size and waits until it has a primary.
pub(crate) async fn cluster() -> Cluster {
    cluster_with(ClusterSettings::default()).await
}

/// Starts a cluster and waits until it has a primary.
pub(crate) async fn cluster_with(settings: ClusterSettings) -> Cluster {
    let cluster = Cluster::spawn(settings).await;
    sleep(ms(300)).await;
    cluster
}

/// Runs six sessions that read and write three keys for `span` and move
/// between hosts; `fault` runs beside them.
pub(crate) async fn run_sessions(
    cluster: &Cluster,
    span: Duration,
    fault: impl Future<Output = ()>,
) -> History {
    let recorder = Recorder::default();
    let sessions = (0..6).map(|id| {
        let session = Session::open(cluster, &recorder, id, 0);
        spawn(run_session(session, burdockslip_runtime::now() + span))
    });
    let sessions: Vec<_> = sessions.collect();
    fault.await;
    join_all(sessions).await;
    finish(cluster, &recorder).await
}

async fn run_session(mut session: Session, end: burdockslip_runtime::Instant) {
    session.op_timeout = ms(400);
    let mut count = 0;
    while !end.is_past() {
        sleep(Duration::from_micros(random_range(0..40_000))).await;
        session.host = usize::try_from(random_range(0..3)).unwrap_or_default();
        let key = random_range(0..3);
        // Failures are part of the history, which the checker judges.
        if random_range(0..2) == 0 {
            count += 1;
            let value = session.id * 1_000_000 + count;
            let _ = session.write(key, value, Some(value)).await;
        } else {
            let ages = [ms(0), ms(50), ms(500), Duration::MAX];
            let age = ages[usize::try_from(random_range(0..4)).unwrap_or_default()];
            let _ = session.read(key, age).await;
        }
    }
}

/// Heals the cluster, waits until it has settled and takes the final log.
pub(crate) async fn finish(cluster: &Cluster, recorder: &Recorder) -> History {
    cluster.network.heal_all();
    sleep(ms(4000)).await;
    let statuses = cluster.database.names().into_iter();
    let statuses = statuses.map(|name| cluster.database.status(&name));
    let primary = statuses
        .filter(|s| s.is_primary)
        .max_by_key(|s| s.term)
        .expect("a healed group has a primary");
    recorder.history(cluster.database.logged_writes(&primary.member))
}

/// Asserts that the history keeps every guarantee and shows work.
pub(crate) fn assert_clean(history: &History, seed: u64) {
    let violations = check(history);
    assert!(violations.is_empty(), "seed {seed}: {violations:?}");
    assert!(history.applied.len() > 20, "seed {seed}: too few writes");
}

/// Returns the number of promotions that the running hosts have started.
pub(crate) fn attempts(cluster: &Cluster) -> u64 {
    let groups = (0..3).filter_map(|index| cluster.group(index));
    groups.map(|group| group.counts().attempts).sum()
}

/// Lets one replica lag behind the other, as is normal.
pub(crate) fn lag_one(cluster: &Cluster) {
    let lag = ms(random_range(20..400));
    cluster.database.set_lag(&member(2), lag);
}
