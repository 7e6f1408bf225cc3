//! Decides whether this host may use a primary.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use burdockslip_directory::{Directory, Member, Role};
use burdockslip_runtime::{Instant, Task, now, random_range, sleep, spawn, timeout};
use burdockslip_statement::{Command, MemberStatus};
use burdockslip_store::LeaseId;
use burdockslip_telemetry::Metrics;
use burdockslip_types::{ErrorKind, GroupName, LogPosition, MemberName, Result, Term};
use burdockslip_upstream::Pools;
use error_stack::Report;
use futures::future::try_join;
use tracing::{info, warn};

use crate::proof::{Proof, ProofSource};
use crate::records::{self, GroupRecord, keys};

/// How long a permission lasts after the moment at which it was proved. A
/// promotion takes 300 ms or more by itself, so that a longer span would delay
/// the new primary.
pub const PERMISSION_TTL: Duration = Duration::from_millis(900);

/// How often the age of the proof is looked at.
const RENEW_TICK: Duration = Duration::from_millis(100);

/// The age at which a host asks the store itself, because the coordinator has
/// not vouched for the permission.
const RENEW_AGE: Duration = Duration::from_millis(500);

/// The age at which the coordinator asks, on whom the others rely.
const LEADING_AGE: Duration = Duration::from_millis(120);

/// Pauses after a renewal that failed, since refused calls are charged, too.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Bounds a renewal; a slow store takes up to about 0.5 s.
const RENEW_TIMEOUT: Duration = Duration::from_millis(700);

/// The age of the proof at which members are asked instead of the store.
const MEMBER_CHECK_AGE: Duration = Duration::from_millis(700);

/// The age at which the coordinator asks members, on whom the others rely: its
/// word has to come before they ask themselves.
const LEADING_CHECK_AGE: Duration = Duration::from_millis(250);

/// How often members may be asked.
const MEMBER_CHECK_PERIOD: Duration = Duration::from_millis(250);

/// Bounds the questions to the members.
const MEMBER_CHECK_TIMEOUT: Duration = Duration::from_millis(400);

struct Shared {
    directory: Directory,
    pools: Pools,
    metrics: Metrics,
    /// The newest proof that the lease behind all permissions was alive.
    lease_proof: RefCell<Option<Proof>>,
    /// The terms that members confirmed, and when they were asked.
    group_proofs: RefCell<HashMap<GroupName, (Term, Proof)>>,
    /// The groups whose newest proof is a replica's, as far as it was logged.
    on_replicas: RefCell<HashSet<GroupName>>,
    asking: RefCell<HashMap<GroupName, Task<()>>>,
    has_store: Cell<bool>,
    is_coordinator: Cell<bool>,
}

/// Keeps the permission to use primaries; clones share it.
#[derive(Clone)]
pub struct Permission {
    shared: Rc<Shared>,
    _renewing: Rc<(Task<()>, Task<()>)>,
}

impl Permission {
    /// Starts to renew the permission.
    pub fn spawn(directory: Directory, pools: Pools, metrics: Metrics) -> Self {
        let shared = Rc::new(Shared {
            directory,
            pools,
            metrics,
            lease_proof: RefCell::default(),
            group_proofs: RefCell::default(),
            on_replicas: RefCell::default(),
            asking: RefCell::default(),
            has_store: Cell::new(true),
            is_coordinator: Cell::new(false),
        });
        let renewing = spawn(renew(Rc::clone(&shared)));
        let checking = spawn(check_groups(Rc::clone(&shared)));
        Self {
            shared,
            _renewing: Rc::new((renewing, checking)),
        }
    }

    /// Returns the primary of a group if this host may use it now.
    pub fn primary(&self, group: &GroupName) -> Option<MemberName> {
        let record = self.shared.record(group)?;
        let is_usable = record.is_stable() && self.is_proved(group);
        is_usable.then_some(record.primary)
    }

    /// Returns whether a group is being given a new primary.
    pub fn is_replacing_primary(&self, group: &GroupName) -> bool {
        let record = self.shared.record(group);
        record.is_some_and(|record| !record.is_stable())
    }

    /// Returns the newest proof for a group.
    pub fn proof(&self, group: &GroupName) -> Option<Proof> {
        self.shared.proof(group)
    }

    /// Returns the lease behind the permission and the age of its proof, for
    /// hosts that rely on this one.
    pub fn lease_proof_age(&self) -> Option<(LeaseId, Duration)> {
        let age = self.shared.lease_proof.borrow().as_ref()?.age();
        Some((self.shared.fence()?, age))
    }

