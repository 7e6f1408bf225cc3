//! The connection pool of one database.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::ops::{Deref, DerefMut};
use std::rc::Rc;
use std::time::Duration;

use burdockslip_catalogue::{GroupEntry, MemberEntry};
use burdockslip_runtime::{Instant, now, spawn, timeout, timeout_at};
use burdockslip_types::{ErrorKind, Result};
use burdockslip_wire::UpstreamStream;
use error_stack::Report;
use futures::channel::oneshot;

use crate::options::Options;

/// The percentage of a database's connection limit that its holder may use.
///
/// The rest is left for watchers, and for another host that briefly acts as the
/// holder at the same time (`docs/design.md`, section 2).
const HOLDER_PERCENT: usize = 70;

/// The timeout of the cancel request for an abandoned statement.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// Returns the maximum number of connections of a holder to a database that
/// accepts `connections` in total.
pub(super) fn connection_limit(connections: usize) -> usize {
    (connections * HOLDER_PERCENT / 100).max(1)
}

/// A pool of connections to one database.
#[derive(Debug, Clone)]
pub(super) struct Pool {
    shared: Rc<Shared>,
}

#[derive(Debug)]
struct Shared {
    address: SocketAddr,
    user: String,
    database: String,
    limit: usize,
    options: Rc<Options>,
    idle: RefCell<Vec<UpstreamStream>>,
    /// The number of connections that are idle, in use or being opened.
    open: Cell<usize>,
    waiting: RefCell<VecDeque<oneshot::Sender<()>>>,
}

/// A connection in use.
///
/// Dropping it closes the connection; [`PooledConnection::recycle`] returns it
/// to the pool instead.
#[derive(Debug)]
pub(super) struct PooledConnection {
    shared: Rc<Shared>,
    stream: Option<UpstreamStream>,
    /// The names of the prepared statements to close when the transaction ends.
    pub(super) statements: BTreeSet<String>,
    /// Whether the database is running a unit. Closing the connection alone
    /// would not stop it, so a drop also sends a cancel request.
    pub(super) is_busy: bool,
}

impl Pool {
    /// Creates an empty pool of at most `limit` connections.
    pub(super) fn open(
        group: &GroupEntry,
        member: &MemberEntry,
        limit: usize,
        options: &Rc<Options>,
    ) -> Self {
        Self {
            shared: Rc::new(Shared {
                address: member.address,
                user: group.user.clone(),
                database: group.database.clone(),
                limit,
                options: Rc::clone(options),
                idle: RefCell::default(),
                open: Cell::new(0),
                waiting: RefCell::default(),
            }),
        }
    }

    /// Takes an idle connection or opens a new one; waits if the pool is exhausted.
    ///
    /// # Errors
    ///
    /// Returns `ConnectionLost` if the database refuses the connection or does
    /// not accept it in time, `DeadlineExceeded` if all connections stay in use
    /// until the deadline.
    pub(super) async fn take(&self, deadline: Instant) -> Result<PooledConnection> {
        loop {
            if let Some(stream) = self.take_idle() {
                return Ok(self.lend(stream));
            }
            if self.shared.open.get() < self.shared.limit {
                return self.connect(deadline).await;
            }
            let (sender, receiver) = oneshot::channel();
            self.shared.waiting.borrow_mut().push_back(sender);
            timeout_at(deadline, receiver)
                .await
                .map_err(|_| Report::new(ErrorKind::DeadlineExceeded))?
                .map_err(|_| Report::new(ErrorKind::ConnectionLost))?;
        }
    }

    /// Takes an idle connection.
    ///
    /// A readable connection is dropped: the database has closed it or has sent
    /// bytes that belong to no request.
    fn take_idle(&self) -> Option<UpstreamStream> {
        loop {
            let stream = self.shared.idle.borrow_mut().pop()?;
            if !stream.is_readable() {
                return Some(stream);
            }
            self.shared.release();
        }
    }

    fn lend(&self, stream: UpstreamStream) -> PooledConnection {
        PooledConnection {
            shared: Rc::clone(&self.shared),
            stream: Some(stream),
            statements: BTreeSet::new(),
            is_busy: false,
        }
    }

    async fn connect(&self, deadline: Instant) -> Result<PooledConnection> {
        let shared = &self.shared;
        shared.open.set(shared.open.get() + 1);
        // Created before the handshake, so that its drop corrects the count of
        // open connections if this future is cancelled.
        let mut pooled = PooledConnection {
            shared: Rc::clone(shared),
            stream: None,
            statements: BTreeSet::new(),
            is_busy: false,
        };
        let limit = now() + shared.options.connect_timeout;
        let stream = timeout_at(
            deadline.min(limit),
            UpstreamStream::connect(
                shared.address,
                &shared.user,
                &shared.database,
                &shared.options.upstream_password,
                shared.options.message_limit,
            ),
        )
        .await
        .map_err(|_| Report::new(ErrorKind::ConnectionLost))??;
        pooled.stream = Some(stream);
        Ok(pooled)
    }
}

impl Shared {
    fn release(&self) {
        self.open.set(self.open.get() - 1);
        self.wake_next();
    }

    fn wake_next(&self) {
        while let Some(sender) = self.waiting.borrow_mut().pop_front() {
            if sender.send(()).is_ok() {
                return;
            }
        }
    }
}

impl PooledConnection {
    /// Returns the connection to the pool. The caller has to make sure that it
    /// is outside of a transaction and has no unread bytes.
    pub(super) fn recycle(mut self) {
        if let Some(stream) = self.stream.take() {
            self.shared.idle.borrow_mut().push(stream);
            self.shared.wake_next();
        }
        // Offsets the decrement in the drop that follows, because the
        // connection stays open.
        self.shared.open.set(self.shared.open.get() + 1);
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        if self.is_busy
            && let Some(key) = self.stream.as_ref().and_then(UpstreamStream::cancel_key)
        {
            // An abandoned statement would keep one of the database's slots
            // busy. If the cancel request fails, the statement runs to its end.
            spawn(async move { timeout(CANCEL_TIMEOUT, key.cancel()).await }).detach();
        }
        self.shared.release();
    }
}

impl Deref for PooledConnection {
    type Target = UpstreamStream;

    fn deref(&self) -> &UpstreamStream {
        self.stream.as_ref().expect("a connection in use is open")
    }
}

impl DerefMut for PooledConnection {
    fn deref_mut(&mut self) -> &mut UpstreamStream {
        self.stream.as_mut().expect("a connection in use is open")
    }
}
