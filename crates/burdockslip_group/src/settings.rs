//! Defines the settings of a watcher.

use std::time::Duration;

use burdockslip_types::{GroupName, HostId, Zone, domain};

domain! {
    /// Names a host that watches the group, and its zone.
    pub struct Watcher {
        /// The host.
        pub host: HostId,
        /// The zone of the host.
        pub zone: Zone,
    }

    /// Lists the ways to choose a member for a read. All but the first are
    /// baselines for measurements; all keep the same guarantees.
    #[derive(Copy, Default)]
    pub enum ReadPolicy {
        /// Any replica that qualifies, in the own zone if possible.
        #[default]
        AnyReplica,
        /// Always the first replica of the list, or else the primary.
        FixedReplica,
        /// Always the primary.
        PrimaryOnly,
    }
}

/// Holds what a host needs to know to watch a group.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The group.
    pub group: GroupName,
    /// This host.
    pub host: HostId,
    /// The zone of this host.
    pub zone: Zone,
    /// All watchers of the group in the order of their rank, this host included.
    pub watchers: Vec<Watcher>,
    /// How members are chosen for reads.
    pub policy: ReadPolicy,
    /// The intervals and limits.
    pub timing: Timing,
}

/// Holds the intervals and limits of a watcher.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// The time between two polls of a member.
    pub poll_interval: Duration,
    /// The time after which a poll or query counts as failed. It exceeds
    /// `suspect_after`, so that answers of a slow member still count.
    pub poll_timeout: Duration,
    /// The silence after which this watcher suspects the primary. A pause of
    /// 500 ms, one poll interval and a round trip stay below it.
    pub suspect_after: Duration,
    /// The silence that other watchers must report to support a suspicion.
    pub agree_after: Duration,
    /// The time by which each rank waits longer before it promotes.
    pub rank_backoff: Duration,
    /// The time between two looks at the primary's silence.
    pub check_interval: Duration,
    /// The time within which other watchers must answer. It exceeds a round
    /// trip between zones of about 2 ms many times.
    pub exchange_timeout: Duration,
    /// The age at which a watcher that cannot ask a majority asks the others.
    pub exchange_after: Duration,
    /// The time allowed for each step of a promotion.
    pub step_timeout: Duration,
    /// The time to wait for further members once a majority has granted a
    /// term, so that a log that is further ahead can be chosen.
    pub grant_grace: Duration,
    /// The time allowed for a majority to hold the first entry of a term.
    pub entry_timeout: Duration,
    /// The time after which members left behind in a higher term by a failed
    /// promotion are joined again by a promotion of the same primary.
    pub repair_after: Duration,
    /// The time that units in flight get when a leaving primary is replaced:
    /// two poll intervals, after which every watcher knows that it is leaving.
    pub drain_wait: Duration,
    /// The first and shortest wait before a query for confirmation is repeated.
    pub query_backoff: Duration,
    /// The longest wait before a query for confirmation is repeated.
    pub backoff_limit: Duration,
    /// The shortest time between two polls that reads ask for.
    pub poll_gap: Duration,
    /// The time a read waits for a replica before the primary serves it.
    pub replica_wait: Duration,
    /// The age of the last confirmation of the primary's term up to which
    /// writes are sent to it; later they are rejected as not run.
    pub write_limit: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            poll_interval: Duration::from_millis(100),
            poll_timeout: Duration::from_secs(1),
            suspect_after: Duration::from_millis(700),
            agree_after: Duration::from_millis(600),
            rank_backoff: Duration::from_millis(150),
            check_interval: Duration::from_millis(20),
            exchange_timeout: Duration::from_millis(50),
            exchange_after: Duration::from_millis(300),
            step_timeout: Duration::from_millis(200),
            grant_grace: Duration::from_millis(10),
            entry_timeout: Duration::from_secs(1),
            repair_after: Duration::from_secs(1),
            drain_wait: Duration::from_millis(200),
            query_backoff: Duration::from_millis(1),
            backoff_limit: Duration::from_millis(16),
            poll_gap: Duration::from_millis(5),
            replica_wait: Duration::from_millis(5),
            write_limit: Duration::from_millis(700),
        }
    }
}
