//! Measures how many queries the confirmation of commits needs.

use std::time::Duration;

use burdockslip_runtime::{now, paused, sleep, spawn};
use burdockslip_types::domain;
use futures::future::join_all;

use crate::fake::{Cluster, ClusterSettings, Session};
use crate::history::Recorder;

/// How long writers start new commits.
const RUN_TIME: Duration = Duration::from_millis(200);

domain! {
    /// The cost of the confirmation of commits at one concurrency.
    #[derive(Copy)]
    pub struct CommitCost {
        /// The number of concurrent writers, each with one commit in flight.
        pub in_flight: u64,
        /// The number of commits confirmed.
        pub commits: u64,
        /// The number of queries sent to members for them, without polls.
        pub queries: u64,
        /// The number of polls sent in the same time. It does not depend on the
        /// number of commits.
        pub polls: u64,
        /// The mean time from the start of a write to its acknowledgement.
        pub mean_time: Duration,
    }
}

impl CommitCost {
    /// Returns the number of queries per thousand commits.
    pub fn queries_per_thousand(&self) -> u64 {
        self.queries * 1000 / self.commits.max(1)
    }
}

/// Runs `in_flight` writers on one host and counts the queries.
pub fn measure_commits(seed: u64, in_flight: u64, settings: &ClusterSettings) -> CommitCost {
    paused::run(seed, run(in_flight, settings.clone()))
}

async fn run(in_flight: u64, settings: ClusterSettings) -> CommitCost {
    let cluster = Cluster::spawn(settings).await;
    sleep(Duration::from_millis(300)).await;
    let before = cluster.group(0).map(|g| g.counts()).unwrap_or_default();
    let writers = (0..in_flight).map(|id| spawn(write_for_a_while(cluster.clone(), id)));
    let writers: Vec<_> = writers.collect();
    let spans = join_all(writers).await.into_iter().flatten().flatten();
    let spans: Vec<Duration> = spans.collect();
    let after = cluster.group(0).map(|g| g.counts()).unwrap_or_default();
    let count = u32::try_from(spans.len()).unwrap_or(u32::MAX).max(1);
    CommitCost {
        in_flight,
        commits: after.confirmed - before.confirmed,
        queries: after.queries - before.queries,
        polls: after.polls - before.polls,
        mean_time: spans.iter().sum::<Duration>() / count,
    }
}

/// Writes values one after another and returns the latency of each.
async fn write_for_a_while(cluster: Cluster, id: u64) -> Vec<Duration> {
    let recorder = Recorder::default();
    let mut session = Session::open(&cluster, &recorder, id, 0);
    let end = now() + RUN_TIME;
    let mut spans = Vec::new();
    while !end.is_past() {
        let started = now();
        if session.write(id, 0, None).await.is_ok() {
            spans.push(started.elapsed());
        }
    }
    spans
}
