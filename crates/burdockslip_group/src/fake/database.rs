//! A fake database group into which tests inject faults.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use burdockslip_runtime::{Task, random_range, sleep, spawn};
use burdockslip_types::{ErrorKind, HostId, LogIndex, LogPosition, MemberName, Result, Term, Zone};
use error_stack::bail;
use futures::FutureExt;
use futures::channel::oneshot;

use super::network::Network;
use super::node::{AppliedWrite, MemberState, ProcessState, Record};
use super::replication;
use crate::signal::Signal;
use crate::{MemberClient, MemberStatus};

/// The maximum time between a read and the query of the position after it.
const READ_GAP: Duration = Duration::from_millis(3);

/// The members of a group and their delays.
#[derive(Debug, Clone)]
pub struct DatabaseSettings {
    /// The members and their zones; the first one is the primary of term 1.
    pub members: Vec<(MemberName, Zone)>,
    /// The replication delay of the replicas, in addition to the latency.
    pub lag: Duration,
}

/// The reply to a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadReply {
    /// The value of the key, or `None` if it was never written.
    pub value: Option<u64>,
    /// The member's log position, queried after the read on the same connection.
    pub position: LogPosition,
}

/// A group of members that replicate one log.
#[derive(Debug, Clone)]
pub struct Database(Rc<Inner>);

#[derive(Debug)]
pub(crate) struct Inner {
    pub(crate) network: Network,
    pub(crate) nodes: Vec<RefCell<MemberState>>,
    zones: Vec<Zone>,
    pub(crate) appended: Signal,
    /// Notified when a member is resumed, killed or restarted.
    changed: Signal,
}

impl Database {
    /// Opens a group whose first member is the primary of term 1.
    pub fn open(settings: DatabaseSettings, network: &Network) -> Self {
        let (names, zones): (Vec<_>, Vec<_>) = settings.members.into_iter().unzip();
        let nodes = names
            .into_iter()
            .map(|name| MemberState::new(name, settings.lag));
        let inner = Rc::new(Inner {
            network: network.clone(),
            nodes: nodes.map(RefCell::new).collect(),
            zones,
            appended: Signal::default(),
            changed: Signal::default(),
        });
        let replication_tasks = Inner::start_replication(&inner, 0, Term(1));
        let mut first = inner.nodes[0].borrow_mut();
        first.is_primary = true;
        first.replication_tasks = replication_tasks;
        drop(first);
        Self(inner)
    }

    /// Returns the clients through which a host calls the members.
    pub fn members(&self, host: &HostId) -> Vec<MemberClient> {
        (0..self.0.nodes.len())
            .map(|index| self.member(host, index))
            .collect()
    }

    fn member(&self, host: &HostId, index: usize) -> MemberClient {
        let call = |act: fn(&Rc<Inner>, &mut MemberState, usize, Term) -> Result<MemberStatus>| {
            let (inner, host) = (Rc::clone(&self.0), host.clone());
            move |term: Term| {
                let server = Rc::clone(&inner);
                let act = move |state: &mut MemberState| act(&server, state, index, term);
                Inner::request(&inner, &host, index, act).boxed_local()
            }
        };
        let status = call(|_, state, _, _| Ok(state.status()));
        MemberClient {
            name: self.name(index),
            zone: self.0.zones[index].clone(),
            status: Rc::new(move || status(Term::default())),
            fence: Rc::new(call(|_, state, _, term| state.fence(term))),
            promote: Rc::new(call(|inner, state, index, term| {
                let status = state.promote(term)?;
                state.replication_tasks = Inner::start_replication(inner, index, term);
                Ok(status)
            })),
        }
    }

    /// Commits a write at a member.
    ///
    /// # Errors
    ///
    /// Returns `NoPrimary` if the member is not a primary, `AlreadyRun` if the
    /// request id was used before, and `ConnectionLost` if the answer was lost;
    /// the write may have been committed then.
    pub async fn write(
        &self,
        host: &HostId,
        member: &MemberName,
        record: Record,
    ) -> Result<LogPosition> {
        let inner = Rc::clone(&self.0);
        let write = move |state: &mut MemberState| {
            let position = state.write(record)?;
            inner.appended.notify();
            Ok(position)
        };
        Inner::request(&self.0, host, self.index(member), write).await
    }

    /// Reads a key at a member, and queries the member's position up to 3 ms later.
    ///
    /// # Errors
    ///
    /// Returns `ConnectionLost` if the connection breaks.
    pub async fn read(&self, host: &HostId, member: &MemberName, key: u64) -> Result<ReadReply> {
        let index = self.index(member);
        let name = self.name(index);
        self.0.network.deliver(host.as_str(), name.as_str()).await?;
        let restarts = self.0.wait_running(index).await?;
        let value = self.0.nodes[index].borrow().read(key);
        let gap = u64::try_from(READ_GAP.as_micros()).unwrap_or(u64::MAX);
        sleep(Duration::from_micros(random_range(0..gap))).await;
        if self.0.wait_running(index).await? != restarts {
            bail!(ErrorKind::ConnectionLost);
        }
        let position = self.0.nodes[index].borrow().position();
        self.0.network.deliver(name.as_str(), host.as_str()).await?;
        Ok(ReadReply { value, position })
    }

    /// Kills a member; requests in flight get no answer from it.
    pub fn kill(&self, member: &MemberName) {
        let mut state = self.state(member);
        state.condition = ProcessState::Dead;
        state.restarts += 1;
        state.step_down();
        drop(state);
        self.0.changed.notify();
    }

