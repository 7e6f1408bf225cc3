//! Holds what a host knows about all others.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use burdockslip_runtime::{Instant, now};
use burdockslip_types::{HostId, Zone};
use xxhash_rust::xxh3::xxh3_64;

use crate::rumors::Rumors;
use crate::{ListedHost, Peer, Record, Rumor, State, Sync};

/// Passes between the first unanswered ping and the suspicion.
pub(crate) const SUSPECT_AFTER: Duration = Duration::from_secs(3);

/// Passes between the first unanswered ping and the removal.
pub(crate) const REMOVE_AFTER: Duration = Duration::from_secs(6);

/// Keeps reports of hosts that are gone, so that late rumors do not revive
/// them and a cut zone is found again.
const FORGET_AFTER: Duration = Duration::from_hours(2);

/// Splits the table for comparison; two hosts that differ in a few records
/// exchange a few buckets.
const BUCKETS: usize = 32;

/// Bounds the records of one reply to `Sync`, about 4 KB.
const SYNC_LIMIT: usize = 90;

struct Row {
    record: Record,
    bucket: usize,
}

/// Holds one record for each host, with checksums.
pub(crate) struct Table {
    own: HostId,
    rows: BTreeMap<HostId, Row>,
    /// When the first ping without an answer was sent, by host.
    silent: BTreeMap<HostId, Instant>,
    /// When a host was found to be gone.
    gone: BTreeMap<HostId, Instant>,
    checksums: Vec<u64>,
    rumors: Rumors,
    zones: BTreeSet<Zone>,
    listed: BTreeMap<HostId, ListedHost>,
    live_count: usize,
    version: u64,
}

impl Table {
    pub(crate) fn new(own: Peer) -> Self {
        let mut table = Self {
            own: own.host.clone(),
            rows: BTreeMap::new(),
            silent: BTreeMap::new(),
            gone: BTreeMap::new(),
            checksums: vec![0; BUCKETS],
            rumors: Rumors::default(),
            zones: BTreeSet::new(),
            listed: BTreeMap::new(),
            live_count: 0,
            version: 0,
        };
        table.announce(Record {
            peer: own,
            incarnation: 0,
            state: State::Live,
        });
        table
    }

    /// Changes whenever a view of the table would change.
    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    pub(crate) fn records(&self) -> impl Iterator<Item = &Record> {
        self.rows.values().map(|row| &row.record)
    }

    pub(crate) fn record(&self, host: &HostId) -> Option<&Record> {
        self.rows.get(host).map(|row| &row.record)
    }

    pub(crate) fn own_record(&self) -> &Record {
        &self.rows[&self.own].record
    }

    /// Returns the zones of all hosts ever heard of, live or not.
    pub(crate) fn zones(&self) -> &BTreeSet<Zone> {
        &self.zones
    }

    pub(crate) fn checksum(&self) -> u64 {
        self.checksums
            .iter()
            .fold(0, |all, checksum| all ^ checksum)
    }

    /// Replaces a row and passes it on.
    fn announce(&mut self, record: Record) {
        self.rumors.add(record.peer.host.clone());
        self.put(record);
    }

