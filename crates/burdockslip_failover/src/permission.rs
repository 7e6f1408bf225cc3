//! The permission of this host to use primaries.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use burdockslip_directory::{Directory, Member};
use burdockslip_runtime::{Instant, Signal, Task, now, sleep, spawn, timeout};
use burdockslip_statement::MemberStatus;
use burdockslip_store::{Entry, LeaseId};
use burdockslip_telemetry::Metrics;
use burdockslip_types::{ErrorKind, GroupName, LogPosition, MemberName, Result, Revision, Term};
use burdockslip_upstream::Pools;
use error_stack::Report;
use tracing::{info, warn};

use crate::Knowledge;
use crate::proof::{Proof, ProofSource};
use crate::records::{self, GroupRecord, keys};
use crate::witness;

/// How long a permission lasts after the moment of its proof. A new primary serves
/// only once older permissions have expired. The promotion itself takes 300 ms or
/// more, so a longer TTL would delay the new primary.
pub const PERMISSION_TTL: Duration = Duration::from_millis(900);

/// How often the age of the proof is checked.
const RENEW_TICK: Duration = Duration::from_millis(100);

/// The age of the proof at which a host renews the lease at the store itself,
/// because the coordinator has not forwarded a newer proof.
const RENEW_AGE: Duration = Duration::from_millis(500);

/// The age of the proof at which the coordinator renews the lease. It is lower,
/// because the other hosts rely on the coordinator's proof.
const COORDINATOR_RENEW_AGE: Duration = Duration::from_millis(120);

/// The pause after a renewal that failed, since rejected calls are charged, too.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// The timeout of a renewal; a slow store takes up to about 0.5 s.
const RENEW_TIMEOUT: Duration = Duration::from_millis(700);

/// The age of the proof at which members are queried instead of the store.
const MEMBER_CHECK_AGE: Duration = Duration::from_millis(700);

/// The age of the proof at which the coordinator queries members. It is lower,
/// because its proof has to reach the other hosts before they query members
/// themselves.
const COORDINATOR_CHECK_AGE: Duration = Duration::from_millis(250);

pub(crate) struct Shared {
    pub(crate) directory: Directory,
    pub(crate) pools: Pools,
    metrics: Metrics,
    /// The decoded records of groups with their revisions.
    records: RefCell<HashMap<GroupName, (Revision, Rc<GroupRecord>)>>,
    /// The newest proof that the lease behind all permissions was alive.
    lease_proof: RefCell<Option<Proof>>,
    /// The lease of the newest proof, to log changes.
    proved_lease: Cell<Option<LeaseId>>,
    /// The newest proof of each group from its members, with the revision of the record
    /// whose primary they confirmed.
    group_proofs: RefCell<HashMap<GroupName, (Revision, Proof)>>,
    /// The groups whose newest proof is based on a replica, and for which this was
    /// logged.
    on_replicas: RefCell<HashSet<GroupName>>,
    /// The tasks that open a connection to a replica or query members, one for a group.
    pub(crate) member_tasks: RefCell<HashMap<GroupName, Task<()>>>,
    /// Since when this host has been registered; `None` while it is not.
    registered_since: Cell<Option<Instant>>,
    /// Notified when a proof of the lease is wanted before the last one gets old.
    pub(crate) proof_wanted: Signal,
    /// Whether the last renewal succeeded, for log lines on a change.
    is_store_reachable: Cell<bool>,
    pub(crate) is_coordinator: Cell<bool>,
}

/// Keeps the permission to use primaries renewed; clones share it.
#[derive(Clone)]
pub struct Permission {
    shared: Rc<Shared>,
    _renewing: Rc<(Task<()>, Task<()>)>,
}

impl Permission {
    /// Starts the tasks that renew the permission.
    pub fn spawn(directory: Directory, pools: Pools, metrics: Metrics) -> Self {
        let shared = Rc::new(Shared {
            directory,
            pools,
            metrics,
            records: RefCell::default(),
            lease_proof: RefCell::default(),
            proved_lease: Cell::default(),
            group_proofs: RefCell::default(),
            on_replicas: RefCell::default(),
            member_tasks: RefCell::default(),
            registered_since: Cell::default(),
            proof_wanted: Signal::default(),
            is_store_reachable: Cell::new(true),
            is_coordinator: Cell::new(false),
        });
        let renewing = spawn(renew(Rc::clone(&shared)));
        let checking = spawn(witness::check_groups(Rc::clone(&shared)));
        Self {
            shared,
            _renewing: Rc::new((renewing, checking)),
        }
    }

