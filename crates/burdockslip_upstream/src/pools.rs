//! The connection pools of all members.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use burdockslip_directory::{Directory, Member};
use burdockslip_runtime::{Task, now, sleep, spawn, timeout};
use burdockslip_statement::{Codec, Command, MemberReply, MemberStatus};
use burdockslip_types::{ErrorKind, GroupName, MemberName, Organisation, Result};
use error_stack::{Report, bail};
use tracing::{debug, info};

use crate::{Connection, MemberPool, PooledConnection};

/// The part of a member's connections that all hosts together keep open, in
/// thousandths. The rest is a reserve: a member keeps the connections of hosts
/// that lost power for some seconds, and these hosts need new ones as soon as
/// they are back.
const KEPT_THOUSANDTHS: usize = 500;

/// The interval at which members are checked for missing replies.
const WATCH_PERIOD: Duration = Duration::from_millis(100);

/// The number of checks between two sweeps of idle connections.
const SWEEP_TICKS: u32 = 2;

/// How long statements may be in flight without any reply before the member is
/// probed. Ordinary statements take up to 300 ms.
const PROBE_AFTER: Duration = Duration::from_millis(250);

/// A member that replied within this time is not probed at the request of other hosts.
const RECENT_ANSWER: Duration = Duration::from_millis(150);

/// The timeout of a probe, which connects and requests the status.
const PROBE_TIMEOUT: Duration = Duration::from_millis(350);

struct Shared {
    codec: Codec,
    directory: Directory,
    hosts: Cell<usize>,
    pools: RefCell<HashMap<MemberName, Rc<MemberPool>>>,
    probes: RefCell<HashMap<MemberName, Task<()>>>,
}

/// The connection pools of all members, shared between clones.
#[derive(Clone)]
pub struct Pools {
    shared: Rc<Shared>,
    _watch_task: Rc<Task<()>>,
}

impl Pools {
    /// Creates the pools and starts the task that probes members and removes the
    /// pools of members that are no longer in the directory.
    pub fn spawn(codec: Codec, directory: Directory) -> Self {
        let shared = Rc::new(Shared {
            codec,
            directory,
            hosts: Cell::new(1),
            pools: RefCell::default(),
            probes: RefCell::default(),
        });
        Self {
            _watch_task: Rc::new(spawn(watch(Rc::clone(&shared)))),
            shared,
        }
    }

    /// Sets the number of hosts among which the members' connections are divided.
    pub fn set_host_count(&self, hosts: usize) {
        self.shared.hosts.set(hosts.max(1));
    }

    /// Returns the pool of a member. A member that has restarted or moved to another
    /// address gets a new pool.
    pub fn pool(&self, member: &Rc<Member>) -> Rc<MemberPool> {
        let mut pools = self.shared.pools.borrow_mut();
        if let Some(pool) = pools.get(&member.name)
            && pool.member().address == member.address
            && pool.member().born == member.born
        {
            return Rc::clone(pool);
        }
        let pool = Rc::new(MemberPool::new(self.shared.codec, Rc::clone(member)));
        pool.set_share(self.shared.share(&member.group));
        pools.insert(member.name.clone(), Rc::clone(&pool));
        pool
    }

    /// Returns the members that are suspected to be unreachable, or to which commits
    /// have been in flight without a reply for longer than `commit_limit`.
    pub fn suspects(&self, commit_limit: Duration) -> Vec<MemberName> {
        let pools = self.shared.pools.borrow();
        let is_suspect = |pool: &&Rc<MemberPool>| {
            let health = &pool.health;
            health.is_suspected()
                || health
                    .commits_stalled_for()
                    .is_some_and(|span| span > commit_limit)
        };
        pools
            .values()
            .filter(is_suspect)
            .map(|pool| pool.member().name.clone())
            .collect()
    }

    /// Returns the number of statements that wait for their turn at a member.
    pub fn waiting(&self) -> usize {
        let pools = self.shared.pools.borrow();
        pools.values().map(|pool| pool.waiting()).sum()
    }

    /// Probes members that other hosts cannot reach.
    ///
    /// A host with no statements in flight to a member would not notice its
    /// failure otherwise.
    pub fn probe_members(&self, members: &[MemberName]) {
        for name in members {
            let Some(member) = self.shared.directory.member(name) else {
                continue;
            };
            let pool = self.pool(&member);
            if pool.health.since_last_answer() > RECENT_ANSWER && !pool.health.is_suspected() {
                probe(&self.shared, pool);
            }
        }
    }

    /// Sends a control command to a member over a new connection.
    ///
    /// # Errors
    ///
    /// Returns `ConnectionLost` if the member cannot be reached or does not reply
    /// within `limit`, `QueueFull` if it is too busy, `StatementFailed` if the
    /// command failed there, and `Protocol` if the reply is malformed.
    pub async fn control(
        &self,
        member: &Rc<Member>,
        command: Command,
        limit: Duration,
    ) -> Result<MemberStatus> {
        self.shared.control(member, command, limit).await
    }

