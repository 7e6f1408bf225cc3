//! Runs the members of a database group and their replication, and injects failures.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use burdockslip_runtime::{Instant, Signal, Task, now, sleep, spawn};
use burdockslip_types::{LogPosition, MemberName, Result, Term, Zone};
use futures::channel::oneshot;

use super::log::{Change, Log, LogEntry};
use super::server;

/// How often a replica fetches entries from the primary.
const FETCH_INTERVAL: Duration = Duration::from_millis(1);

/// The options of one member.
#[derive(Debug, Clone)]
pub struct MemberOptions {
    /// The name of the member.
    pub name: MemberName,
    /// The availability zone of the member.
    pub zone: Zone,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// The maximum number of open connections.
    pub connection_limit: usize,
    /// The maximum number of statements that run at the same time.
    pub slots: usize,
    /// How long it takes to open a connection.
    pub connect_delay: Duration,
    /// How long a statement occupies a slot.
    pub statement_delay: Duration,
}

impl MemberOptions {
    /// Returns options with the limits of current deployments.
    pub fn new(name: &str, zone: &str, address: SocketAddr) -> Self {
        Self {
            name: name.into(),
            zone: zone.into(),
            address,
            connection_limit: 40,
            slots: 3,
            connect_delay: Duration::from_millis(10),
            statement_delay: Duration::ZERO,
        }
    }
}

/// A running database group. Dropping it stops all members.
#[derive(Debug)]
pub struct DatabaseGroup {
    members: Vec<Rc<Member>>,
    _tasks: Vec<Task<()>>,
}

/// The state of one member. Only its connections are lost when it is killed.
#[derive(Debug)]
pub(super) struct Member {
    pub(super) options: MemberOptions,
    pub(super) log: RefCell<Log>,
    /// The highest term that the member has granted or seen at a primary.
    pub(super) promised: Cell<Term>,
    pub(super) is_primary: Cell<bool>,
    pub(super) is_leaving: Cell<bool>,
    pub(super) is_frozen: Cell<bool>,
    pub(super) is_killed: Cell<bool>,
    pub(super) is_isolated: Cell<bool>,
    pub(super) lag: Cell<Duration>,
    pub(super) commit_times: RefCell<Vec<Instant>>,
    pub(super) sessions: RefCell<Vec<Task<()>>>,
    pub(super) open_connections: Cell<usize>,
    pub(super) slots: Slots,
    pub(super) received: RefCell<Vec<String>>,
    pub(super) last_key: Cell<i32>,
    /// Wakes the sessions after `cancel_key` was set.
    pub(super) cancelled: Signal,
    /// The key of the session whose statement was cancelled last.
    pub(super) cancel_key: Cell<i32>,
}

impl DatabaseGroup {
    /// Starts the members; the first one is the primary of term 1.
    ///
    /// # Errors
    ///
    /// Returns `InvalidInput` if an address cannot be bound.
    pub fn bind(options: Vec<MemberOptions>) -> Result<Self> {
        let members: Vec<Rc<Member>> = options
            .into_iter()
            .enumerate()
            .map(|(index, options)| Rc::new(Member::new(options, index == 0)))
            .collect();
        let mut tasks = Vec::new();
        for member in &members {
            tasks.push(server::bind(Rc::clone(member))?);
            tasks.push(spawn(replicate(Rc::clone(member), members.clone())));
        }
        Ok(Self {
            members,
            _tasks: tasks,
        })
    }

    /// Returns the index of the primary with the highest term.
    pub fn primary(&self) -> usize {
        (0..self.members.len())
            .filter(|&index| self.members[index].is_primary.get())
            .max_by_key(|&index| self.members[index].promised.get())
            .unwrap_or_default()
    }

    /// Returns the term and index of the last log entry of a member.
    pub fn last_position(&self, index: usize) -> LogPosition {
        self.members[index].log.borrow().last_position()
    }

    /// Returns the log entries of a member.
    pub fn entries(&self, index: usize) -> Vec<LogEntry> {
        self.members[index].log.borrow().entries.clone()
    }

    /// Returns the value of a record at a member, or `None` if it does not exist.
    pub fn record(&self, index: usize, table: &str, key: &str) -> Option<String> {
        let id = (table.to_owned(), key.to_owned());
        self.members[index].log.borrow().records.get(&id).cloned()
    }

    /// Returns all text that clients sent to any member: startup parameters and
    /// statements, the latter also with their bound values.
    pub fn received_texts(&self) -> Vec<String> {
        self.members
            .iter()
            .flat_map(|member| member.received.borrow().clone())
            .collect()
    }

    /// Returns, for each member, the number of received texts that contain `text`.
    pub fn statement_counts(&self, text: &str) -> Vec<usize> {
        self.members
            .iter()
            .map(|member| {
                let texts = member.received.borrow();
                texts.iter().filter(|seen| seen.contains(text)).count()
            })
            .collect()
    }

    /// Returns, for each member, the number of running statements.
    pub fn busy_slots(&self) -> Vec<usize> {
        self.members
            .iter()
            .map(|member| member.options.slots - member.slots.free.get())
            .collect()
    }

    /// Returns the number of open connections of a member.
    pub fn connections(&self, index: usize) -> usize {
        self.members[index].open_connections.get()
    }

    /// Sets the replication lag of a member.
    pub fn set_lag(&self, index: usize, lag: Duration) {
        self.members[index].lag.set(lag);
    }

    /// Disconnects a member from the other members; clients can still reach it.
    pub fn isolate(&self, index: usize, is_isolated: bool) {
        self.members[index].is_isolated.set(is_isolated);
    }

    /// Stops a member from responding, without closing its connections.
    pub fn freeze(&self, index: usize, is_frozen: bool) {
        self.members[index].is_frozen.set(is_frozen);
    }

