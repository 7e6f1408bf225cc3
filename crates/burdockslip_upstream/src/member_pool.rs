//! The connection pool of one member.

use std::cell::{Cell, RefCell};
use std::ops::{Deref, DerefMut};
use std::rc::Rc;
use std::time::Duration;

use burdockslip_directory::Member;
use burdockslip_dispatch::{Claim, Window};
use burdockslip_runtime::{Instant, Signal, now, timeout};
use burdockslip_statement::Codec;
use burdockslip_types::{ErrorKind, Organisation, Result};
use error_stack::{Report, bail};

use crate::turns::{Charge, Turns};
use crate::{ConnectPacer, Connection, Health, SessionState};

/// The timeout for opening a connection. A member takes about 12 ms, and longer
/// if all of its slots are busy.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The number of sweeps after which a pool whose surplus was reset may try to
/// open one connection above its share again.
const GROWTH_SWEEPS: u32 = 20;

/// The maximum number of connections above its share that a host tries to open.
/// Without any surplus, a host whose share is one connection would run its
/// transactions one after the other.
const MAX_SURPLUS: usize = 1;

/// One connection, in thousandths, the unit of shares.
const ONE_CONNECTION: usize = 1_000;

/// How long an idle connection is kept at most, below the idle timeout of the members.
const IDLE_LIMIT: Duration = Duration::from_secs(30);

/// A pool of the connections of this host to one member.
#[derive(Debug)]
pub struct MemberPool {
    codec: Codec,
    member: Rc<Member>,
    idle: RefCell<Vec<Connection>>,
    open_count: Cell<usize>,
    /// The share of this host, in thousandths of a connection.
    share: Cell<usize>,
    surplus: Cell<usize>,
    sweeps: Cell<u32>,
    returned: Signal,
    pacer: ConnectPacer,
    turns: Turns,
    /// How many statements of this host the member can run at a time.
    pub window: Window,
    /// The health of the member as seen by this host.
    pub health: Health,
}

impl MemberPool {
    /// Creates an empty pool with a share of one connection.
    pub fn new(codec: Codec, member: Rc<Member>) -> Self {
        Self {
            window: Window::new(member.slots),
            turns: Turns::default(),
            codec,
            member,
            idle: RefCell::default(),
            open_count: Cell::new(0),
            share: Cell::new(ONE_CONNECTION),
            surplus: Cell::new(1),
            sweeps: Cell::new(0),
            returned: Signal::default(),
            pacer: ConnectPacer::default(),
            health: Health::default(),
        }
    }

    /// Returns the member to which the connections are opened.
    pub const fn member(&self) -> &Rc<Member> {
        &self.member
    }

    /// Returns whether the pool has an idle connection for an organisation.
    pub fn has_idle(&self, organisation: &Organisation) -> bool {
        let idle = self.idle.borrow();
        idle.iter()
            .any(|connection| connection.organisation() == organisation)
    }

    /// Returns whether this host has a connection to the member, idle or in use.
    pub fn is_open(&self) -> bool {
        self.open_count.get() > 0
    }

    /// Returns whether this host's share of the member's connections is at least one
    /// connection.
    pub fn has_whole_share(&self) -> bool {
        self.kept_count() > 0
    }

    /// Returns whether opening connections is paused because the member recently
    /// refused one.
    pub fn is_paused(&self) -> bool {
        self.pacer.is_paused()
    }

    /// Sets this host's share of the member's connections, in thousandths of a
    /// connection. It is less than one connection if there are more hosts than
    /// connections.
    pub fn set_share(&self, thousandths: usize) {
        self.share.set(thousandths);
    }

    /// Returns the number of connections that this host keeps up to the idle limit.
    const fn kept_count(&self) -> usize {
        self.share.get() / ONE_CONNECTION
    }

    /// Returns the number of connections that this host may open. It exceeds the
    /// number that it keeps for as long as the member has connections left.
    fn open_limit(&self) -> usize {
        self.kept_count().max(1) + self.surplus.get()
    }

