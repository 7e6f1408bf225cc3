//! Offers a database group to hosts and lets tests break it.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use burdockslip_runtime::{Task, random_range, sleep, spawn};
use burdockslip_types::{ErrorKind, HostId, LogIndex, LogPosition, MemberName, Result, Term, Zone};
use error_stack::bail;
use futures::FutureExt;
use futures::channel::oneshot;

use super::network::Network;
use super::node::{AppliedWrite, Condition, Record, State};
use super::replication;
use crate::signal::Signal;
use crate::{MemberClient, MemberStatus};

/// The longest time between a read and the query of the position after it.
const READ_GAP: Duration = Duration::from_millis(3);

/// Holds the members of a group and their delays.
#[derive(Debug, Clone)]
pub struct DatabaseSettings {
    /// The members and their zones; the first one is the primary of term 1.
    pub members: Vec<(MemberName, Zone)>,
    /// The time by which entries reach the replicas late.
    pub lag: Duration,
}

/// Reports what a read returned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadReply {
    /// The value of the key.
    pub value: Option<u64>,
    /// The position queried after the read on the same connection.
    pub position: LogPosition,
}

/// Stands for a group of members that share a log.
#[derive(Debug, Clone)]
pub struct Database(Rc<Inner>);

#[derive(Debug)]
pub(crate) struct Inner {
    pub(crate) network: Network,
    pub(crate) nodes: Vec<RefCell<State>>,
    zones: Vec<Zone>,
    pub(crate) appended: Signal,
    /// Notifies of members that were thawed, killed or restarted.
    changed: Signal,
}

impl Database {
    /// Opens a group whose first member is the primary of term 1.
    pub fn open(settings: DatabaseSettings, network: &Network) -> Self {
        let (names, zones): (Vec<_>, Vec<_>) = settings.members.into_iter().unzip();
        let nodes = names.into_iter().map(|name| State::new(name, settings.lag));
        let inner = Rc::new(Inner {
            network: network.clone(),
            nodes: nodes.map(RefCell::new).collect(),
            zones,
            appended: Signal::default(),
            changed: Signal::default(),
        });
        let senders = Inner::senders(&inner, 0, Term(1));
        let mut first = inner.nodes[0].borrow_mut();
        first.is_primary = true;
        first.senders = senders;
        drop(first);
        Self(inner)
    }

    /// Returns the calls through which a host reaches the members.
    pub fn members(&self, host: &HostId) -> Vec<MemberClient> {
        (0..self.0.nodes.len())
            .map(|index| self.member(host, index))
            .collect()
    }