    /// Returns the primary of a group if this host may currently use it.
    pub fn primary(&self, group: &GroupName) -> Option<MemberName> {
        let record = self.shared.stable_record(group)?;
        let member = self.shared.directory.member(&record.primary);
        let is_emptied = member.is_some_and(|member| record.is_emptied(&member));
        let is_usable = !is_emptied && self.is_proved(group);
        is_usable.then(|| record.primary.clone())
    }

    /// Returns the primary of a group according to its record, whether or not this host
    /// may currently use it; `None` while it is being replaced.
    pub fn recorded_primary(&self, group: &GroupName) -> Option<MemberName> {
        let record = self.shared.stable_record(group)?;
        Some(record.primary.clone())
    }

    /// Returns the term in which a member leads according to the group's record, or `None`
    /// if it is not the primary, or is being replaced.
    pub fn recorded_term(&self, group: &GroupName, member: &MemberName) -> Option<Term> {
        let record = self.shared.stable_record(group)?;
        (record.primary == *member).then_some(record.term)
    }

    /// Returns the newest proof for a group.
    pub fn proof(&self, group: &GroupName) -> Option<Proof> {
        self.shared.proof(group)
    }

    /// Returns the lease behind all permissions and the age of its newest proof. The
    /// coordinator sends both to the other hosts.
    pub fn lease_proof_age(&self) -> Option<(LeaseId, Duration)> {
        let age = self.shared.lease_proof.borrow().as_ref()?.age();
        Some((self.shared.fence()?, age))
    }

    /// Records the proof of a peer that the lease was alive at `moment`.
    ///
    /// The proof of any other lease than the known one is ignored: such a lease came
    /// with records that this host has not read yet.
    pub fn accept_lease_proof(&self, lease: LeaseId, moment: Instant) {
        if self.shared.fence() == Some(lease) {
            self.shared
                .record_lease_proof(moment, ProofSource::Coordinator);
        }
    }

    /// Returns the groups with a valid proof from members, with the revision of the
    /// group's record and the proof's age. The coordinator sends them to the other hosts
    /// while there is no recent proof of the lease; otherwise the list is empty.
    pub fn group_proof_ages(&self) -> Vec<(GroupName, Revision, Duration)> {
        let shared = &self.shared;
        let limit = shared.check_age();
        if shared.has_lease_proof(limit) {
            return Vec::new();
        }
        let proofs = shared.group_proofs.borrow();
        let ages = proofs
            .iter()
            .map(|(group, (revision, proof))| (group.clone(), *revision, proof.age()));
        ages.filter(|(_, _, age)| *age < PERMISSION_TTL).collect()
    }

    /// Records the proof of a peer that the members of a group confirmed the primary of
    /// the record with `revision` at `moment`.
    ///
    /// It is ignored if this host knows another revision: an earlier one may have the same
    /// primary, but not name the members that are excluded.
    pub fn accept_group_proof(&self, group: &GroupName, revision: Revision, moment: Instant) {
        if let Some((record, known)) = self.shared.record_and_revision(group)
            && self.shared.is_stable(&record)
            && known == revision
        {
            let source = ProofSource::CoordinatorReplica;
            self.shared
                .record_group_proof(group, &record, revision, moment, source, None);
        }
    }

    /// Sets whether this host is the coordinator, which renews more often because the
    /// other hosts rely on its proofs.
    pub fn set_coordinator(&self, is_coordinator: bool) {
        self.shared.is_coordinator.set(is_coordinator);
    }

    /// Returns `position` if `member`, which reported it, is the primary and this host
    /// may use it. The position of a replaced primary does not cover the commits that
    /// its successor has acknowledged.
    pub fn confirm_position(
        &self,
        group: &GroupName,
        member: &MemberName,
        position: LogPosition,
    ) -> Option<LogPosition> {
        (self.primary(group).as_ref() == Some(member)).then_some(position)
    }