    /// Acquires a connection for an organisation, preferably one that already has
    /// the session variables of `state`.
    ///
    /// Waits until `wait_until` for a connection to be returned to the pool, and
    /// until `deadline` for a new one to open, which may have to wait for a slot
    /// of the member.
    ///
    /// # Errors
    ///
    /// Returns `QueueFull` if no connection becomes available in time, the member is busy
    /// or opening is paused, and `ConnectionLost` if a new one does not open. No other
    /// kind is returned: callers pass it on to clients, and what a member answers to this
    /// host says nothing about them.
    pub async fn acquire(
        self: &Rc<Self>,
        organisation: &Organisation,
        state: &SessionState,
        wait_until: Instant,
        deadline: Instant,
    ) -> Result<PooledConnection> {
        loop {
            let seen = self.returned.epoch();
            if let Some(connection) = self.take_idle(organisation, state) {
                return Ok(self.reuse(connection));
            }
            // Closing an idle connection would not make room at the member.
            if self.pacer.is_paused() {
                bail!(ErrorKind::QueueFull);
            }
            if self.open_count.get() >= self.open_limit() {
                self.close_idle();
            }
            if self.open_count.get() < self.open_limit() {
                return self.open_connection(organisation, deadline).await;
            }
            let wait = timeout(wait_until.remaining(), self.returned.changed(seen));
            if wait.await.is_err() {
                bail!(ErrorKind::QueueFull);
            }
        }
    }

    /// Acquires a connection in the order of rank, organisation and remaining time; see
    /// `docs/design/order-under-pressure.md`.
    ///
    /// # Errors
    ///
    /// See [`MemberPool::acquire`]. `QueueFull` is returned at once if the statement would
    /// not get its turn by `claim.latest`.
    pub async fn acquire_in_turn(
        self: &Rc<Self>,
        claim: &Claim,
        state: &SessionState,
        deadline: Instant,
    ) -> Result<PooledConnection> {
        let mut charge = Turns::start(claim);
        // Statements that came before have the first turn.
        let mut is_next = self.turns.len() == 0;
        while !(is_next && self.has_room()) {
            if self.pacer.is_paused() && self.open_count.get() == 0 {
                bail!(ErrorKind::QueueFull);
            }
            let limit = u32::try_from(self.open_limit()).unwrap_or(u32::MAX);
            let room = f64::from(limit).min(self.window.width());
            charge = self.turns.wait(claim, room).await?;
            is_next = true;
        }
        let organisation = &claim.organisation;
        let acquired = self.acquire(organisation, state, now(), deadline).await;
        match acquired {
            Ok(mut connection) => {
                connection.guard.charge = Some(charge);
                Ok(connection)
            }
            Err(report) => {
                self.wake_next();
                Err(report)
            }
        }
    }

    /// Returns the number of statements that wait for their turn.
    pub fn waiting(&self) -> usize {
        self.turns.len()
    }

    /// Wakes the statement whose turn it is if there is room for it.
    pub fn wake_next(&self) {
        if self.turns.len() > 0 && self.has_room() {
            self.turns.wake_next();
        }
    }

    /// Returns whether one more statement may use a connection.
    fn has_room(&self) -> bool {
        let is_available =
            !self.idle.borrow().is_empty() || self.open_count.get() < self.open_limit();
        is_available && self.window.has_room(self.health.in_flight())
    }

    /// Takes an idle connection of any organisation that has been open since `moment`
    /// or longer.
    pub fn take_open_since(self: &Rc<Self>, moment: Instant) -> Option<PooledConnection> {
        let mut idle = self.idle.borrow_mut();
        let index = idle
            .iter()
            .rposition(|connection| connection.opened() <= moment && connection.is_quiet())?;
        let connection = idle.remove(index);
        drop(idle);
        Some(self.reuse(connection))
    }

    pub(crate) async fn open_connection(
        self: &Rc<Self>,
        organisation: &Organisation,
        deadline: Instant,
    ) -> Result<PooledConnection> {
        let guard = OpenGuard::new(self);
        let limit = CONNECT_TIMEOUT.min(deadline.remaining());
        let opening = Connection::open(self.codec, Rc::clone(&self.member), organisation.clone());
        match timeout(limit, opening).await {
            Ok(Ok(connection)) => {
                self.health.record_answer(None);
                self.pacer.record_success();
                Ok(PooledConnection {
                    connection: Some(connection),
                    guard,
                })
            }
            Ok(Err(report)) => {
                match report.current_context() {
                    ErrorKind::QueueFull => {
                        self.surplus.set(0);
                        self.pacer.record_refusal();
                    }
                    _ => self.health.mark_suspected(),
                }
                Err(into_pool_error(report))
            }
            Err(_) => {
                if limit == CONNECT_TIMEOUT {
                    self.health.mark_suspected();
                }
                bail!(ErrorKind::ConnectionLost)
            }
        }
    }

    fn reuse(self: &Rc<Self>, connection: Connection) -> PooledConnection {
        PooledConnection {
            connection: Some(connection),
            guard: OpenGuard {
                pool: Rc::clone(self),
                charge: None,
            },
        }
    }

