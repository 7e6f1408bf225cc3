//! Keeps the connections to one member.

use std::cell::{Cell, RefCell};
use std::ops::{Deref, DerefMut};
use std::rc::Rc;
use std::time::Duration;

use burdockslip_directory::Member;
use burdockslip_runtime::{Instant, Signal, timeout};
use burdockslip_statement::Codec;
use burdockslip_types::{ErrorKind, Organisation, Result};
use error_stack::bail;

use crate::{ConnectPacer, Connection, Health, SessionState};

/// Bounds the time to open a connection; members take about 12 ms, and more
/// when their slots are taken.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// How often a host that keeps to its share may open one connection more, in sweeps.
const GROWTH_SWEEPS: u32 = 20;

/// Connections above the share that a host may always try to open, because a
/// share of one would make transactions wait for each other.
const SURPLUS: usize = 1;

/// One connection, as a share in thousandths.
const ONE: usize = 1_000;

/// Closes an unused connection after this time, below the members' own limit.
const IDLE_LIMIT: Duration = Duration::from_secs(30);

/// Keeps the connections of this host to one member.
#[derive(Debug)]
pub struct MemberPool {
    codec: Codec,
    member: Rc<Member>,
    idle: RefCell<Vec<Connection>>,
    open: Cell<usize>,
    /// In thousandths of a connection.
    share: Cell<usize>,
    surplus: Cell<usize>,
    sweeps: Cell<u32>,
    returned: Signal,
    pacer: ConnectPacer,
    /// The state of the member as seen by this host.
    pub health: Health,
}

impl MemberPool {
    /// Builds an empty pool.
    pub fn new(codec: Codec, member: Rc<Member>) -> Self {
        Self {
            codec,
            member,
            idle: RefCell::default(),
            open: Cell::new(0),
            share: Cell::new(ONE),
            surplus: Cell::new(1),
            sweeps: Cell::new(0),
            returned: Signal::default(),
            pacer: ConnectPacer::default(),
            health: Health::default(),
        }
    }

    /// Returns the member.
    pub const fn member(&self) -> &Rc<Member> {
        &self.member
    }

    /// Returns whether the pool has an idle connection for an organisation.
    pub fn has_idle(&self, organisation: &Organisation) -> bool {
        let idle = self.idle.borrow();
        idle.iter()
            .any(|connection| connection.organisation() == organisation)
    }

    /// Returns whether the member has refused connections just now.
    pub fn is_paused(&self) -> bool {
        self.pacer.is_paused()
    }

    /// Sets this host's part of the member's connections, in thousandths; it is
    /// below one connection where there are more hosts than connections.
    pub fn set_share(&self, thousandths: usize) {
        self.share.set(thousandths);
    }

    /// Returns the connections that this host keeps for as long as they last.
    const fn kept(&self) -> usize {
        self.share.get() / ONE
    }

    /// Hosts may use more than they keep while the member has connections left.
    fn limit(&self) -> usize {
        self.kept().max(1) + self.surplus.get()
    }

    /// Lends a connection for an organisation, preferably one with the
    /// session's values; waits until `patience` for one to be returned, and
    /// until `deadline` for a new one, which waits for a slot of the member.
    ///
    /// # Errors
    ///
    /// Returns `QueueFull` if none becomes free in time, and the errors of
    /// [`Connection::open`].
    pub async fn acquire(
        self: &Rc<Self>,
        organisation: &Organisation,
        state: &SessionState,
        patience: Instant,
        deadline: Instant,
    ) -> Result<PooledConnection> {
        loop {
            let seen = self.returned.epoch();
            if let Some(connection) = self.take_idle(organisation, state) {
                return Ok(self.lent(connection));
            }
            // Closing an idle connection would make no room at the member.
            if self.pacer.is_paused() {
                bail!(ErrorKind::QueueFull);
            }
            if self.open.get() >= self.limit() {
                self.close_idle();
            }
            if self.open.get() < self.limit() {
                return self.open(organisation, deadline).await;
            }
            let wait = timeout(patience.remaining(), self.returned.changed(seen));
            if wait.await.is_err() {
                bail!(ErrorKind::QueueFull);
            }
        }
    }

