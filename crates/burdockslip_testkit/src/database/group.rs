//! Runs the members of a group and their replication, and injects failures.

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

/// How often a replica fetches entries.
const FETCH_INTERVAL: Duration = Duration::from_millis(1);

/// Describes one member.
#[derive(Debug, Clone)]
pub struct MemberOptions {
    /// The name of the member.
    pub name: MemberName,
    /// The availability zone of the member.
    pub zone: Zone,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// How many connections it accepts.
    pub connection_limit: usize,
    /// How many statements it runs at the same time.
    pub slots: usize,
    /// How long a new connection takes.
    pub connect_cost: Duration,
    /// How long a statement occupies a slot.
    pub statement_cost: Duration,
}

impl MemberOptions {
    /// Describes a member with the limits of today's deployments.
    pub fn new(name: &str, zone: &str, address: SocketAddr) -> Self {
        Self {
            name: name.into(),
            zone: zone.into(),
            address,
            connection_limit: 40,
            slots: 3,
            connect_cost: Duration::from_millis(10),
            statement_cost: Duration::ZERO,
        }
    }
}

/// Stands for one database group; dropping it stops all members.
#[derive(Debug)]
pub struct DatabaseGroup {
    members: Vec<Rc<Member>>,
    _tasks: Vec<Task<()>>,
}

/// Holds the state of one member, most of which outlives a kill.
#[derive(Debug)]
pub(super) struct Member {
    pub(super) options: MemberOptions,
    pub(super) log: RefCell<Log>,
    pub(super) promised: Cell<Term>,
    pub(super) is_primary: Cell<bool>,
    pub(super) is_leaving: Cell<bool>,
    pub(super) is_frozen: Cell<bool>,
    pub(super) is_killed: Cell<bool>,
    pub(super) is_isolated: Cell<bool>,
    pub(super) lag: Cell<Duration>,
    pub(super) times: RefCell<Vec<Instant>>,
    pub(super) sessions: RefCell<Vec<Task<()>>>,
    pub(super) open: Cell<usize>,
    pub(super) slots: Slots,
    pub(super) texts: RefCell<Vec<String>>,
    pub(super) keys: Cell<i32>,
    /// Wakes the sessions when one of them is to stop its statement.
    pub(super) cancelled: Signal,
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

    /// Returns the term and position of a member's last entry.
    pub fn last_position(&self, index: usize) -> LogPosition {
        self.members[index].log.borrow().last_position()
    }

    /// Returns the log of a member.
    pub fn entries(&self, index: usize) -> Vec<LogEntry> {
        self.members[index].log.borrow().entries.clone()
    }

    /// Returns a record of a member.
    pub fn record(&self, index: usize, table: &str, key: &str) -> Option<String> {
        let id = (table.to_owned(), key.to_owned());
        self.members[index].log.borrow().records.get(&id).cloned()
    }

    /// Returns all text that clients sent to any member: startup parameters, passwords and statements.
    pub fn received_texts(&self) -> Vec<String> {
        self.members
            .iter()
            .flat_map(|member| member.texts.borrow().clone())
            .collect()
    }

    /// Counts, for each member, the statements that contain a text.
    pub fn statement_counts(&self, text: &str) -> Vec<usize> {
        self.members
            .iter()
            .map(|member| {
                let texts = member.texts.borrow();
                texts.iter().filter(|seen| seen.contains(text)).count()
            })
            .collect()
    }

    /// Returns, for each member, how many statements run now.
    pub fn busy_slots(&self) -> Vec<usize> {
        self.members
            .iter()
            .map(|member| member.options.slots - member.slots.free.get())
            .collect()
    }

    /// Returns the number of open connections of a member.
    pub fn connections(&self, index: usize) -> usize {
        self.members[index].open.get()
    }

    /// Delays replication to a member.
    pub fn set_lag(&self, index: usize, lag: Duration) {
        self.members[index].lag.set(lag);
    }

    /// Cuts a member from the rest of its group, while clients still reach it.
    pub fn isolate(&self, index: usize, is_isolated: bool) {
        self.members[index].is_isolated.set(is_isolated);
    }

    /// Stops a member from answering, without closing its connections.
    pub fn freeze(&self, index: usize, is_frozen: bool) {
        self.members[index].is_frozen.set(is_frozen);
    }