    /// Replaces a row without comparing it.
    fn put(&mut self, record: Record) {
        let bucket = bucket_of(&record.peer.host);
        let host = record.peer.host.clone();
        self.zones.insert(record.peer.zone.clone());
        self.silent.remove(&host);
        self.gone.remove(&host);
        if record.state == State::Gone {
            self.gone.insert(host.clone(), now());
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

    /// Takes in a report and passes it on, if it is newer than what is known.
    pub(crate) fn merge(&mut self, rumor: Rumor) {
        let host = rumor.record.peer.host.clone();
        if self.learn(rumor) {
            self.rumors.add(host);
        }
    }

    /// Takes in a report that need not be passed on, because it came from a
    /// comparison of tables; returns whether it was newer than what is known.
    pub(crate) fn learn(&mut self, rumor: Rumor) -> bool {
        let Rumor { record, silence } = rumor;
        if record.peer.host == self.own {
            self.object(&record);
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
            self.silent.insert(host, now() - silence);
        }
        true
    }

    /// Answers a false report about this host with a higher incarnation.
    fn object(&mut self, report: &Record) {
        let own = self.own_record();
        if report == own || report.incarnation < own.incarnation {
            return;
        }
        let mut record = own.clone();
        record.incarnation = report.incarnation + 1;
        self.announce(record);
    }

    /// Notes a message that came from the host itself.
    pub(crate) fn hear(&mut self, from: Record) {
        let host = from.peer.host.clone();
        if host == self.own {
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
            self.silent.remove(&host);
        }
    }

    /// Notes a ping sent at `sent` that got no answer.
    pub(crate) fn miss(&mut self, host: &HostId, sent: Instant) {
        if self.record(host).is_some_and(|r| r.state != State::Gone) {
            self.silent.entry(host.clone()).or_insert(sent);
        }
    }

    /// Starts all silences anew, after this host itself was paused.
    pub(crate) fn excuse(&mut self) {
        self.silent.values_mut().for_each(|since| *since = now());
    }

    /// Marks this host as leaving and returns its record.
    pub(crate) fn leave(&mut self) -> Record {
        let mut record = self.own_record().clone();
        record.state = State::Leaving;
        self.announce(record.clone());
        record
    }

    /// Moves silent hosts on to suspicion and removal, and forgets old ones.
    pub(crate) fn advance(&mut self) {
        for (host, since) in self.silent.clone() {
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
                self.silent.insert(host, since);
            }
        }
        let is_old = |since: &Instant| since.elapsed() >= FORGET_AFTER;
        for (host, _) in self.gone.extract_if(.., |_, since| is_old(since)) {
            self.rows.remove(&host);
        }
    }

    /// Returns the hosts that are silent but not removed.
    pub(crate) fn silent_hosts(&self) -> Vec<HostId> {
        self.silent.keys().cloned().collect()
    }

    /// Returns the hosts to ping in turn.
    pub(crate) fn ping_targets(&self) -> Vec<HostId> {
        let is_target =
            |record: &&Record| record.state != State::Gone && record.peer.host != self.own;
        let records = self.records().filter(is_target);
        records.map(|record| record.peer.host.clone()).collect()
    }

    /// Returns whether there is any host to ping.
    pub(crate) fn has_targets(&self) -> bool {
        self.records()
            .any(|record| record.state != State::Gone && record.peer.host != self.own)
    }

    /// Returns the hosts that may exist although they do not answer.
    pub(crate) fn missing_hosts(&self) -> Vec<HostId> {
        let unknown = self
            .listed
            .keys()
            .filter(|host| !self.rows.contains_key(*host));
        self.gone.keys().chain(unknown).cloned().collect()
    }

    /// Returns the address of a host, from its own reports or the platform.
    pub(crate) fn peer(&self, host: &HostId) -> Option<&Peer> {
        match self.rows.get(host) {
            Some(row) => Some(&row.record.peer),
            None => self.listed.get(host).map(|listed| &listed.peer),
        }
    }

    /// Takes in the platform's list, which replaces the one before.
    ///
    /// A listed host is only a candidate for pings, since the list lags.
    pub(crate) fn set_listed_hosts(&mut self, listed: Vec<ListedHost>) {
        let zones = listed.iter().map(|entry| entry.peer.zone.clone());
        self.zones.extend(zones);
        let by_host = listed.into_iter().map(|l| (l.peer.host.clone(), l));
        self.listed = by_host.collect();
        self.version += 1;
    }

    /// Returns the hosts with the states that a view shows: a live host that
    /// the platform is about to stop gets no new work.
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

    /// Returns the rumors for a message to `to`, with its own record if that
    /// must be objected to.
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
        let silent = self.silent.get(host);
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

    /// Returns the records of the buckets that differ, and whether the bound
    /// left some out.
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