    /// Takes over from a peer that the lease was alive at `moment`.
    ///
    /// A lease that this host does not know came with records that it has not
    /// read yet.
    pub fn accept_lease_proof(&self, lease: LeaseId, moment: Instant) {
        if self.shared.fence() == Some(lease) {
            self.shared
                .note_lease_proof(moment, ProofSource::Coordinator);
        }
    }

    /// Returns the groups for which members gave a proof, with the term and the
    /// age, for hosts that rely on this one while the store gives none.
    pub fn group_proof_ages(&self) -> Vec<(GroupName, Term, Duration)> {
        let shared = &self.shared;
        let limit = shared.check_age();
        if shared.has_lease_proof(limit) {
            return Vec::new();
        }
        let proofs = shared.group_proofs.borrow();
        let ages = proofs
            .iter()
            .map(|(group, (term, proof))| (group.clone(), *term, proof.age()));
        ages.filter(|(_, _, age)| *age < PERMISSION_TTL).collect()
    }

    /// Takes over from a peer that the members of a group confirmed `term` at `moment`.
    pub fn accept_group_proof(&self, group: &GroupName, term: Term, moment: Instant) {
        let record = self.shared.record(group);
        if record.is_some_and(|record| record.is_stable() && record.term == term) {
            let source = ProofSource::CoordinatorReplica;
            self.shared.note_proof(group, term, moment, source, None);
        }
    }

    /// Renews more often, because other hosts rely on this one.
    pub fn set_coordinator(&self, is_coordinator: bool) {
        self.shared.is_coordinator.set(is_coordinator);
    }

    /// Returns `mark` if this host may use the member that reported it; a
    /// position of a deposed primary proves nothing.
    pub fn confirm_mark(
        &self,
        group: &GroupName,
        member: &MemberName,
        mark: LogPosition,
    ) -> Option<LogPosition> {
        (self.primary(group).as_ref() == Some(member)).then_some(mark)
    }

    fn is_proved(&self, group: &GroupName) -> bool {
        self.proof(group)
            .is_some_and(|proof| proof.age() < PERMISSION_TTL)
    }
}

impl fmt::Debug for Permission {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Permission")
    }
}

impl Shared {
    fn record(&self, group: &GroupName) -> Option<GroupRecord> {
        let entry = self.directory.record(&keys::group(group))?;
        match GroupRecord::read(&entry.value) {
            Ok(record) => Some(record),
            Err(error) => {
                warn!(%group, ?error, "group record unreadable");
                None
            }
        }
    }

    fn proof(&self, group: &GroupName) -> Option<Proof> {
        let lease = self.lease_proof.borrow().clone();
        let proofs = self.group_proofs.borrow();
        let own = proofs.get(group).map(|(_, proof)| proof.clone());
        let newest = lease.into_iter().chain(own);
        newest.max_by_key(|proof| proof.at)
    }

    /// Returns whether the proof of the lease is younger than `limit`.
    fn has_lease_proof(&self, limit: Duration) -> bool {
        let proof = self.lease_proof.borrow();
        proof.as_ref().is_some_and(|proof| proof.age() < limit)
    }

    fn note_lease_proof(&self, moment: Instant, source: ProofSource) {
        self.metrics.count_proof(source.name());
        let mut proof = self.lease_proof.borrow_mut();
        if proof.as_ref().is_some_and(|known| known.at >= moment) {
            return;
        }
        *proof = Some(Proof { at: moment, source });
        drop(proof);
        self.note_return();
    }

    fn note_proof(
        &self,
        group: &GroupName,
        term: Term,
        moment: Instant,
        source: ProofSource,
        status: Option<&MemberStatus>,
    ) {
        self.metrics.count_proof(source.name());
        let proof = Proof { at: moment, source };
        let mut proofs = self.group_proofs.borrow_mut();
        let known = proofs
            .entry(group.clone())
            .or_insert_with(|| (term, proof.clone()));
        if known.1.at < moment {
            *known = (term, proof);
        }
        drop(proofs);
        self.note_replica(group, term, status);
    }