    fn member(&self, host: &HostId, index: usize) -> MemberClient {
        let call = |act: fn(&Rc<Inner>, &mut State, usize, Term) -> Result<MemberStatus>| {
            let (inner, host) = (Rc::clone(&self.0), host.clone());
            move |term: Term| {
                let server = Rc::clone(&inner);
                let act = move |state: &mut State| act(&server, state, index, term);
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
                state.senders = Inner::senders(inner, index, term);
                Ok(status)
            })),
        }
    }

    /// Commits a write at a member.
    ///
    /// # Errors
    ///
    /// Returns `NoPrimary` if the member is not a primary, `AlreadyRun` if the
    /// request id was used before, and `ConnectionLost` if the answer was lost,
    /// in which case the write may have been committed.
    pub async fn write(
        &self,
        host: &HostId,
        member: &MemberName,
        record: Record,
    ) -> Result<LogPosition> {
        let inner = Rc::clone(&self.0);
        let write = move |state: &mut State| {
            let position = state.write(record)?;
            inner.appended.notify();
            Ok(position)
        };
        Inner::request(&self.0, host, self.index(member), write).await
    }

    /// Reads a key at a member, and the member's position some time after it.
    ///
    /// # Errors
    ///
    /// Returns `ConnectionLost` if the connection breaks.
    pub async fn read(&self, host: &HostId, member: &MemberName, key: u64) -> Result<ReadReply> {
        let index = self.index(member);
        let name = self.name(index);
        self.0.network.deliver(host.as_str(), name.as_str()).await?;
        let restarts = self.0.ready(index).await?;
        let value = self.0.nodes[index].borrow().read(key);
        let gap = u64::try_from(READ_GAP.as_micros()).unwrap_or(u64::MAX);
        sleep(Duration::from_micros(random_range(0..gap))).await;
        if self.0.ready(index).await? != restarts {
            bail!(ErrorKind::ConnectionLost);
        }
        let position = self.0.nodes[index].borrow().position();
        self.0.network.deliver(name.as_str(), host.as_str()).await?;
        Ok(ReadReply { value, position })
    }

    /// Stops a member without an answer to anyone.
    pub fn kill(&self, member: &MemberName) {
        let mut state = self.state(member);
        state.condition = Condition::Dead;
        state.restarts += 1;
        state.step_down();
        drop(state);
        self.0.changed.notify();
    }

    /// Starts a member again as a replica, with its promised term and log.
    pub fn restart(&self, member: &MemberName) {
        self.state(member).restart();
        self.0.changed.notify();
    }

    /// Pauses a member; requests wait until it is thawed.
    pub fn freeze(&self, member: &MemberName) {
        self.state(member).condition = Condition::Frozen;
    }

    /// Resumes a paused member.
    pub fn thaw(&self, member: &MemberName) {
        self.state(member).condition = Condition::Running;
        self.0.changed.notify();
    }

    /// Sets the time by which every answer of a member is delayed.
    pub fn set_answer_delay(&self, member: &MemberName, answer_delay: Duration) {
        self.state(member).answer_delay = answer_delay;
    }

    /// Sets the time by which entries reach a member late.
    pub fn set_lag(&self, member: &MemberName, lag: Duration) {
        self.state(member).lag = lag;
    }

    /// Marks a member as about to stop.
    pub fn set_leaving(&self, member: &MemberName, is_leaving: bool) {
        self.state(member).is_leaving = is_leaving;
    }

    /// Returns the state of a member as it is, without a request.
    pub fn status(&self, member: &MemberName) -> MemberStatus {
        self.state(member).status()
    }

    /// Lists the names of the members.
    pub fn names(&self) -> Vec<MemberName> {
        (0..self.0.nodes.len())
            .map(|index| self.name(index))
            .collect()
    }

    /// Lists the writes in the log of a member.
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

    fn state(&self, member: &MemberName) -> std::cell::RefMut<'_, State> {
        self.0.nodes[self.index(member)].borrow_mut()
    }
}

impl Inner {
    /// Carries a request to a member, acts on its state, and carries the answer back.
    ///
    /// The request runs to its end even if the caller stops waiting, as one
    /// that has reached a paused server does.
    fn request<T: 'static>(
        inner: &Rc<Self>,
        host: &HostId,
        index: usize,
        act: impl FnOnce(&mut State) -> Result<T> + 'static,
    ) -> impl Future<Output = Result<T>> + 'static {
        let (sender, receiver) = oneshot::channel();
        let (inner, host) = (Rc::clone(inner), host.clone());
        let run = async move {
            // The receiver is gone when the caller has stopped waiting.
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
        act: impl FnOnce(&mut State) -> Result<T>,
    ) -> Result<T> {
        let name = self.nodes[index].borrow().name.clone();
        self.network.deliver(host.as_str(), name.as_str()).await?;
        self.ready(index).await?;
        let answer_delay = self.nodes[index].borrow().answer_delay;
        if !answer_delay.is_zero() {
            sleep(answer_delay).await;
            self.ready(index).await?;
        }
        let output = act(&mut self.nodes[index].borrow_mut());
        self.network.deliver(name.as_str(), host.as_str()).await?;
        output
    }

    /// Waits until a member runs and returns the number of its restarts.
    async fn ready(&self, index: usize) -> Result<u64> {
        let restarts = self.nodes[index].borrow().restarts;
        loop {
            let changed = self.changed.listen();
            {
                let state = self.nodes[index].borrow();
                if state.restarts != restarts && state.condition != Condition::Dead {
                    bail!(ErrorKind::ConnectionLost);
                }
                if state.condition == Condition::Running {
                    return Ok(restarts);
                }
            }
            // The sender lives as long as this group.
            let _ = changed.await;
        }
    }

    /// Starts the tasks that replicate from a primary to the other members.
    fn senders(inner: &Rc<Self>, from: usize, term: Term) -> Vec<Task<()>> {
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
        let is_stopped = |state: &State| state.condition != Condition::Running;
        is_stopped(&from)
            || is_stopped(&to)
            || self.network.is_cut(from.name.as_str(), to.name.as_str())
    }

    pub(crate) fn lag(&self, index: usize) -> Duration {
        self.nodes[index].borrow().lag
    }
}
