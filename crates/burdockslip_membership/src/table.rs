//! The table of all hosts known to this host.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use burdockslip_runtime::{Instant, now};
use burdockslip_types::{HostId, Zone};
use xxhash_rust::xxh3::xxh3_64;

use crate::rumors::Rumors;
use crate::{ListedHost, Peer, Record, Rumor, State, Sync};

/// How long after the first unanswered ping a host becomes suspect.
pub(crate) const SUSPECT_AFTER: Duration = Duration::from_secs(3);

/// How long after the first unanswered ping a host is removed.
pub(crate) const REMOVE_AFTER: Duration = Duration::from_secs(6);

/// How long the records of removed hosts are kept.
///
/// Without them, late rumors would revive a removed host, and a zone could not
/// be found again after a network partition.
const FORGET_AFTER: Duration = Duration::from_hours(2);

/// The number of buckets into which the table is split for comparison, so that
/// hosts whose tables differ in a few records exchange only a few buckets.
const BUCKETS: usize = 32;

/// The maximum number of records in a reply to `Sync`; they take about 4 KB.
const SYNC_LIMIT: usize = 90;

struct Row {
    record: Record,
    bucket: usize,
}

/// One record for each host, including this one, with checksums by bucket.
pub(crate) struct Table {
    local: HostId,
    rows: BTreeMap<HostId, Row>,
    /// When the first unanswered ping to a host was sent.
    silent_since: BTreeMap<HostId, Instant>,
    /// When a host was removed.
    gone_since: BTreeMap<HostId, Instant>,
    checksums: Vec<u64>,
    rumors: Rumors,
    zones: BTreeSet<Zone>,
    listed: BTreeMap<HostId, ListedHost>,
    live_count: usize,
    version: u64,
}

impl Table {
    pub(crate) fn new(local: Peer) -> Self {
        let mut table = Self {
            local: local.host.clone(),
            rows: BTreeMap::new(),
            silent_since: BTreeMap::new(),
            gone_since: BTreeMap::new(),
            checksums: vec![0; BUCKETS],
            rumors: Rumors::default(),
            zones: BTreeSet::new(),
            listed: BTreeMap::new(),
            live_count: 0,
            version: 0,
        };
        table.announce(Record {
            peer: local,
            incarnation: 0,
            state: State::Live,
        });
        table
    }

    /// Returns a counter that increases whenever the view may have changed.
    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    pub(crate) fn records(&self) -> impl Iterator<Item = &Record> {
        self.rows.values().map(|row| &row.record)
    }

    pub(crate) fn record(&self, host: &HostId) -> Option<&Record> {
        self.rows.get(host).map(|row| &row.record)
    }

    pub(crate) fn local_record(&self) -> &Record {
        &self.rows[&self.local].record
    }

    /// Returns the zones of all hosts that were ever seen, live or not.
    pub(crate) fn zones(&self) -> &BTreeSet<Zone> {
        &self.zones
    }

    pub(crate) fn checksum(&self) -> u64 {
        self.checksums
            .iter()
            .fold(0, |all, checksum| all ^ checksum)
    }

    /// Replaces a row and queues it for propagation.
    fn announce(&mut self, record: Record) {
        self.rumors.add(record.peer.host.clone());
        self.put(record);
    }

    /// Replaces a row unconditionally and updates what is derived from it.
    fn put(&mut self, record: Record) {
        let bucket = bucket_of(&record.peer.host);
        let host = record.peer.host.clone();
        self.zones.insert(record.peer.zone.clone());
        self.silent_since.remove(&host);
        self.gone_since.remove(&host);
        if record.state == State::Gone {
            self.gone_since.insert(host.clone(), now());
        }
        let row = Row { record, bucket };
        self.checksums[bucket] ^= row.record.checksum();
        self.live_count += usize::from(row.record.is_live());
        if let Some(old) = self.rows.insert(host, row) {
            self.checksums[bucket] ^= old.record.checksum();
            self.live_count -= usize::from(old.record.is_live());
        }
        self.version += 1;
    }

