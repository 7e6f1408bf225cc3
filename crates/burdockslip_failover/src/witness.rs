//! Proofs from members that no other primary has been promoted, for the time in which
//! the store does not answer.
//!
//! A promotion requires either that every replica has been stopped at a higher term, or
//! that the old primary has stepped down. So no promotion has happened as long as the
//! primary still leads in the known term and one replica still receives in it.
//!
//! A replica that restarts receives again. So it is queried over a connection that was
//! already open at the moment of an earlier proof: it has not restarted since, and
//! would report if it had been stopped. See `docs/platform.md`, "The old primary".

use std::rc::Rc;
use std::time::Duration;

use burdockslip_directory::{Member, Role};
use burdockslip_runtime::{now, random_range, sleep, spawn, timeout};
use burdockslip_statement::{Command, MemberStatus};
use burdockslip_types::{GroupName, Revision, Term};
use burdockslip_upstream::PooledConnection;
use futures::future::try_join;
use tracing::info;

use crate::permission::Shared;
use crate::proof::ProofSource;
use crate::records::GroupRecord;

/// How often members may be queried.
const CHECK_PERIOD: Duration = Duration::from_millis(250);

/// The timeout of a query to a member, and of opening a connection.
const QUERY_TIMEOUT: Duration = Duration::from_millis(400);

/// How long a check waits for a connection that other work is using.
const CONNECTION_TIMEOUT: Duration = Duration::from_millis(100);

/// The pause between two attempts to get a connection.
const CONNECTION_PAUSE: Duration = Duration::from_millis(10);

/// Keeps a connection to a replica of each group, and queries the primary and a replica
/// while there is no recent proof from the store.
pub(crate) async fn check_groups(shared: Rc<Shared>) {
    let mut is_complete = false;
    loop {
        let seen = shared.directory.changed().epoch();
        if is_complete {
            sleep(CHECK_PERIOD).await;
        } else {
            // A group or a replica may have become known.
            let _ = timeout(CHECK_PERIOD, shared.directory.changed().changed(seen)).await;
        }
        let limit = shared.check_age();
        let has_lease_proof = shared.has_lease_proof(limit);
        let Some(configuration) = shared.directory.configuration() else {
            continue;
        };
        is_complete = true;
        for group in configuration.groups.keys() {
            let known = shared.record_and_revision(group);
            let known = known.filter(|(record, _)| shared.is_stable(record));
            let Some((record, revision)) = known else {
                is_complete = false;
                continue;
            };
            is_complete &= keep_connection(&shared, group, &record);
            let proof = shared.proof(group);
            let is_old = proof.is_some_and(|proof| proof.age() >= limit);
            if is_old && !has_lease_proof && shared.directory.is_configuration_current() {
                start_check(&shared, group, record, revision);
            }
        }
    }
}

/// Returns the replicas that may be queried, in random order: those that every promotion
/// has to stop.
fn replicas(shared: &Shared, group: &GroupName, record: &GroupRecord) -> Vec<Rc<Member>> {
    let mut replicas = shared.directory.members(group);
    replicas.retain(|member| {
        record.can_confirm(member)
            && member.role == Role::Replica
            && !shared.pools.pool(member).health.is_suspected()
    });
    let last = u64::try_from(replicas.len()).unwrap_or_default();
    if last > 0 {
        let first = usize::try_from(random_range(0..last)).unwrap_or_default();
        replicas.rotate_left(first);
    }
    replicas
}