    async fn open(
        self: &Rc<Self>,
        organisation: &Organisation,
        deadline: Instant,
    ) -> Result<PooledConnection> {
        let place = Place::new(self);
        let span = CONNECT_TIMEOUT.min(deadline.remaining());
        let opening = Connection::open(self.codec, Rc::clone(&self.member), organisation.clone());
        match timeout(span, opening).await {
            Ok(Ok(connection)) => {
                self.health.record_answer(None);
                self.pacer.record_success();
                Ok(PooledConnection {
                    connection: Some(connection),
                    place,
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
                Err(report)
            }
            Err(_) => {
                if span == CONNECT_TIMEOUT {
                    self.health.mark_suspected();
                }
                bail!(ErrorKind::ConnectionLost)
            }
        }
    }

    fn lent(self: &Rc<Self>, connection: Connection) -> PooledConnection {
        PooledConnection {
            connection: Some(connection),
            place: Place(Rc::clone(self)),
        }
    }

    fn take_idle(&self, organisation: &Organisation, state: &SessionState) -> Option<Connection> {
        loop {
            let mut idle = self.idle.borrow_mut();
            let fits = |connection: &Connection| connection.organisation() == organisation;
            let best = idle
                .iter()
                .rposition(|connection| fits(connection) && connection.matches_values(state))
                .or_else(|| idle.iter().rposition(fits))?;
            let connection = idle.remove(best);
            if connection.is_quiet() {
                return Some(connection);
            }
            drop(idle);
            self.release();
        }
    }

    /// Closes the connection that has been unused for longest.
    fn close_idle(&self) {
        let mut idle = self.idle.borrow_mut();
        if idle.is_empty() {
            return;
        }
        idle.remove(0);
        drop(idle);
        self.release();
    }

    /// Closes connections that were closed by the member or not used for long,
    /// those above this host's share sooner.
    pub fn sweep(&self) {
        let sweeps = self.sweeps.get().wrapping_add(1);
        self.sweeps.set(sweeps);
        if sweeps.is_multiple_of(GROWTH_SWEEPS) {
            self.surplus.set((self.surplus.get() + 1).min(SURPLUS));
        }
        let mut above = self.open.get().saturating_sub(self.kept());
        let limit = self.pacer.idle_timeout(self.share.get() % ONE, IDLE_LIMIT);
        let mut idle = self.idle.borrow_mut();
        let before = idle.len();
        idle.retain(|connection| {
            let unused = connection.last_used().elapsed();
            let is_surplus = above > 0 && unused > limit;
            let is_kept = !is_surplus && unused < IDLE_LIMIT && connection.is_quiet();
            above -= usize::from(!is_kept && above > 0);
            is_kept
        });
        let closed = before - idle.len();
        drop(idle);
        (0..closed).for_each(|_| self.release());
    }

    /// Closes all idle connections.
    pub fn clear(&self) {
        while !self.idle.borrow().is_empty() {
            self.close_idle();
        }
    }

    fn release(&self) {
        self.open.set(self.open.get().saturating_sub(1));
        self.returned.notify();
    }
}

/// Counts an open connection until dropped.
#[derive(Debug)]
struct Place(Rc<MemberPool>);

impl Place {
    fn new(pool: &Rc<MemberPool>) -> Self {
        pool.open.set(pool.open.get() + 1);
        Self(Rc::clone(pool))
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.0.release();
    }
}

/// Lends a connection; it is closed when dropped and reused when given back.
#[derive(Debug)]
pub struct PooledConnection {
    connection: Option<Connection>,
    place: Place,
}

impl PooledConnection {
    /// Returns the pool of the member.
    pub fn pool(&self) -> &Rc<MemberPool> {
        &self.place.0
    }

    /// Gives the connection back for reuse; it must be outside of transactions.
    pub fn return_to_pool(mut self) {
        let pool = Rc::clone(&self.place.0);
        if let Some(connection) = self.connection.take() {
            pool.open.set(pool.open.get() + 1);
            pool.idle.borrow_mut().push(connection);
        }
    }
}

impl Deref for PooledConnection {
    type Target = Connection;

    fn deref(&self) -> &Connection {
        self.connection
            .as_ref()
            .expect("a lent connection is there until given back")
    }
}

impl DerefMut for PooledConnection {
    fn deref_mut(&mut self) -> &mut Connection {
        self.connection
            .as_mut()
            .expect("a lent connection is there until given back")
    }
}