    /// Applies a rumor and queues it for propagation if it is newer than the row.
    pub(crate) fn merge(&mut self, rumor: Rumor) {
        let host = rumor.record.peer.host.clone();
        if self.apply(rumor) {
            self.rumors.add(host);
        }
    }

    /// Applies a rumor if it is newer than the row, and returns whether it was.
    ///
    /// The rumor is not propagated: records from a table comparison need not be.
    pub(crate) fn apply(&mut self, rumor: Rumor) -> bool {
        let Rumor { record, silence } = rumor;
        if record.peer.host == self.local {
            self.refute(&record);
            return false;
        }
        let host = record.peer.host.clone();
        let is_suspect = record.state == State::Suspect;
        let old = self.rows.get(&host);
        if old.is_some_and(|old| !record.is_newer(&old.record)) {
            return false;
        }
        self.put(record);
        if is_suspect {
            self.silent_since.insert(host, now() - silence);
        }
        true
    }

    /// Refutes a false record about this host with a higher incarnation.
    fn refute(&mut self, report: &Record) {
        let local = self.local_record();
        if report == local || report.incarnation < local.incarnation {
            return;
        }
        let mut record = local.clone();
        record.incarnation = report.incarnation + 1;
        self.announce(record);
    }

    /// Records that a message arrived from the host itself.
    pub(crate) fn record_contact(&mut self, from: Record) {
        let host = from.peer.host.clone();
        if host == self.local {
            return;
        }
        self.merge(Rumor {
            record: from,
            silence: Duration::ZERO,
        });
        if self
            .record(&host)
            .is_some_and(|r| r.state != State::Suspect)
        {
            self.silent_since.remove(&host);
        }
    }

    /// Records that a ping sent at `sent` was not answered.
    pub(crate) fn record_missed_ping(&mut self, host: &HostId, sent: Instant) {
        if self.record(host).is_some_and(|r| r.state != State::Gone) {
            self.silent_since.entry(host.clone()).or_insert(sent);
        }
    }

    /// Restarts all silence timers, after this process itself was paused.
    pub(crate) fn reset_silences(&mut self) {
        self.silent_since
            .values_mut()
            .for_each(|since| *since = now());
    }

    /// Marks this host as leaving and returns its record.
    pub(crate) fn leave(&mut self) -> Record {
        let mut record = self.local_record().clone();
        record.state = State::Leaving;
        self.announce(record.clone());
        record
    }

    /// Marks silent hosts as suspect or gone and drops expired rows of removed ones.
    pub(crate) fn advance_states(&mut self) {
        for (host, since) in self.silent_since.clone() {
            let Some(record) = self.record(&host) else {
                continue;
            };
            let mut record = record.clone();
            record.state = match record.state {
                _ if since.elapsed() >= REMOVE_AFTER => State::Gone,
                State::Live if since.elapsed() >= SUSPECT_AFTER => State::Suspect,
                _ => continue,
            };
            let is_suspect = record.state == State::Suspect;
            self.announce(record);
            if is_suspect {
                self.silent_since.insert(host, since);
            }
        }
        let is_old = |since: &Instant| since.elapsed() >= FORGET_AFTER;
        for (host, _) in self.gone_since.extract_if(.., |_, since| is_old(since)) {
            self.rows.remove(&host);
        }
    }

    /// Returns the hosts with an unanswered ping that are not removed.
    pub(crate) fn silent_hosts(&self) -> Vec<HostId> {
        self.silent_since.keys().cloned().collect()
    }

    /// Returns the hosts of the regular ping rotation.
    pub(crate) fn ping_targets(&self) -> Vec<HostId> {
        let is_target =
            |record: &&Record| record.state != State::Gone && record.peer.host != self.local;
        let records = self.records().filter(is_target);
        records.map(|record| record.peer.host.clone()).collect()
    }

    /// Returns whether the regular ping rotation has any host.
    pub(crate) fn has_targets(&self) -> bool {
        self.records()
            .any(|record| record.state != State::Gone && record.peer.host != self.local)
    }

