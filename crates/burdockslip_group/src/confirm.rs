//! Confirms commits: a commit is confirmed when a majority of members holds it.

use std::cell::RefMut;
use std::rc::Rc;

use burdockslip_runtime::{Instant, sleep, timeout_at};
use burdockslip_types::{ErrorKind, LogPosition, Result};
use error_stack::bail;
use futures::channel::oneshot;
use futures::future::join_all;

use crate::MemberStatus;
use crate::shared::Shared;

/// A commit that waits for confirmation.
#[derive(Debug)]
struct PendingCommit {
    position: LogPosition,
    /// Only queries with a higher sequence number count for this commit.
    sequence: u64,
    /// A bit mask of the members that hold the position.
    acks: u64,
    /// A bit mask of the members that have promised a later term.
    refusals: u64,
    outcome: oneshot::Sender<bool>,
}

/// The commits of a group that wait for confirmation.
#[derive(Debug)]
pub(crate) struct PendingCommits {
    majority: u32,
    commits: Vec<PendingCommit>,
}

impl PendingCommits {
    pub(crate) fn new(majority: usize) -> Self {
        Self {
            majority: u32::try_from(majority).unwrap_or(u32::MAX),
            commits: Vec::new(),
        }
    }

    /// Counts a member's report for all commits that were registered before the
    /// member was queried, and returns the number of commits that it confirmed.
    pub(crate) fn count_report(
        &mut self,
        index: usize,
        sequence: u64,
        status: &MemberStatus,
    ) -> u64 {
        let bit = 1 << index;
        let mut confirmed = 0;
        let commits = std::mem::take(&mut self.commits);
        for mut commit in commits {
            if commit.sequence < sequence {
                let term = commit.position.term;
                if status.term == term
                    && status.position.term == term
                    && status.position >= commit.position
                {
                    commit.acks |= bit;
                } else if status.term > term {
                    commit.refusals |= bit;
                }
            }
            if commit.acks.count_ones() >= self.majority {
                // Sending fails if the receiver was dropped after its deadline.
                confirmed += u64::from(commit.outcome.send(true).is_ok());
            } else if commit.refusals.count_ones() >= self.majority {
                let _ = commit.outcome.send(false);
            } else if !commit.outcome.is_canceled() {
                self.commits.push(commit);
            }
        }
        confirmed
    }

    /// Drops commits whose caller has stopped waiting, and returns whether one of
    /// the others still needs the member's report.
    fn needs_report(&mut self, index: usize) -> bool {
        let bit = 1 << index;
        self.commits.retain(|c| !c.outcome.is_canceled());
        self.commits
            .iter()
            .any(|c| (c.acks | c.refusals) & bit == 0)
    }
}

impl Shared {
    /// Waits until a majority holds `position`; see [`Group::confirm`](crate::Group::confirm).
    pub(crate) async fn confirm(&self, position: LogPosition, deadline: Instant) -> Result<()> {
        let (sender, receiver) = oneshot::channel();
        let commit = PendingCommit {
            position,
            sequence: self.next_sequence(),
            acks: 0,
            refusals: 0,
            outcome: sender,
        };
        self.commits.borrow_mut().commits.push(commit);
        self.commit_added.notify();
        if timeout_at(deadline, receiver).await == Ok(Ok(true)) {
            return Ok(());
        }
        self.counters.update(|c| c.unconfirmed += 1);
        bail!(ErrorKind::OutcomeUnknown)
    }

    /// Queries a member, with exponential backoff, as long as commits need its
    /// report.
    ///
    /// Commits that are added while a query is in flight share the next one.
    async fn confirm_member(&self, index: usize) {
        let timing = self.settings.timing;
        let mut backoff = timing.query_backoff;
        loop {
            if !self.commits().needs_report(index) {
                let pending = self.commit_added.listen();
                // Never fails: the sender lives as long as this task.
                let _ = pending.await;
                backoff = timing.query_backoff;
                continue;
            }
            self.counters.update(|c| c.queries += 1);
            self.poll_member(index).await;
            if self.commits().needs_report(index) {
                sleep(backoff).await;
                backoff = (backoff * 2).min(timing.backoff_limit);
            }
        }
    }

    fn commits(&self) -> RefMut<'_, PendingCommits> {
        self.commits.borrow_mut()
    }
}

/// Runs one query loop for each member.
pub(crate) async fn run(shared: Rc<Shared>) {
    let members = 0..shared.members.len();
    join_all(members.map(|index| shared.confirm_member(index))).await;
}
