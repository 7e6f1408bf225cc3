//! The settings of a watcher.

use std::time::Duration;

use burdockslip_types::{GroupName, HostId, Zone, domain};

domain! {
    /// A host that watches the group.
    pub struct Watcher {
        /// The host.
        pub host: HostId,
        /// The host's zone. A primary is replaced only if watchers in a majority
        /// of the zones agree.
        pub zone: Zone,
    }

    /// How a member is chosen for a read.
    ///
    /// All policies keep the same guarantees. `FixedReplica` and `PrimaryOnly`
    /// are baselines for measurements.
    #[derive(Copy, Default)]
    pub enum ReadPolicy {
        /// Any replica that qualifies, in the requested zone if possible, or else
        /// the primary.
        #[default]
        AnyReplica,
        /// Always the first replica in the list of members, or else the primary.
        FixedReplica,
        /// Always the primary.
        PrimaryOnly,
    }
}

/// The settings of a watcher of one group.
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
    /// The policy by which members are chosen for reads.
    pub policy: ReadPolicy,
    /// The intervals and timeouts.
    pub timing: Timing,
}

/// The intervals and timeouts of a watcher.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// The time between the starts of two regular polls of a member.
    pub poll_interval: Duration,
    /// The timeout of a poll or query. It exceeds `suspect_after`, so that late
    /// answers of a slow member still count.
    pub poll_timeout: Duration,
    /// The time without an answer after which this watcher suspects the primary.
    /// It exceeds the sum of a pause of 500 ms, one poll interval and a round
    /// trip.
    pub suspect_after: Duration,
    /// The time without an answer from the primary after which another watcher
    /// agrees with a suspicion.
    pub agree_after: Duration,
    /// How much longer each watcher waits before a promotion than the watcher one
    /// rank before it.
    pub rank_backoff: Duration,
    /// The time between two checks whether the primary has to be replaced.
    pub check_interval: Duration,
    /// The timeout of a request to another watcher. It is many times a round trip
    /// between zones, which takes about 2 ms.
    pub exchange_timeout: Duration,
    /// The time without an answer from a majority of members, or from an active
    /// primary, after which a watcher queries the other watchers.
    pub exchange_after: Duration,
    /// The timeout of each query round and command of a promotion.
    pub step_timeout: Duration,
    /// How long a promoter waits for further members once a majority has promised
    /// the term, so that a member with a more recent log can be chosen.
    pub grant_grace: Duration,
    /// The timeout for a majority to hold the first entry of a term.
    pub entry_timeout: Duration,
    /// How long a member may have promised a higher term than the primary's, as
    /// after a failed promotion, before the same primary is promoted again in a
    /// still higher term, so that the member accepts its entries.
    pub repair_after: Duration,
    /// How long units in flight may run when a leaving primary is replaced: two
    /// poll intervals, after which every watcher has learned that it is leaving.
    pub drain_wait: Duration,
    /// The initial backoff before a query for confirmation is repeated.
    pub query_backoff: Duration,
    /// The maximum backoff before a query for confirmation is repeated.
    pub backoff_limit: Duration,
    /// The minimum time between the starts of two polls of a member.
    pub poll_gap: Duration,
    /// How long a read waits for a replica before the primary may serve it.
    pub replica_wait: Duration,
    /// The maximum age of the last confirmation of the primary's term. While it
    /// is exceeded, writes are rejected as not run.
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
