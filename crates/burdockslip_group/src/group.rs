//! The public handle of the watcher that a host runs for a group.

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

/// The primary of a group and its term.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Primary {
    /// The member that is the primary.
    pub member: MemberName,
    /// The primary's term; a majority holds its first entry.
    pub term: Term,
}

/// A handle to the running watcher of one group.
///
/// The watcher stops when the last clone of the handle is dropped.
#[derive(Debug, Clone)]
pub struct Group {
    pub(crate) shared: Rc<Shared>,
    _tasks: Rc<Vec<Task<()>>>,
}

impl Group {
    /// Starts a watcher of `members`, of which there may be at most 64.
    ///
    /// `peers` sends requests to the other watchers. The caller passes their
    /// requests to this host to [`Group::handle`].
    pub fn spawn(settings: Settings, members: Vec<MemberClient>, peers: PeerClient<Watch>) -> Self {
        let count = members.len();
        let shared = Rc::new(Shared::new(settings, members, peers));
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

    /// Replaces the list of watchers, in the order of their rank, when the hosts of the
    /// group change.
    pub fn set_watchers(&self, watchers: Vec<Watcher>) {
        self.shared.watchers.replace(watchers);
    }

    /// Waits until a majority of members holds the commit at `position` in the
    /// term that wrote it.
    ///
    /// Only queries that are sent after this call count.
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
    /// Returns `NoPrimary` if no primary is confirmed, if it is leaving, if this
    /// host is switching over, or if a majority last confirmed its term longer
    /// ago than [`Timing::write_limit`](crate::Timing::write_limit).
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
            let changed = self.shared.view_changed.listen();
            if let Some(primary) = self.shared.writable() {
                return Ok(primary);
            }
            if timeout_at(deadline, changed).await.is_err() {
                bail!(ErrorKind::NoPrimary);
            }
        }
    }

    /// Waits for a confirmed primary of a term above `seen`, for example to
    /// announce it in the store.
    pub async fn next_primary(&self, seen: Term) -> Primary {
        loop {
            let changed = self.shared.view_changed.listen();
            if let Some(primary) = self.shared.writable()
                && primary.term > seen
            {
                return primary;
            }
            // Never fails: the sender lives as long as this handle.
            let _ = changed.await;
        }
    }

    /// Chooses the member that serves a read.
    ///
    /// # Errors
    ///
    /// Returns `NoFreshData` if no member is fresh enough by the deadline, or
    /// `NoPrimary` if no replica qualifies and no primary is confirmed.
    pub async fn choose_read(&self, required: &ReadRequirements) -> Result<ReadChoice> {
        self.shared.choose_read(required).await
    }

    /// Waits until the response of a read may be sent to the client.
    ///
    /// `after` is the member's log position, queried after the read on the same
    /// connection.
    ///
    /// # Errors
    ///
    /// Returns `OutcomeUnknown` if the position is not confirmed by the deadline,
    /// belongs to another term than the one for which the member was chosen, or
    /// is before the chosen position. The read did run, so an error kind that
    /// means "not run" would be wrong; the caller can repeat the read.
    pub async fn check_read(
        &self,
        choice: &ReadChoice,
        after: LogPosition,
        deadline: Instant,
    ) -> Result<()> {
        self.shared.check_read(choice, after, deadline).await
    }

    /// Runs a planned switchover: stops accepting new writes on this host, waits
    /// for `drained`, which completes when the units in flight have ended, and
    /// promotes `target`, or the first replica that has caught up if it is `None`.
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

    /// Returns the newest position known to be confirmed, or `None` before the
    /// first confirmation.
    ///
    /// It is the floor of a session that presents no token.
    pub fn confirmed(&self) -> Option<LogPosition> {
        self.shared.view.borrow().confirmed().newest()
    }

    /// Returns the latest report of each member that has reported.
    pub fn observations(&self) -> Vec<Observation> {
        self.shared.view.borrow().observations()
    }

    /// Returns the counters of this watcher since its start.
    pub fn counts(&self) -> WatcherCounts {
        self.shared.counters.get()
    }

    /// Returns the times of the last promotion that this host completed, or
    /// `None` if it has completed none.
    pub fn last_promotion(&self) -> Option<PromotionTimes> {
        self.shared.last_promotion.get()
    }

    /// Answers a request of another watcher.
    ///
    /// Requests for other groups are answered with `Nothing`.
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
                self.view.borrow_mut().record_confirmed(position);
                self.poll_requested.notify();
                self.view_changed.notify();
                WatchReply::Nothing
            }
            _ => WatchReply::Nothing,
        }
    }

    /// Returns the silence of the primary to report to other watchers.
    ///
    /// It is zero while this watcher does not reach a majority itself. After a
    /// pause of its own process, for example, it has had no answer from any
    /// member, and must not support the suspicion of a healthy primary.
    fn reported_silence(&self, view: &View) -> Duration {
        if self.reaches_majority(view) {
            view.primary_silence()
        } else {
            Duration::ZERO
        }
    }

    fn view_reply(&self) -> WatchReply {
        let view = self.view.borrow();
        WatchReply::View {
            members: view.observations(),
            silence: self.reported_silence(&view),
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