    /// Restarts a member as a replica with its promised term and log.
    pub fn restart(&self, member: &MemberName) {
        self.state(member).restart();
        self.0.changed.notify();
    }

    /// Pauses a member; requests wait until it is resumed by [`Database::thaw`].
    pub fn freeze(&self, member: &MemberName) {
        self.state(member).condition = ProcessState::Frozen;
    }

    /// Resumes a paused member.
    pub fn thaw(&self, member: &MemberName) {
        self.state(member).condition = ProcessState::Running;
        self.0.changed.notify();
    }

    /// Sets the delay of every answer of a member.
    pub fn set_answer_delay(&self, member: &MemberName, answer_delay: Duration) {
        self.state(member).answer_delay = answer_delay;
    }

    /// Sets the replication delay of a member, in addition to the latency.
    pub fn set_lag(&self, member: &MemberName, lag: Duration) {
        self.state(member).lag = lag;
    }

    /// Sets whether a member reports that it is about to stop.
    pub fn set_leaving(&self, member: &MemberName, is_leaving: bool) {
        self.state(member).is_leaving = is_leaving;
    }

    /// Returns the current state of a member, without a request over the network.
    pub fn status(&self, member: &MemberName) -> MemberStatus {
        self.state(member).status()
    }

    /// Returns the names of the members.
    pub fn names(&self) -> Vec<MemberName> {
        (0..self.0.nodes.len())
            .map(|index| self.name(index))
            .collect()
    }

    /// Returns the writes in the log of a member, in log order.
    pub fn logged_writes(&self, member: &MemberName) -> Vec<AppliedWrite> {
        let state = self.state(member);
        let entries = state.log.iter().zip(1..);
        let applied = entries.filter_map(|(entry, index)| {
            let position = LogPosition {
                term: entry.term,
                index: LogIndex(index),
            };
            entry.record.map(|record| AppliedWrite { position, record })
        });
        applied.collect()
    }

    fn name(&self, index: usize) -> MemberName {
        self.0.nodes[index].borrow().name.clone()
    }

    fn index(&self, member: &MemberName) -> usize {
        let mut nodes = self.0.nodes.iter();
        let index = nodes.position(|node| node.borrow().name == *member);
        index.expect("tests name members of the group")
    }

    fn state(&self, member: &MemberName) -> std::cell::RefMut<'_, MemberState> {
        self.0.nodes[self.index(member)].borrow_mut()
    }
}

impl Inner {
    /// Sends a request to a member, applies `act` to its state, and returns the
    /// answer.
    ///
    /// The request runs in its own task and completes even if the caller stops
    /// waiting, like a request that has reached a paused server.
    fn request<T: 'static>(
        inner: &Rc<Self>,
        host: &HostId,
        index: usize,
        act: impl FnOnce(&mut MemberState) -> Result<T> + 'static,
    ) -> impl Future<Output = Result<T>> + 'static {
        let (sender, receiver) = oneshot::channel();
        let (inner, host) = (Rc::clone(inner), host.clone());
        let run = async move {
            // Sending fails if the caller has stopped waiting.
            let _ = sender.send(inner.serve(&host, index, act).await);
        };
        spawn(run).detach();
        async move {
            match receiver.await {
                Ok(output) => output,
                Err(_) => bail!(ErrorKind::ConnectionLost),
            }
        }
    }

    async fn serve<T>(
        &self,
        host: &HostId,
        index: usize,
        act: impl FnOnce(&mut MemberState) -> Result<T>,
    ) -> Result<T> {
        let name = self.nodes[index].borrow().name.clone();
        self.network.deliver(host.as_str(), name.as_str()).await?;
        self.wait_running(index).await?;
        let answer_delay = self.nodes[index].borrow().answer_delay;
        if !answer_delay.is_zero() {
            sleep(answer_delay).await;
            self.wait_running(index).await?;
        }
        let output = act(&mut self.nodes[index].borrow_mut());
        self.network.deliver(name.as_str(), host.as_str()).await?;
        output
    }

    /// Waits until a member runs and returns its restart count.
    ///
    /// Fails with `ConnectionLost` if the member restarts meanwhile.
    async fn wait_running(&self, index: usize) -> Result<u64> {
        let restarts = self.nodes[index].borrow().restarts;
        loop {
            let changed = self.changed.listen();
            {
                let state = self.nodes[index].borrow();
                if state.restarts != restarts && state.condition != ProcessState::Dead {
                    bail!(ErrorKind::ConnectionLost);
                }
                if state.condition == ProcessState::Running {
                    return Ok(restarts);
                }
            }
            // Never fails: the sender lives as long as this group.
            let _ = changed.await;
        }
    }

    /// Starts the tasks that replicate from a primary to the other members.
    fn start_replication(inner: &Rc<Self>, from: usize, term: Term) -> Vec<Task<()>> {
        let others = (0..inner.nodes.len()).filter(|&to| to != from);
        let run = |to| spawn(replication::run(Rc::clone(inner), from, to, term));
        others.map(run).collect()
    }

    pub(crate) fn is_primary_of(&self, index: usize, term: Term) -> bool {
        let state = self.nodes[index].borrow();
        state.is_primary && state.term == term
    }

    pub(crate) fn is_blocked(&self, from: usize, to: usize) -> bool {
        let (from, to) = (self.nodes[from].borrow(), self.nodes[to].borrow());
        let is_stopped = |state: &MemberState| state.condition != ProcessState::Running;
        is_stopped(&from)
            || is_stopped(&to)
            || self.network.is_cut(from.name.as_str(), to.name.as_str())
    }

    pub(crate) fn lag(&self, index: usize) -> Duration {
        self.nodes[index].borrow().lag
    }
}