    /// Returns the groups whose primary is being replaced, with the terms at which their
    /// members are stopped. The coordinator learns from them that this host does not use
    /// the old primaries.
    pub fn changing(&self) -> Vec<(GroupName, Term)> {
        let Some(configuration) = self.shared.directory.configuration() else {
            return Vec::new();
        };
        let held = |group: &GroupName| Some((group.clone(), self.shared.record(group)?.held?));
        configuration.groups.keys().filter_map(held).collect()
    }

    /// Returns what this host knew of the groups before the store was restored, or `None`
    /// if it never was. What it knew of a group is forgotten once its record is settled.
    pub fn knowledge(&self) -> Option<Knowledge> {
        let directory = &self.shared.directory;
        let era = directory.era();
        let configuration = directory.configuration();
        let groups = configuration.iter().flat_map(|known| known.groups.keys());
        if era == 0 {
            return None;
        }
        let mut records = Vec::new();
        for group in groups {
            let key = keys::group(group);
            let is_settled = |record: Rc<GroupRecord>| record.is_settled(era);
            if self.shared.record(group).is_some_and(is_settled) {
                directory.forget_earlier(&key);
                continue;
            }
            let earlier = directory.earlier_records(&key);
            let read = |entry: &Entry| GroupRecord::read(&entry.value).ok();
            let known = earlier.iter().filter_map(read);
            records.extend(known.map(|record| (group.clone(), record)));
        }
        let before = directory.loaded_before();
        Some(Knowledge {
            era,
            before,
            records,
        })
    }

    /// Returns the number of groups without a record of the store's current era, which have
    /// no primary to use.
    pub fn unsettled(&self) -> usize {
        let era = self.shared.directory.era();
        let Some(configuration) = self.shared.directory.configuration() else {
            return 0;
        };
        let is_settled = |group: &&GroupName| {
            let record = self.shared.record(group);
            record.is_some_and(|record| record.is_settled(era))
        };
        let groups = configuration.groups.keys();
        groups.filter(|group| !is_settled(group)).count()
    }

    /// Returns the groups whose records exclude members, with the revisions of these
    /// records. A member leaves the roster only after all hosts have reported this.
    pub fn excluding(&self) -> Vec<(GroupName, Revision)> {
        let Some(configuration) = self.shared.directory.configuration() else {
            return Vec::new();
        };
        let revision = |group: &GroupName| {
            let (record, revision) = self.shared.record_and_revision(group)?;
            record.needs_receipts().then(|| (group.clone(), revision))
        };
        configuration.groups.keys().filter_map(revision).collect()
    }

    /// Returns the replicas of a group that can confirm the receipt of a commit, or `None`
    /// if commits need no receipt. The list is empty if the group has no such replica.
    pub fn confirming_replicas(&self, group: &GroupName) -> Option<Vec<Rc<Member>>> {
        let record = self.shared.record(group)?;
        if !record.needs_receipts() {
            return None;
        }
        let mut members = self.shared.directory.members(group);
        members.retain(|member| record.can_confirm(member));
        Some(members)
    }

    /// Sets since when this host has been registered, or `None` if it is not. Without a
    /// registration the coordinator does not know that the host may use a primary, so
    /// permissions have to be newer.
    pub fn set_registered(&self, since: Option<Instant>) {
        self.shared.registered_since.set(since);
        if since.is_some() {
            self.shared.proof_wanted.notify();
        }
    }

    fn is_proved(&self, group: &GroupName) -> bool {
        let Some(registered) = self.shared.registered_since.get() else {
            return false;
        };
        let era_since = self.shared.directory.era_since();
        let from = era_since.map_or(registered, |since| since.max(registered));
        self.proof(group)
            .is_some_and(|proof| proof.at >= from && proof.age() < PERMISSION_TTL)
    }
}

impl fmt::Debug for Permission {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Permission")
    }
}

impl Shared {
    /// Returns the record of a group if it names the primary to use: it was written since
    /// the store was last restored, and no change of primary is in progress.
    pub(crate) fn stable_record(&self, group: &GroupName) -> Option<Rc<GroupRecord>> {
        self.record(group).filter(|record| self.is_stable(record))
    }