    fn take_idle(&self, organisation: &Organisation, state: &SessionState) -> Option<Connection> {
        loop {
            let mut idle = self.idle.borrow_mut();
            let matches = |connection: &Connection| connection.organisation() == organisation;
            let best = idle
                .iter()
                .rposition(|connection| matches(connection) && connection.matches_values(state))
                .or_else(|| idle.iter().rposition(matches))?;
            let connection = idle.remove(best);
            if connection.is_quiet() {
                return Some(connection);
            }
            drop(idle);
            self.record_closed();
        }
    }

    /// Closes the connection that has been idle for the longest time, if any.
    fn close_idle(&self) {
        let mut idle = self.idle.borrow_mut();
        if idle.is_empty() {
            return;
        }
        idle.remove(0);
        drop(idle);
        self.record_closed();
    }

    /// Closes connections that the member has closed or that have been idle for too
    /// long; the limit is lower for those above this host's share.
    pub fn sweep(&self) {
        let sweeps = self.sweeps.get().wrapping_add(1);
        self.sweeps.set(sweeps);
        if sweeps.is_multiple_of(GROWTH_SWEEPS) {
            self.surplus.set((self.surplus.get() + 1).min(MAX_SURPLUS));
        }
        let mut excess = self.open_count.get().saturating_sub(self.kept_count());
        let limit = self
            .pacer
            .idle_timeout(self.share.get() % ONE_CONNECTION, IDLE_LIMIT);
        let mut idle = self.idle.borrow_mut();
        let count = idle.len();
        idle.retain(|connection| {
            let idle_for = connection.last_used().elapsed();
            let is_excess = excess > 0 && idle_for > limit;
            let is_kept = !is_excess && idle_for < IDLE_LIMIT && connection.is_quiet();
            excess -= usize::from(!is_kept && excess > 0);
            is_kept
        });
        let closed = count - idle.len();
        drop(idle);
        (0..closed).for_each(|_| self.record_closed());
    }

    /// Closes all idle connections.
    pub fn clear(&self) {
        while !self.idle.borrow().is_empty() {
            self.close_idle();
        }
    }

    fn record_closed(&self) {
        self.open_count.set(self.open_count.get().saturating_sub(1));
        self.returned.notify();
        self.wake_next();
    }
}

/// Maps an error of opening a connection to one that a pool may return.
fn into_pool_error(report: Report<ErrorKind>) -> Report<ErrorKind> {
    match report.current_context() {
        ErrorKind::QueueFull | ErrorKind::ConnectionLost => report,
        _ => report.change_context(ErrorKind::ConnectionLost),
    }
}

/// Counts a connection as open until it is dropped.
#[derive(Debug)]
struct OpenGuard {
    pool: Rc<MemberPool>,
    /// What its use is charged to, if statements take turns.
    charge: Option<Charge>,
}

impl OpenGuard {
    fn new(pool: &Rc<MemberPool>) -> Self {
        pool.open_count.set(pool.open_count.get() + 1);
        Self {
            pool: Rc::clone(pool),
            charge: None,
        }
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        if let Some(charge) = self.charge.take() {
            self.pool.turns.finish(&charge);
        }
        self.pool.record_closed();
    }
}

/// A connection from a [`MemberPool`]. It is closed when dropped and reused when
/// returned to the pool.
#[derive(Debug)]
pub struct PooledConnection {
    connection: Option<Connection>,
    guard: OpenGuard,
}

impl PooledConnection {
    /// Returns the pool from which the connection was acquired.
    pub fn pool(&self) -> &Rc<MemberPool> {
        &self.guard.pool
    }

    /// Returns how long the statement waited for its turn, or `None` if statements do not
    /// take turns.
    pub fn waited(&self) -> Option<Duration> {
        self.guard.charge.as_ref().map(|charge| charge.waited)
    }

    /// Returns the connection to the pool for reuse, or closes it if it takes much memory.
    /// It must not be in a transaction.
    pub fn return_to_pool(mut self) {
        if self.is_bulky() {
            return;
        }
        let pool = Rc::clone(&self.guard.pool);
        if let Some(connection) = self.connection.take() {
            pool.open_count.set(pool.open_count.get() + 1);
            pool.idle.borrow_mut().push(connection);
        }
    }
}

impl Deref for PooledConnection {
    type Target = Connection;

    fn deref(&self) -> &Connection {
        self.connection
            .as_ref()
            .expect("the connection is present until returned to the pool")
    }
}

impl DerefMut for PooledConnection {
    fn deref_mut(&mut self) -> &mut Connection {
        self.connection
            .as_mut()
            .expect("the connection is present until returned to the pool")
    }
}
