//! Keeps the connections to one database.

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

/// Percentage of a database's connection limit that its holder may use.
///
/// The rest is for watchers and for another host that briefly takes itself for
/// the holder (`docs/design.md`, section 2).
const HOLDER_PERCENT: usize = 70;

/// Time within which an abandoned statement is cancelled.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// Returns how many connections a holder may open to a database with the given limit.
pub(super) fn share(connections: usize) -> usize {
    (connections * HOLDER_PERCENT / 100).max(1)
}

/// Keeps the connections to one database.
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
    open: Cell<usize>,
    waiting: RefCell<VecDeque<oneshot::Sender<()>>>,
}

/// Lends one connection; it is closed when dropped without [`Pooled::recycle`].
#[derive(Debug)]
pub(super) struct Pooled {
    shared: Rc<Shared>,
    stream: Option<UpstreamStream>,
    /// The prepared statements that a transaction has left on the connection.
    pub(super) names: BTreeSet<String>,
    /// Whether the database works on a unit, so that closing the connection
    /// would leave it running.
    pub(super) is_busy: bool,
}

impl Pool {
    /// Prepares a pool of at most `limit` connections.
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

    /// Takes an idle connection or makes a new one.
    ///
    /// # Errors
    ///
    /// Returns `ConnectionLost` if the database refuses, `DeadlineExceeded` if
    /// all connections stay in use.
    pub(super) async fn take(&self, deadline: Instant) -> Result<Pooled> {
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

    /// Takes a connection that nobody uses; one that the database has closed or
    /// that has bytes to read is dropped, because nobody asked for them.
    fn take_idle(&self) -> Option<UpstreamStream> {
        loop {
            let stream = self.shared.idle.borrow_mut().pop()?;
            if !stream.is_readable() {
                return Some(stream);
            }
            self.shared.release();
        }
    }

    fn lend(&self, stream: UpstreamStream) -> Pooled {
        Pooled {
            shared: Rc::clone(&self.shared),
            stream: Some(stream),
            names: BTreeSet::new(),
            is_busy: false,
        }
    }

    async fn connect(&self, deadline: Instant) -> Result<Pooled> {
        let shared = &self.shared;
        shared.open.set(shared.open.get() + 1);
        // Counts the connection even if this future is dropped half-way.
        let mut pooled = Pooled {
            shared: Rc::clone(shared),
            stream: None,
            names: BTreeSet::new(),
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
        self.wake();
    }

    fn wake(&self) {
        while let Some(sender) = self.waiting.borrow_mut().pop_front() {
            if sender.send(()).is_ok() {
                return;
            }
        }
    }
}

impl Pooled {
    /// Returns the connection to the pool; the caller has checked that it is clean.
    pub(super) fn recycle(mut self) {
        if let Some(stream) = self.stream.take() {
            self.shared.idle.borrow_mut().push(stream);
            self.shared.wake();
        }
        // The connection stays open, so the drop that follows must not count it.
        self.shared.open.set(self.shared.open.get() + 1);
    }
}

impl Drop for Pooled {
    fn drop(&mut self) {
        if self.is_busy
            && let Some(key) = self.stream.as_ref().and_then(UpstreamStream::cancel_key)
        {
            // An abandoned statement would go on to occupy one of the
            // database's slots. If this fails, it runs to its end.
            spawn(async move { timeout(CANCEL_TIMEOUT, key.cancel()).await }).detach();
        }
        self.shared.release();
    }
}

impl Deref for Pooled {
    type Target = UpstreamStream;

    fn deref(&self) -> &UpstreamStream {
        self.stream.as_ref().expect("a lent connection is open")
    }
}

impl DerefMut for Pooled {
    fn deref_mut(&mut self) -> &mut UpstreamStream {
        self.stream.as_mut().expect("a lent connection is open")
    }
}