    pub(crate) fn is_stable(&self, record: &GroupRecord) -> bool {
        let is_settled = record.is_settled(self.directory.era());
        // Without the whole store the own registration may be missing.
        record.is_stable() && is_settled && self.directory.is_loaded()
    }

    pub(crate) fn record(&self, group: &GroupName) -> Option<Rc<GroupRecord>> {
        self.record_and_revision(group).map(|(record, _)| record)
    }

    /// Returns the record of a group, decoded once for each revision: every statement needs
    /// it several times.
    pub(crate) fn record_and_revision(
        &self,
        group: &GroupName,
    ) -> Option<(Rc<GroupRecord>, Revision)> {
        let key = keys::group(group);
        let revision = self.directory.revision(&key)?;
        if let Some((known, record)) = self.records.borrow().get(group)
            && *known == revision
        {
            return Some((Rc::clone(record), revision));
        }
        let entry = self.directory.record(&key)?;
        match GroupRecord::read(&entry.value) {
            Ok(record) => {
                let record = Rc::new(record);
                let cached = (entry.revision, Rc::clone(&record));
                self.records.borrow_mut().insert(group.clone(), cached);
                Some((record, entry.revision))
            }
            Err(error) => {
                warn!(%group, ?error, "group record unreadable");
                None
            }
        }
    }

    pub(crate) fn proof(&self, group: &GroupName) -> Option<Proof> {
        let lease = self.lease_proof.borrow().clone();
        let proofs = self.group_proofs.borrow();
        let own = proofs.get(group).map(|(_, proof)| proof.clone());
        let newest = lease.into_iter().chain(own);
        newest.max_by_key(|proof| proof.at)
    }

    /// Returns whether there is a proof of the lease younger than `limit`.
    pub(crate) fn has_lease_proof(&self, limit: Duration) -> bool {
        let proof = self.lease_proof.borrow();
        proof.as_ref().is_some_and(|proof| proof.age() < limit)
    }

    fn record_lease_proof(&self, moment: Instant, source: ProofSource) {
        self.metrics.count_proof(source.name());
        let mut proof = self.lease_proof.borrow_mut();
        if proof.as_ref().is_some_and(|known| known.at >= moment) {
            return;
        }
        let name = source.name();
        *proof = Some(Proof { at: moment, source });
        drop(proof);
        self.log_lease(name);
        self.log_lease_proof();
    }

    /// Logs the first proof of another lease, with the records that this host uses under it.
    fn log_lease(&self, proof: &str) {
        let lease = self.fence();
        if self.proved_lease.replace(lease) == lease {
            return;
        }
        let revision = self.directory.revision(keys::FENCE);
        let records: Vec<_> = self
            .directory
            .records(keys::GROUPS)
            .iter()
            .map(describe)
            .collect();
        info!(
            lease = lease.map(|lease| lease.0),
            fence = revision.map(|revision| revision.0),
            applied = self.directory.applied().0,
            proof,
            records = records.join(" "),
            "permission rests on another lease"
        );
    }

    pub(crate) fn record_group_proof(
        &self,
        group: &GroupName,
        record: &GroupRecord,
        revision: Revision,
        moment: Instant,
        source: ProofSource,
        status: Option<&MemberStatus>,
    ) {
        self.metrics.count_proof(source.name());
        let proof = Proof { at: moment, source };
        let mut proofs = self.group_proofs.borrow_mut();
        let known = proofs
            .entry(group.clone())
            .or_insert_with(|| (revision, proof.clone()));
        if known.1.at < moment {
            *known = (revision, proof);
        }
        drop(proofs);
        self.log_replica_proof(group, record.term, status);
    }

    /// Logs the transition of a group to a proof based on a replica.
    fn log_replica_proof(&self, group: &GroupName, known: Term, status: Option<&MemberStatus>) {
        let Some(proof) = self.proof(group) else {
            return;
        };
        if !proof.source.is_replica() || !self.on_replicas.borrow_mut().insert(group.clone()) {
            return;
        }
        let lease_age = self.lease_proof.borrow().as_ref().map(Proof::age);
        info!(
            %group,
            proof = proof.source.name(),
            replica = proof.source.replica().map(MemberName::as_str),
            term = status.map(|status| status.term.0),
            held = status.map(|status| status.held.0),
            received = status.map(|status| tracing::field::display(status.received)),
            known = known.0,
            lease_age_ms = lease_age.map(|age| age.as_millis()),
            "primary used on the proof of a replica"
        );
    }