    /// Requests a member's status over an open connection, which is returned to its pool
    /// afterwards.
    ///
    /// # Errors
    ///
    /// See [`Pools::control`].
    pub async fn status(
        &self,
        mut connection: PooledConnection,
        limit: Duration,
    ) -> Result<MemberStatus> {
        let call = timeout(limit, connection.call(Command::Status)).await;
        let reply = call.unwrap_or_else(|_| Err(no_reply()))?;
        connection.return_to_pool();
        self.shared.read_status(&reply)
    }

    /// Opens a connection to a member and leaves it idle in the pool.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`MemberPool::acquire`].
    pub async fn open_idle(&self, pool: &Rc<MemberPool>, limit: Duration) -> Result<()> {
        if pool.is_paused() {
            bail!(ErrorKind::QueueFull);
        }
        let organisation = self.shared.control_organisation();
        let connection = pool.open_connection(&organisation, now() + limit).await?;
        connection.return_to_pool();
        Ok(())
    }
}

impl fmt::Debug for Pools {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Pools")
    }
}

impl Shared {
    fn share(&self, group: &GroupName) -> usize {
        let configuration = self.directory.configuration();
        let limit = configuration
            .as_ref()
            .and_then(|configuration| configuration.groups.get(group))
            .map_or(1, |config| config.connections);
        limit.saturating_mul(KEPT_THOUSANDTHS) / self.hosts.get()
    }

    /// Returns the organisation for control connections. Members require one in the
    /// handshake; which one does not matter.
    fn control_organisation(&self) -> Organisation {
        let configuration = self.directory.configuration();
        let first = configuration
            .as_ref()
            .and_then(|configuration| configuration.organisations.keys().min().cloned());
        first.unwrap_or_else(|| Organisation::from("burdockslip"))
    }

    async fn control(
        &self,
        member: &Rc<Member>,
        command: Command,
        limit: Duration,
    ) -> Result<MemberStatus> {
        let organisation = self.control_organisation();
        let exchange = async {
            let mut connection =
                Connection::open(self.codec, Rc::clone(member), organisation).await?;
            connection.call(command).await
        };
        let reply = timeout(limit, exchange).await;
        let reply = reply.unwrap_or_else(|_| Err(no_reply()))?;
        self.read_status(&reply)
    }

    fn read_status(&self, reply: &MemberReply) -> Result<MemberStatus> {
        match (&reply.result, reply.rows.first()) {
            (Ok(_), Some(row)) => (self.codec.read_status)(row),
            (Ok(_), None) => bail!(ErrorKind::Protocol),
            (Err(error), _) if error.did_not_run() => bail!(ErrorKind::QueueFull),
            (Err(_), _) => bail!(ErrorKind::StatementFailed),
        }
    }
}

fn no_reply() -> Report<ErrorKind> {
    Report::new(ErrorKind::ConnectionLost).attach("no reply before the timeout")
}

async fn watch(shared: Rc<Shared>) {
    let mut ticks = 0_u32;
    loop {
        sleep(WATCH_PERIOD).await;
        ticks = ticks.wrapping_add(1);
        let pools: Vec<_> = shared.pools.borrow().values().cloned().collect();
        for pool in pools {
            let is_known = shared
                .directory
                .member(&pool.member().name)
                .is_some_and(|member| {
                    member.address == pool.member().address && member.born == pool.member().born
                });
            if !is_known {
                pool.clear();
                shared
                    .pools
                    .borrow_mut()
                    .retain(|_, kept| !Rc::ptr_eq(kept, &pool));
                continue;
            }
            if ticks.is_multiple_of(SWEEP_TICKS) {
                pool.set_share(shared.share(&pool.member().group));
                pool.sweep();
            }
            let is_silent = pool
                .health
                .unanswered_for()
                .is_some_and(|span| span > PROBE_AFTER);
            if is_silent || pool.health.is_suspected() {
                probe(&shared, pool);
            }
        }
    }
}

/// Starts a probe of a member unless one is running.
fn probe(shared: &Rc<Shared>, pool: Rc<MemberPool>) {
    let name = pool.member().name.clone();
    if shared.probes.borrow().contains_key(&name) {
        return;
    }
    let task = spawn(run_probe(Rc::clone(shared), pool));
    shared.probes.borrow_mut().insert(name, task);
}

async fn run_probe(shared: Rc<Shared>, pool: Rc<MemberPool>) {
    let member = pool.member();
    let outcome = shared.control(member, Command::Status, PROBE_TIMEOUT).await;
    let was_suspected = pool.health.is_suspected();
    match outcome {
        Ok(_) => pool.health.record_answer(None),
        // A member that rejects a command because it is busy is alive.
        Err(report) if *report.current_context() == ErrorKind::QueueFull => {
            pool.health.record_answer(None);
        }
        Err(report) => {
            pool.health.mark_suspected();
            debug!(member = %member.name, error = ?report, "probe failed");
        }
    }
    let is_suspected = pool.health.is_suspected();
    if was_suspected != is_suspected {
        info!(
            member = %member.name,
            group = %member.group,
            address = %member.address,
            reachable = !is_suspected,
            "member reachability changed"
        );
    }
    if is_suspected {
        pool.clear();
    }
    shared.probes.borrow_mut().remove(&member.name);
}
