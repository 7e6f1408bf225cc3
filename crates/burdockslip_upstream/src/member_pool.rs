//! Keeps the connections to one member.

use std::cell::{Cell, RefCell};
use std::ops::{Deref, DerefMut};
use std::rc::Rc;
use std::time::Duration;

use burdockslip_directory::Member;
use burdockslip_runtime::{Instant, Signal, now, timeout};
use burdockslip_statement::Dialect;
use burdockslip_types::{ErrorKind, Organisation, Result};
use error_stack::bail;

use crate::{Connection, Health, SessionState};

/// Bounds the time to open a connection; members take about 12 ms, and more
/// when their slots are taken.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a host keeps to its share after a member has run out of connections.
const SHARE_PERIOD: Duration = Duration::from_secs(3);

/// Closes an unused connection after this time, below the members' own limit.
const IDLE_LIMIT: Duration = Duration::from_secs(30);

/// Keeps the connections of this host to one member.
#[derive(Debug)]
pub struct MemberPool {
    dialect: Dialect,
    member: Rc<Member>,
    idle: RefCell<Vec<Connection>>,
    open: Cell<usize>,
    share: Cell<usize>,
    limited: Cell<Option<Instant>>,
    returned: Signal,
    /// The state of the member as seen by this host.
    pub health: Health,
}

impl MemberPool {
    /// Builds an empty pool.
    pub fn new(dialect: Dialect, member: Rc<Member>) -> Self {
        Self {
            dialect,
            member,
            idle: RefCell::default(),
            open: Cell::new(0),
            share: Cell::new(1),
            limited: Cell::new(None),
            returned: Signal::default(),
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
        idle.iter().any(|connection| connection.organisation() == organisation)
    }

    /// Returns whether a connection can be had without waiting for another one.
    pub fn has_room(&self) -> bool {
        !self.idle.borrow().is_empty() || self.open.get() < self.limit()
    }

    /// Sets this host's part of the member's connections.
    pub fn set_share(&self, share: usize) {
        self.share.set(share.max(1));
    }

    /// Hosts may take twice their share while the member has connections left,
    /// because load is spread unevenly.
    fn limit(&self) -> usize {
        let is_limited = self.limited.get().is_some_and(|until| !until.is_past());
        if is_limited {
            self.share.get()
        } else {
            self.share.get() * 2
        }
    }

    /// Lends a connection for an organisation, preferably one with the
    /// session's values; waits until `deadline` for one to be returned.
    ///
    /// # Errors
    ///
    /// Returns `QueueFull` if none becomes free in time, and the errors of
    /// [`Connection::open`].
    pub async fn lend(
        self: &Rc<Self>,
        organisation: &Organisation,
        state: &SessionState,
        deadline: Instant,
    ) -> Result<Lent> {
        loop {
            let seen = self.returned.epoch();
            if let Some(connection) = self.take_idle(organisation, state) {
                return Ok(self.lent(connection));
            }
            if self.open.get() >= self.limit() {
                self.close_idle();
            }
            if self.open.get() < self.limit() {
                return self.open(organisation, deadline).await;
            }
            let wait = timeout(deadline.remaining(), self.returned.changed(seen));
            if wait.await.is_err() {
                bail!(ErrorKind::QueueFull);
            }
        }
    }

    async fn open(self: &Rc<Self>, organisation: &Organisation, deadline: Instant) -> Result<Lent> {
        let place = Place::new(self);
        let span = CONNECT_TIMEOUT.min(deadline.remaining());
        let opening = Connection::open(self.dialect, Rc::clone(&self.member), organisation.clone());
        match timeout(span, opening).await {
            Ok(Ok(connection)) => {
                self.health.hear(None);
                Ok(Lent {
                    connection: Some(connection),
                    place,
                })
            }
            Ok(Err(report)) => {
                match report.current_context() {
                    ErrorKind::QueueFull => self.limited.set(Some(now() + SHARE_PERIOD)),
                    _ => self.health.suspect(),
                }
                Err(report)
            }
            Err(_) => {
                if span == CONNECT_TIMEOUT {
                    self.health.suspect();
                }
                bail!(ErrorKind::ConnectionLost)
            }
        }
    }

    fn lent(self: &Rc<Self>, connection: Connection) -> Lent {
        Lent {
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
                .rposition(|connection| fits(connection) && connection.has_values(state))
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
    /// and those above this host's share.
    pub fn sweep(&self) {
        let mut idle = self.idle.borrow_mut();
        let before = idle.len();
        idle.retain(|connection| connection.is_quiet() && connection.used().elapsed() < IDLE_LIMIT);
        let closed = before - idle.len();
        drop(idle);
        (0..closed).for_each(|_| self.release());
        while self.open.get() > self.share.get() && !self.idle.borrow().is_empty() {
            self.close_idle();
        }
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
pub struct Lent {
    connection: Option<Connection>,
    place: Place,
}

impl Lent {
    /// Returns the pool of the member.
    pub fn pool(&self) -> &Rc<MemberPool> {
        &self.place.0
    }

    /// Gives the connection back for reuse; it must be outside of transactions.
    pub fn give_back(mut self) {
        let pool = Rc::clone(&self.place.0);
        if let Some(connection) = self.connection.take() {
            pool.open.set(pool.open.get() + 1);
            pool.idle.borrow_mut().push(connection);
        }
    }
}

impl Deref for Lent {
    type Target = Connection;

    fn deref(&self) -> &Connection {
        self.connection.as_ref().expect("a lent connection is there until given back")
    }
}

impl DerefMut for Lent {
    fn deref_mut(&mut self) -> &mut Connection {
        self.connection.as_mut().expect("a lent connection is there until given back")
    }
}
