//! Measures the share of reads that replicas serve.

use std::time::Duration;

use burdockslip_runtime::{Instant, now, paused, random_range, sleep, spawn};
use burdockslip_types::domain;
use futures::future::join_all;

use crate::ReadPolicy;
use crate::fake::{Cluster, ClusterSettings, Session};
use crate::history::{Recorder, check};

/// The time for which sessions run.
const RUN_TIME: Duration = Duration::from_secs(2);

/// The longest pause of a session between two operations, in microseconds.
const PAUSE_LIMIT: u64 = 20_000;

/// The number of keys that sessions use.
const KEY_COUNT: u64 = 10;

domain! {
    /// Describes the sessions and the group.
    #[derive(Copy)]
    pub struct ReadLoad {
        /// The time by which entries reach the first replica late; the others
        /// have the normal lag of [`ClusterSettings`].
        pub lag: Duration,
        /// The age that the class allows; `Duration::MAX` allows any age.
        pub max_age: Duration,
        /// How members are chosen.
        pub policy: ReadPolicy,
        /// The number of sessions, spread over the hosts.
        pub sessions: u64,
        /// The writes among a hundred operations.
        pub writes: u64,
    }

    /// Holds who served the reads.
    #[derive(Copy, Default)]
    pub struct ReadResults {
        /// The reads served by replicas.
        pub by_replica: u64,
        /// The reads served by the primary.
        pub by_primary: u64,
        /// The reads that failed.
        pub failed: u64,
        /// The violations that the history checker found.
        pub violations: u64,
        /// The time that all reads took together.
        pub time: Duration,
    }
}

impl ReadResults {
    /// Returns the reads served by replicas among ten thousand reads.
    pub fn replica_share(&self) -> u64 {
        let total = self.by_replica + self.by_primary + self.failed;
        self.by_replica * 10_000 / total.max(1)
    }

    /// Returns the mean time of a read.
    pub fn mean_time(&self) -> Duration {
        let total = self.by_replica + self.by_primary + self.failed;
        self.time / u32::try_from(total).unwrap_or(u32::MAX).max(1)
    }

    fn add(&mut self, other: Self) {
        self.by_replica += other.by_replica;
        self.by_primary += other.by_primary;
        self.failed += other.failed;
        self.time += other.time;
    }
}

/// Runs sessions and counts who served their reads.
pub fn measure_reads(seed: u64, load: ReadLoad) -> ReadResults {
    paused::run(seed, run(load))
}

async fn run(load: ReadLoad) -> ReadResults {
    let settings = ClusterSettings {
        policy: load.policy,
        ..ClusterSettings::default()
    };
    let zones = settings.zones;
    let cluster = Cluster::spawn(settings).await;
    let names = cluster.database.names();
    if let [_, replica, ..] = names.as_slice() {
        cluster.database.set_lag(replica, load.lag);
    }
    sleep(Duration::from_millis(300)).await;
    let recorder = Recorder::default();
    let sessions = (0..load.sessions).map(|id| {
        let host = usize::try_from(id).unwrap_or(0) % zones;
        let session = Session::open(&cluster, &recorder, id, host);
        spawn(run_session(session, load))
    });
    let sessions: Vec<_> = sessions.collect();
    let mut share = ReadResults::default();
    for part in join_all(sessions).await.into_iter().flatten() {
        share.add(part);
    }
    let history = recorder.history(cluster.database.logged_writes(&names[0]));
    share.violations = check(&history).len() as u64;
    share
}

async fn run_session(mut session: Session, load: ReadLoad) -> ReadResults {
    let mut share = ReadResults::default();
    let end: Instant = now() + RUN_TIME;
    let mut value = session.id << 32;
    while !end.is_past() {
        sleep(Duration::from_micros(random_range(0..PAUSE_LIMIT))).await;
        let key = random_range(0..KEY_COUNT);
        if random_range(0..100) < load.writes {
            value += 1;
            // The checker judges failed writes.
            let _ = session.write(key, value, None).await;
            continue;
        }
        let started = now();
        match session.read(key, load.max_age).await {
            Ok(served) if served.choice.is_primary => share.by_primary += 1,
            Ok(_) => share.by_replica += 1,
            Err(_) => share.failed += 1,
        }
        share.time += started.elapsed();
    }
    share
}
