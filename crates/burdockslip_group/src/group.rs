//! Runs the watcher of a group.

use std::rc::Rc;
use std::time::Duration;

use burdockslip_runtime::{Instant, Task, now, spawn, timeout_at};
use burdockslip_types::{ErrorKind, LogPosition, MemberName, PeerClient, Result, Term};
use error_stack::bail;

use crate::promotion::PromotionTimes;
use crate::samples::Sample;
use crate::shared::Shared;
use crate::view::View;
use crate::{
    MemberClient, Observation, ReadChoice, ReadRequirements, Settings, Watch, WatchReply,
    WatchRequest, Watcher, WatcherCounts, confirm, exchange, poll, suspicion,
};

/// Names the primary of a group and its term.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Primary {
    /// The member that is the primary.
    pub member: MemberName,
    /// The term, confirmed by a majority.
    pub term: Term,
}

/// Stands for a running watcher of one group; it stops with the last clone.
#[derive(Debug, Clone)]
pub struct Group {
    pub(crate) shared: Rc<Shared>,
    _tasks: Rc<Vec<Task<()>>>,
}

impl Group {
    /// Starts to watch `members`, which must be at most 64.
    ///
    /// `link` carries messages to the other watchers; their messages to this
    /// host are to be passed to [`Group::handle`].
    pub fn spawn(settings: Settings, members: Vec<MemberClient>, link: PeerClient<Watch>) -> Self {
        let count = members.len();
        let shared = Rc::new(Shared::new(settings, members, link));
        let mut tasks = vec![
            spawn(confirm::run(Rc::clone(&shared))),
            spawn(exchange::run(Rc::clone(&shared))),
            spawn(suspicion::run(Rc::clone(&shared))),
        ];
        tasks.extend((0..count).map(|index| spawn(poll::run(Rc::clone(&shared), index))));
        Self {
            shared,
            _tasks: Rc::new(tasks),
        }
    }

    /// Replaces the list of watchers when the hosts of the group change.
    pub fn set_watchers(&self, watchers: Vec<Watcher>) {
        self.shared.watchers.replace(watchers);
    }

    /// Waits until a majority of members holds the commit at `position` in the
    /// term that wrote it; members are queried after this call.
    ///
    /// # Errors
    ///
    /// Returns `OutcomeUnknown` if the deadline passes or a majority has
    /// promised a later term.
    pub async fn confirm(&self, position: LogPosition, deadline: Instant) -> Result<()> {
        self.shared.confirm(position, deadline).await
    }

    /// Returns the primary to which writes may be sent.
    ///
    /// # Errors
    ///
    /// Returns `NoPrimary` if no primary is confirmed, if it is leaving, or if
    /// its term was last confirmed longer than the write limit ago.
    pub fn primary(&self) -> Result<Primary> {
        match self.shared.writable() {
            Some(primary) => Ok(primary),
            None => bail!(ErrorKind::NoPrimary),
        }
    }

    /// Waits for a primary to which writes may be sent.
    ///
    /// # Errors
    ///
    /// Returns `NoPrimary` if there is none by the deadline.
    pub async fn wait_primary(&self, deadline: Instant) -> Result<Primary> {
        loop {
            let changed = self.shared.changed.listen();
            if let Some(primary) = self.shared.writable() {
                return Ok(primary);
            }
            if timeout_at(deadline, changed).await.is_err() {
                bail!(ErrorKind::NoPrimary);
            }
        }
    }

    /// Waits for a confirmed primary of a term above `seen`, so that the caller
    /// can announce it in the store.
    pub async fn next_primary(&self, seen: Term) -> Primary {
        loop {
            let changed = self.shared.changed.listen();
            if let Some(primary) = self.shared.writable()
                && primary.term > seen
            {
                return primary;
            }
            // The sender lives as long as this handle.
            let _ = changed.await;
        }
    }

    /// Chooses the member that serves a read.
    ///
    /// # Errors
    ///
    /// Returns `NoFreshData` if no member is fresh enough by the deadline, or
    /// `NoPrimary` if no replica qualifies and no primary is confirmed.
    pub async fn choose_read(&self, need: &ReadRequirements) -> Result<ReadChoice> {
        self.shared.choose_read(need).await
    }