/// Opens a connection to a replica of a group unless this host has one; returns whether
/// nothing is left to do.
///
/// Hosts whose share of the members' connections is below one have none to spare; they
/// depend on the proofs of the coordinator, which always keeps a connection.
fn keep_connection(shared: &Rc<Shared>, group: &GroupName, record: &GroupRecord) -> bool {
    if shared.member_tasks.borrow().contains_key(group) {
        return false;
    }
    let replicas = replicas(shared, group, record);
    let pools = || replicas.iter().map(|member| shared.pools.pool(member));
    if pools().any(|pool| pool.is_open()) {
        return true;
    }
    let is_coordinator = shared.is_coordinator.get();
    let Some(pool) = pools().find(|pool| is_coordinator || pool.has_whole_share()) else {
        return !replicas.is_empty();
    };
    let (task_shared, task_group) = (Rc::clone(shared), group.clone());
    let task = spawn(async move {
        let replica = &pool.member().name;
        match task_shared.pools.open_idle(&pool, QUERY_TIMEOUT).await {
            Ok(()) => {
                info!(group = %task_group, %replica, "connection to a replica kept");
                // The connection is of use from the next proof on.
                task_shared.proof_wanted.notify();
            }
            Err(error) => {
                info!(group = %task_group, %replica, ?error, "no connection to a replica kept");
            }
        }
        task_shared.member_tasks.borrow_mut().remove(&task_group);
    });
    let mut tasks = shared.member_tasks.borrow_mut();
    tasks.insert(group.clone(), task);
    false
}

fn start_check(
    shared: &Rc<Shared>,
    group: &GroupName,
    record: Rc<GroupRecord>,
    revision: Revision,
) {
    if shared.member_tasks.borrow().contains_key(group) {
        return;
    }
    let Some(primary) = shared.directory.member(&record.primary) else {
        return;
    };
    let (task_shared, task_group) = (Rc::clone(shared), group.clone());
    let task = spawn(async move {
        check(&task_shared, &task_group, primary, &record, revision).await;
        task_shared.member_tasks.borrow_mut().remove(&task_group);
    });
    let mut tasks = shared.member_tasks.borrow_mut();
    tasks.insert(group.clone(), task);
}

/// Records a proof if the primary leads in the known term and a replica follows.
///
/// The proof is valid for the moment before both queries: a member that was stopped
/// or had stepped down by then would still be so in this term when it answers.
async fn check(
    shared: &Shared,
    group: &GroupName,
    primary: Rc<Member>,
    record: &GroupRecord,
    revision: Revision,
) {
    let known = record.term;
    let Some(connection) = proven_connection(shared, group, record).await else {
        info!(%group, primary = %primary.name,
            "no connection to a replica since the last proof, not using the primary");
        return;
    };
    let replica = connection.member().name.clone();
    let sent = now();
    let leading = shared
        .pools
        .control(&primary, Command::Status, QUERY_TIMEOUT);
    let following = shared.pools.status(connection, QUERY_TIMEOUT);
    match try_join(leading, following).await {
        Ok((leading, following)) => {
            let is_leading = leading.is_primary && leading.term == known;
            let is_following = follows(&following, known);
            if is_leading && is_following {
                let source = ProofSource::Replica(replica);
                let status = Some(&following);
                shared.record_group_proof(group, record, revision, sent, source, status);
            } else {
                info!(
                    %group,
                    primary = %primary.name,
                    is_leading,
                    %replica,
                    is_following,
                    known = known.0,
                    "members do not confirm the primary, not using it"
                );
            }
        }
        Err(error) => {
            info!(%group, primary = %primary.name, %replica, ?error, "query of members for a proof failed");
        }
    }
}

fn follows(status: &MemberStatus, known: Term) -> bool {
    !status.is_primary && status.term == known && status.held <= known
}

/// Returns a connection to a replica that was open at the moment of the newest proof.
async fn proven_connection(
    shared: &Shared,
    group: &GroupName,
    record: &GroupRecord,
) -> Option<PooledConnection> {
    let proved = shared.proof(group)?.at;
    let until = now() + CONNECTION_TIMEOUT;
    loop {
        let replicas = replicas(shared, group, record);
        let mut pools = replicas.iter().map(|member| shared.pools.pool(member));
        let connection = pools.find_map(|pool| pool.take_open_since(proved));
        if connection.is_some() || until.is_past() {
            return connection;
        }
        sleep(CONNECTION_PAUSE).await;
    }
}