    /// Returns the hosts outside the ping rotation that may exist: removed ones,
    /// and listed ones without a record.
    pub(crate) fn missing_hosts(&self) -> Vec<HostId> {
        let unknown = self
            .listed
            .keys()
            .filter(|host| !self.rows.contains_key(*host));
        self.gone_since.keys().chain(unknown).cloned().collect()
    }

    /// Returns a host from its record or, without one, from the platform's list.
    pub(crate) fn peer(&self, host: &HostId) -> Option<&Peer> {
        match self.rows.get(host) {
            Some(row) => Some(&row.record.peer),
            None => self.listed.get(host).map(|listed| &listed.peer),
        }
    }

    /// Replaces the platform's list.
    ///
    /// A listed host is only a candidate for pings, since the list lags behind.
    pub(crate) fn set_listed_hosts(&mut self, listed: Vec<ListedHost>) {
        let zones = listed.iter().map(|entry| entry.peer.zone.clone());
        self.zones.extend(zones);
        let by_host = listed.into_iter().map(|l| (l.peer.host.clone(), l));
        self.listed = by_host.collect();
        self.version += 1;
    }

    /// Returns the hosts with the states that a view shows.
    ///
    /// A live host that the platform is about to stop counts as leaving, so
    /// that it gets no new work.
    pub(crate) fn states(&self) -> impl Iterator<Item = (&Peer, State)> {
        self.records().map(|record| {
            let listed = self.listed.get(&record.peer.host);
            let is_leaving = listed.is_some_and(|listed| listed.is_leaving);
            let state = match record.state {
                State::Live | State::Suspect if is_leaving => State::Leaving,
                state => state,
            };
            (&record.peer, state)
        })
    }

    /// Returns the rumors for a message to `to`.
    ///
    /// They include the record of `to` itself unless that is `Live`, so that
    /// `to` can refute it.
    pub(crate) fn take_rumors(&mut self, to: Option<&HostId>) -> Vec<Rumor> {
        let mut hosts = self.rumors.take(self.live_count);
        if let Some(to) = to
            && self.record(to).is_some_and(|r| r.state != State::Live)
            && !hosts.contains(to)
        {
            hosts.push(to.clone());
        }
        hosts.iter().filter_map(|host| self.rumor(host)).collect()
    }

    fn rumor(&self, host: &HostId) -> Option<Rumor> {
        let row = self.rows.get(host)?;
        let silent = self.silent_since.get(host);
        let silence = silent.map_or(Duration::ZERO, |since| since.elapsed());
        Some(Rumor {
            record: row.record.clone(),
            silence,
        })
    }

    pub(crate) fn sync_request(&self, start: u64) -> Sync {
        Sync {
            checksums: self.checksums.clone(),
            start,
        }
    }

    /// Returns the records of the buckets whose checksums differ, and whether
    /// [`SYNC_LIMIT`] left some out.
    pub(crate) fn differences(&self, sync: &Sync) -> (Vec<Rumor>, bool) {
        let start = usize::try_from(sync.start % BUCKETS as u64).unwrap_or(0);
        let is_different =
            |bucket: usize| sync.checksums.get(bucket) != Some(&self.checksums[bucket]);
        let mut found: Vec<(usize, &HostId)> = Vec::new();
        for (host, row) in &self.rows {
            if is_different(row.bucket) {
                let order = (row.bucket + BUCKETS - start) % BUCKETS;
                found.push((order, host));
            }
        }
        found.sort_unstable();
        let has_more = found.len() > SYNC_LIMIT;
        let hosts = found.into_iter().take(SYNC_LIMIT);
        let rumors = hosts.filter_map(|(_, host)| self.rumor(host)).collect();
        (rumors, has_more)
    }
}

fn bucket_of(host: &HostId) -> usize {
    let hash = xxh3_64(host.as_str().as_bytes());
    usize::try_from(hash % BUCKETS as u64).unwrap_or(0)
}