    /// Decides whether the response of a read may be released, given the position
    /// queried after the read on the same connection.
    ///
    /// # Errors
    ///
    /// Returns `OutcomeUnknown` if the position is not confirmed by the deadline or
    /// lies outside of the term for which the member was chosen. The read did
    /// run, so no error that says "not run" applies; it can be repeated.
    pub async fn check_read(
        &self,
        choice: &ReadChoice,
        after: LogPosition,
        deadline: Instant,
    ) -> Result<()> {
        self.shared.check_read(choice, after, deadline).await
    }

    /// Replaces the primary in a planned way: no new writes are accepted here,
    /// `drained` completes when the units in flight have ended, and then the
    /// steps of a promotion follow, preferably to `target`.
    ///
    /// # Errors
    ///
    /// Returns `NoPrimary` if no other member became primary by the deadline.
    pub async fn switch_over(
        &self,
        target: Option<&MemberName>,
        drained: impl Future<Output = ()>,
        deadline: Instant,
    ) -> Result<Primary> {
        self.shared.switch_over(target, drained, deadline).await
    }

    /// Returns the newest confirmed position, the floor of a session without a token.
    pub fn confirmed(&self) -> Option<LogPosition> {
        self.shared.view.borrow().confirmed().newest()
    }

    /// Lists what this watcher knows about the members, for operators.
    pub fn observations(&self) -> Vec<Observation> {
        self.shared.view.borrow().observations()
    }

    /// Returns the number of messages sent so far.
    pub fn counts(&self) -> WatcherCounts {
        self.shared.counters.get()
    }

    /// Returns when the steps of the last promotion by this host ended.
    pub fn last_promotion(&self) -> Option<PromotionTimes> {
        self.shared.promotion.get()
    }

    /// Answers a request of another watcher.
    pub fn handle(&self, request: WatchRequest) -> WatchReply {
        self.shared.handle(request)
    }
}

impl Shared {
    /// Returns the primary if writes may be sent to it.
    pub(crate) fn writable(&self) -> Option<Primary> {
        let view = self.view.borrow();
        let (index, term) = view.primary()?;
        let is_leaving = view.report(index).is_none_or(|r| r.status.is_leaving);
        let age = view.samples().term_at(term)?.elapsed();
        let is_open = !is_leaving && !self.is_switching.get();
        (is_open && age <= self.settings.timing.write_limit).then(|| Primary {
            member: self.members[index].name.clone(),
            term,
        })
    }

    fn handle(&self, request: WatchRequest) -> WatchReply {
        match request {
            WatchRequest::View { group } if group == self.settings.group => self.view_reply(),
            WatchRequest::Freshness { group } if group == self.settings.group => self.freshness(),
            WatchRequest::Promoted {
                group, position, ..
            } if group == self.settings.group => {
                self.view.borrow_mut().confirm(position);
                self.wanted.notify();
                self.changed.notify();
                WatchReply::Nothing
            }
            _ => WatchReply::Nothing,
        }
    }

    /// Returns the silence of the primary that other watchers may rely on.
    ///
    /// A watcher that resumes after a pause has heard nobody for long and must
    /// not support the suspicion of a primary that works.
    fn evidence(&self, view: &View) -> Duration {
        if self.is_hearing(view) {
            view.primary_silence()
        } else {
            Duration::ZERO
        }
    }

    fn view_reply(&self) -> WatchReply {
        let view = self.view.borrow();
        WatchReply::View {
            members: view.observations(),
            silence: self.evidence(&view),
        }
    }

    fn freshness(&self) -> WatchReply {
        let view = self.view.borrow();
        let sample: Option<Sample> = view.samples().newest();
        match (sample, view.confirmed().newest()) {
            (Some(sample), Some(confirmed)) => WatchReply::Freshness {
                term: sample.term,
                position: sample.position,
                age: now().since(sample.at),
                confirmed,
            },
            _ => WatchReply::Nothing,
        }
    }
}