    /// Marks a member as leaving.
    pub fn set_leaving(&self, index: usize, is_leaving: bool) {
        self.members[index].is_leaving.set(is_leaving);
    }

    /// Kills a member; its log and promised term survive.
    pub fn kill(&self, index: usize) {
        let member = &self.members[index];
        member.is_killed.set(true);
        member.sessions.borrow_mut().clear();
        member.open.set(0);
    }

    /// Starts a killed member again, in the role that it had.
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
            times: RefCell::default(),
            sessions: RefCell::default(),
            open: Cell::new(0),
            slots,
            texts: RefCell::default(),
            keys: Cell::new(0),
            cancelled: Signal::default(),
            cancel_key: Cell::new(0),
        };
        if is_primary {
            // The first entry of a term lets its position be confirmed before any write.
            let _ = member.commit(Vec::new());
        }
        member
    }

    /// Returns the process number, also used as secret, of the next session.
    pub(super) fn next_key(&self) -> i32 {
        self.keys.set(self.keys.get() + 1);
        self.keys.get()
    }

    /// Stops the statement of a session.
    pub(super) fn cancel(&self, key: i32) {
        self.cancel_key.set(key);
        self.cancelled.notify();
    }

    /// Appends a transaction to the log of a primary.
    pub(super) fn commit(&self, changes: Vec<Change>) -> Result<(), super::log::UniqueViolation> {
        let term = self.promised.get();
        self.log.borrow_mut().append(LogEntry { term, changes })?;
        self.times.borrow_mut().push(now());
        Ok(())
    }

    /// Grants a term above all that were granted, and gives up a primary's role of a lower term.
    pub(super) fn fence(&self, term: Term) -> bool {
        if term <= self.promised.get() {
            return false;
        }
        self.promised.set(term);
        self.is_primary.set(false);
        true
    }

    /// Takes the role of primary in a term that was granted and not overtaken.
    pub(super) fn promote(&self, term: Term) -> bool {
        if term != self.promised.get() {
            return false;
        }
        if !self.is_primary.replace(true) {
            let len = self.log.borrow().entries.len();
            // Entries of earlier terms have no known age here; they count as old.
            self.times.borrow_mut().resize(len, Instant::START);
            let _ = self.commit(Vec::new());
        }
        true
    }

    fn is_connected(&self) -> bool {
        !self.is_killed.get() && !self.is_isolated.get() && !self.is_frozen.get()
    }
}

/// Copies entries from the primary whose term is highest.
async fn replicate(member: Rc<Member>, members: Vec<Rc<Member>>) {
    loop {
        sleep(FETCH_INTERVAL).await;
        if !member.is_connected() {
            continue;
        }
        let source = members
            .iter()
            .filter(|other| {
                !Rc::ptr_eq(other, &member) && other.is_connected() && other.is_primary.get()
            })
            .max_by_key(|other| other.promised.get());
        if let Some(source) = source {
            fetch(&member, source);
        }
    }
}

fn fetch(member: &Member, source: &Member) {
    let term = source.promised.get();
    if term < member.promised.get() || (member.is_primary.get() && term == member.promised.get()) {
        return;
    }
    member.promised.set(term);
    member.is_primary.set(false);
    let limit = now() - member.lag.get();
    let visible = source
        .times
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
        log.follow(&source_log.entries[..visible.max(1).min(source_log.entries.len())]);
    }
}

/// Limits how many statements run at the same time, first come first served.
#[derive(Debug)]
pub(super) struct Slots {
    free: Cell<usize>,
    waiting: RefCell<VecDeque<oneshot::Sender<()>>>,
}

/// Occupies one slot until dropped.
#[derive(Debug)]
pub(super) struct Slot<'a>(&'a Slots);

impl Slots {
    fn new(free: usize) -> Self {
        Self {
            free: Cell::new(free),
            waiting: RefCell::default(),
        }
    }

    /// Waits for a slot.
    pub(super) async fn take(&self) -> Slot<'_> {
        while self.free.get() == 0 {
            let (sender, receiver) = oneshot::channel();
            self.waiting.borrow_mut().push_back(sender);
            let _ = receiver.await;
        }
        self.free.set(self.free.get() - 1);
        Slot(self)
    }
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.0.free.set(self.0.free.get() + 1);
        while let Some(next) = self.0.waiting.borrow_mut().pop_front() {
            if next.send(()).is_ok() {
                break;
            }
        }
    }
}