    /// Logs that the newest proof for a group is a replica's from now on.
    fn note_replica(&self, group: &GroupName, known: Term, status: Option<&MemberStatus>) {
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

    /// Logs the groups whose newest proof is the lease's again.
    fn note_return(&self) {
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

    /// Returns the age of the proof at which members are asked.
    const fn check_age(&self) -> Duration {
        if self.is_coordinator.get() {
            LEADING_CHECK_AGE
        } else {
            MEMBER_CHECK_AGE
        }
    }

    fn fence(&self) -> Option<LeaseId> {
        let entry = self.directory.record(keys::FENCE)?;
        records::decode(&entry.value).ok()
    }

    /// Renews the shared lease, or reads the records again if it has ended.
    async fn prove(&self, lease: LeaseId) -> Result<Instant> {
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

    fn note_store(&self, is_reachable: bool, error: Option<&Report<ErrorKind>>) {
        if self.has_store.replace(is_reachable) == is_reachable {
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

async fn renew(shared: Rc<Shared>) {
    loop {
        let limit = if shared.is_coordinator.get() {
            LEADING_AGE
        } else {
            RENEW_AGE
        };
        // Without a lease there is nothing to renew, and its record will be told.
        let lease = shared.fence();
        let Some(lease) = lease.filter(|_| !shared.has_lease_proof(limit)) else {
            sleep(RENEW_TICK.min(limit / 2)).await;
            continue;
        };
        match timeout(RENEW_TIMEOUT, shared.prove(lease)).await {
            Ok(Ok(sent)) => {
                shared.note_lease_proof(sent, ProofSource::Store);
                shared.note_store(true, None);
            }
            Ok(Err(error)) => {
                shared.note_store(false, Some(&error));
                sleep(RETRY_PAUSE).await;
            }
            Err(_) => shared.note_store(false, None),
        }
        sleep(RENEW_TICK).await;
    }
}

/// Asks the primary and a replica of each group while the store gives no proof.
///
/// A promotion either stops every replica at a higher term first or goes on
/// because the old primary has stepped down. So no promotion has happened while
/// the primary still leads in the known term and one replica still receives in it.
async fn check_groups(shared: Rc<Shared>) {
    loop {
        sleep(MEMBER_CHECK_PERIOD).await;
        let limit = shared.check_age();
        let is_fresh = |proof: Proof| proof.age() < limit;
        if shared.has_lease_proof(limit) || !shared.directory.is_configuration_current() {
            continue;
        }
        let Some(configuration) = shared.directory.configuration() else {
            continue;
        };
        for group in configuration.groups.keys() {
            if shared.proof(group).is_some_and(is_fresh) {
                continue;
            }
            let record = shared.record(group);
            if let Some(record) = record.filter(GroupRecord::is_stable) {
                ask_members(&shared, group, &record);
            }
        }
    }
}

fn ask_members(shared: &Rc<Shared>, group: &GroupName, record: &GroupRecord) {
    if shared.asking.borrow().contains_key(group) {
        return;
    }
    let Some(primary) = shared.directory.member(&record.primary) else {
        return;
    };
    let mut replicas = shared.directory.members(group);
    replicas.retain(|member| {
        member.name != record.primary
            && member.role == Role::Replica
            && !shared.pools.pool(member).health.is_suspected()
    });
    if replicas.is_empty() {
        return;
    }
    let last = u64::try_from(replicas.len()).unwrap_or(1);
    let index = usize::try_from(random_range(0..last)).unwrap_or_default();
    let replica = replicas.swap_remove(index);
    let check = check_members(
        Rc::clone(shared),
        group.clone(),
        [primary, replica],
        record.term,
    );
    shared
        .asking
        .borrow_mut()
        .insert(group.clone(), spawn(check));
}

/// Notes a proof if the primary leads in the known term and the replica follows.
///
/// The proof dates from before both questions, since what the answers say of
/// that moment holds: a member that was stopped or has stepped down stays so in
/// this term.
async fn check_members(
    shared: Rc<Shared>,
    group: GroupName,
    [primary, replica]: [Rc<Member>; 2],
    known: Term,
) {
    let sent = now();
    let ask = |member| {
        let pools = &shared.pools;
        pools.control(member, Command::Status, MEMBER_CHECK_TIMEOUT)
    };
    match try_join(ask(&primary), ask(&replica)).await {
        Ok((leading, following)) => {
            let is_leading = leading.is_primary && leading.term == known;
            let is_following =
                !following.is_primary && following.term == known && following.held <= known;
            if is_leading && is_following {
                let source = ProofSource::Replica(replica.name.clone());
                shared.note_proof(&group, known, sent, source, Some(&following));
            } else {
                info!(
                    %group,
                    primary = %primary.name,
                    is_leading,
                    replica = %replica.name,
                    is_following,
                    known = known.0,
                    "members report a change, primary not used"
                );
            }
        }
        Err(error) => {
            info!(%group, primary = %primary.name, replica = %replica.name, ?error, "members give no proof");
        }
    }
    shared.asking.borrow_mut().remove(&group);
}