    /// Logs the groups whose newest proof is that of the lease again.
    fn log_lease_proof(&self) {
        let proofs: Vec<_> = self
            .on_replicas
            .borrow()
            .iter()
            .filter_map(|group| Some((group.clone(), self.proof(group)?)))
            .filter(|(_, proof)| !proof.source.is_replica())
            .collect();
        for (group, proof) in proofs {
            self.on_replicas.borrow_mut().remove(&group);
            let known = self.record(&group).map(|record| record.term.0);
            info!(
                %group,
                proof = proof.source.name(),
                known,
                age_ms = proof.age().as_millis(),
                "primary used on the proof of the lease again"
            );
        }
    }

    /// Returns the age of the proof at which members are queried.
    pub(crate) const fn check_age(&self) -> Duration {
        if self.is_coordinator.get() {
            COORDINATOR_CHECK_AGE
        } else {
            MEMBER_CHECK_AGE
        }
    }

    fn fence(&self) -> Option<LeaseId> {
        let entry = self.directory.record(keys::FENCE)?;
        let lease: LeaseId = records::decode(&entry.value).ok()?;
        // The coordinator replaces one that came with an older copy of the store.
        (lease.era() == self.directory.era()).then_some(lease)
    }

    /// Renews the lease behind all permissions, or reloads the records if it has
    /// ended. Returns the moment for which this is a proof.
    async fn renew_or_reload(&self, lease: LeaseId) -> Result<Instant> {
        let sent = now();
        let store = self.directory.store();
        if !store.keep_lease(lease).await?.is_zero() {
            return Ok(sent);
        }
        let sent = now();
        let page = store.range(keys::ROOT).await?;
        page.entries
            .into_iter()
            .for_each(|entry| self.directory.apply(entry));
        Ok(sent)
    }

    /// Records whether the store is reachable, and logs when this changes.
    fn record_store_state(&self, is_reachable: bool, error: Option<&Report<ErrorKind>>) {
        if self.is_store_reachable.replace(is_reachable) == is_reachable {
            return;
        }
        let proof = self.lease_proof.borrow();
        let age = proof.as_ref().map(|proof| proof.age().as_millis());
        if is_reachable {
            info!(age, "permission renewed at the store again");
        } else {
            warn!(
                age,
                ?error,
                "permission not renewed at the store, asking members"
            );
        }
    }
}

/// Returns the group, the revision and the state of a group's record for log lines.
fn describe(entry: &Entry) -> String {
    let group = entry.key.strip_prefix(keys::GROUPS).unwrap_or_default();
    let state = match GroupRecord::read(&entry.value) {
        Ok(record) if record.is_stable() => "stable",
        Ok(_) => "changing",
        Err(_) => "unreadable",
    };
    format!("{group}={}:{state}", entry.revision.0)
}

async fn renew(shared: Rc<Shared>) {
    let mut seen = shared.proof_wanted.epoch();
    loop {
        let limit = if shared.is_coordinator.get() {
            COORDINATOR_RENEW_AGE
        } else {
            RENEW_AGE
        };
        let pause = RENEW_TICK.min(limit / 2);
        // Without a lease there is nothing to renew; the watch will deliver its record.
        let Some(lease) = shared.fence() else {
            sleep(pause).await;
            continue;
        };
        let is_wanted = shared.proof_wanted.epoch() != seen;
        if !is_wanted && shared.has_lease_proof(limit) {
            // The loop looks at the signal again.
            let _ = timeout(pause, shared.proof_wanted.changed(seen)).await;
            continue;
        }
        seen = shared.proof_wanted.epoch();
        match timeout(RENEW_TIMEOUT, shared.renew_or_reload(lease)).await {
            Ok(Ok(sent)) => {
                shared.record_lease_proof(sent, ProofSource::Store);
                shared.record_store_state(true, None);
            }
            Ok(Err(error)) => {
                shared.record_store_state(false, Some(&error));
                sleep(RETRY_PAUSE).await;
            }
            Err(_) => shared.record_store_state(false, None),
        }
        sleep(RENEW_TICK).await;
    }
}