    /// Marks a member as leaving.
    pub fn set_leaving(&self, index: usize, is_leaving: bool) {
        self.members[index].is_leaving.set(is_leaving);
    }

    /// Kills a member: closes its connections and rejects new ones. Its log and
    /// promised term are kept.
    pub fn kill(&self, index: usize) {
        let member = &self.members[index];
        member.is_killed.set(true);
        member.sessions.borrow_mut().clear();
        member.open_connections.set(0);
    }

    /// Restarts a killed member in the role that it had.
    pub fn restart(&self, index: usize) {
        self.members[index].is_killed.set(false);
    }
}

impl Member {
    fn new(options: MemberOptions, is_primary: bool) -> Self {
        let slots = Slots::new(options.slots);
        let member = Self {
            options,
            log: RefCell::default(),
            promised: Cell::new(Term(1)),
            is_primary: Cell::new(is_primary),
            is_leaving: Cell::new(false),
            is_frozen: Cell::new(false),
            is_killed: Cell::new(false),
            is_isolated: Cell::new(false),
            lag: Cell::default(),
            commit_times: RefCell::default(),
            sessions: RefCell::default(),
            open_connections: Cell::new(0),
            slots,
            received: RefCell::default(),
            last_key: Cell::new(0),
            cancelled: Signal::default(),
            cancel_key: Cell::new(0),
        };
        if is_primary {
            // With an empty first entry, a position of this term can be
            // confirmed before any write.
            let _ = member.commit(Vec::new());
        }
        member
    }

    /// Returns the process id of a new session, which is also its cancel secret.
    pub(super) fn next_key(&self) -> i32 {
        self.last_key.set(self.last_key.get() + 1);
        self.last_key.get()
    }

    /// Cancels the running statement of a session.
    pub(super) fn cancel(&self, key: i32) {
        self.cancel_key.set(key);
        self.cancelled.notify();
    }

    /// Appends a transaction to the log of a primary.
    pub(super) fn commit(&self, changes: Vec<Change>) -> Result<(), super::log::UniqueViolation> {
        let term = self.promised.get();
        self.log.borrow_mut().append(LogEntry { term, changes })?;
        self.commit_times.borrow_mut().push(now());
        Ok(())
    }

    /// Grants a term if it is higher than all terms granted before; a primary of
    /// a lower term becomes a replica. Returns whether the term was granted.
    pub(super) fn fence(&self, term: Term) -> bool {
        if term <= self.promised.get() {
            return false;
        }
        self.promised.set(term);
        self.is_primary.set(false);
        true
    }

    /// Makes the member primary if `term` is the highest granted term. Returns
    /// whether it is primary.
    pub(super) fn promote(&self, term: Term) -> bool {
        if term != self.promised.get() {
            return false;
        }
        if !self.is_primary.replace(true) {
            let len = self.log.borrow().entries.len();
            // Only the primary that wrote them knows the commit times of earlier
            // entries, so they count as written at the start.
            self.commit_times.borrow_mut().resize(len, Instant::START);
            let _ = self.commit(Vec::new());
        }
        true
    }

    fn can_replicate(&self) -> bool {
        !self.is_killed.get() && !self.is_isolated.get() && !self.is_frozen.get()
    }
}

/// Fetches entries from the reachable primary with the highest term.
async fn replicate(member: Rc<Member>, members: Vec<Rc<Member>>) {
    loop {
        sleep(FETCH_INTERVAL).await;
        if !member.can_replicate() {
            continue;
        }
        let source = members
            .iter()
            .filter(|other| {
                !Rc::ptr_eq(other, &member) && other.can_replicate() && other.is_primary.get()
            })
            .max_by_key(|other| other.promised.get());
        if let Some(source) = source {
            fetch_entries(&member, source);
        }
    }
}

fn fetch_entries(member: &Member, source: &Member) {
    let term = source.promised.get();
    if term < member.promised.get() || (member.is_primary.get() && term == member.promised.get()) {
        return;
    }
    member.promised.set(term);
    member.is_primary.set(false);
    let limit = now() - member.lag.get();
    let visible = source
        .commit_times
        .borrow()
        .iter()
        .take_while(|time| **time <= limit)
        .count();
    let source_log = source.log.borrow();
    let mut log = member.log.borrow_mut();
    let is_prefix = visible <= log.entries.len()
        && log.entries.last().map(|entry| entry.term)
            == source_log
                .entries
                .get(log.entries.len().wrapping_sub(1))
                .map(|entry| entry.term);
    if !is_prefix {
        log.replicate_from(&source_log.entries[..visible.max(1).min(source_log.entries.len())]);
    }
}

/// Limits how many statements run at the same time. Waiting statements are woken
/// in FIFO order.
#[derive(Debug)]
pub(super) struct Slots {
    free: Cell<usize>,
    waiters: RefCell<VecDeque<oneshot::Sender<()>>>,
}

/// Occupies one slot until dropped.
#[derive(Debug)]
pub(super) struct Slot<'a>(&'a Slots);

impl Slots {
    fn new(free: usize) -> Self {
        Self {
            free: Cell::new(free),
            waiters: RefCell::default(),
        }
    }

    /// Waits for a free slot and occupies it.
    pub(super) async fn acquire(&self) -> Slot<'_> {
        while self.free.get() == 0 {
            let (sender, receiver) = oneshot::channel();
            self.waiters.borrow_mut().push_back(sender);
            let _ = receiver.await;
        }
        self.free.set(self.free.get() - 1);
        Slot(self)
    }
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.0.free.set(self.0.free.get() + 1);
        while let Some(next) = self.0.waiters.borrow_mut().pop_front() {
            if next.send(()).is_ok() {
                break;
            }
        }
    }
}
