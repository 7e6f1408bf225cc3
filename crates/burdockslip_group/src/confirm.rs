//! Confirms commits by the reports of a majority.

use std::cell::RefMut;
use std::rc::Rc;

use burdockslip_runtime::{Instant, sleep, timeout_at};
use burdockslip_types::{ErrorKind, LogPosition, Result};
use error_stack::bail;
use futures::channel::oneshot;
use futures::future::join_all;

use crate::MemberStatus;
use crate::shared::Shared;

/// Holds one commit that waits for confirmation.
#[derive(Debug)]
struct Waiter {
    position: LogPosition,
    ticket: u64,
    /// Members that hold the position, one bit each.
    holders: u64,
    /// Members that have promised a later term, one bit each.
    refusals: u64,
    outcome: oneshot::Sender<bool>,
}

/// Holds all commits that wait for confirmation.
#[derive(Debug)]
pub(crate) struct Waiters {
    majority: u32,
    waiters: Vec<Waiter>,
}

impl Waiters {
    pub(crate) fn new(majority: usize) -> Self {
        Self {
            majority: u32::try_from(majority).unwrap_or(u32::MAX),
            waiters: Vec::new(),
        }
    }

    /// Counts a member's report for all commits that were registered before
    /// the member was asked. Returns the number of commits it confirmed.
    pub(crate) fn count(&mut self, index: usize, ticket: u64, status: &MemberStatus) -> u64 {
        let bit = 1 << index;
        let mut confirmed = 0;
        let waiters = std::mem::take(&mut self.waiters);
        for mut waiter in waiters {
            if waiter.ticket < ticket {
                let term = waiter.position.term;
                if status.term == term
                    && status.position.term == term
                    && status.position >= waiter.position
                {
                    waiter.holders |= bit;
                } else if status.term > term {
                    waiter.refusals |= bit;
                }
            }
            if waiter.holders.count_ones() >= self.majority {
                // The receiver is gone when its deadline has passed.
                confirmed += u64::from(waiter.outcome.send(true).is_ok());
            } else if waiter.refusals.count_ones() >= self.majority {
                let _ = waiter.outcome.send(false);
            } else if !waiter.outcome.is_canceled() {
                self.waiters.push(waiter);
            }
        }
        confirmed
    }

    /// Returns whether a commit still needs the member's report.
    fn needs(&mut self, index: usize) -> bool {
        let bit = 1 << index;
        self.waiters.retain(|w| !w.outcome.is_canceled());
        self.waiters
            .iter()
            .any(|w| (w.holders | w.refusals) & bit == 0)
    }
}

impl Shared {
    /// Waits until a majority holds `position`, queried after this call.
    pub(crate) async fn confirm(&self, position: LogPosition, deadline: Instant) -> Result<()> {
        let (sender, receiver) = oneshot::channel();
        let waiter = Waiter {
            position,
            ticket: self.next_ticket(),
            holders: 0,
            refusals: 0,
            outcome: sender,
        };
        self.waiters.borrow_mut().waiters.push(waiter);
        self.pending.notify();
        if timeout_at(deadline, receiver).await == Ok(Ok(true)) {
            return Ok(());
        }
        self.counters.update(|c| c.unconfirmed += 1);
        bail!(ErrorKind::OutcomeUnknown)
    }

    /// Queries a member as long as commits need its report.
    ///
    /// Commits that arrive while a query is on its way share the next one.
    async fn confirm_member(&self, index: usize) {
        let timing = self.settings.timing;
        let mut backoff = timing.query_backoff;
        loop {
            if !self.waiters().needs(index) {
                let pending = self.pending.listen();
                // The sender lives as long as this task.
                let _ = pending.await;
                backoff = timing.query_backoff;
                continue;
            }
            self.counters.update(|c| c.queries += 1);
            self.ask(index).await;
            if self.waiters().needs(index) {
                sleep(backoff).await;
                backoff = (backoff * 2).min(timing.backoff_limit);
            }
        }
    }

    fn waiters(&self) -> RefMut<'_, Waiters> {
        self.waiters.borrow_mut()
    }
}

/// Queries the members for all waiting commits of the group.
pub(crate) async fn run(shared: Rc<Shared>) {
    let members = 0..shared.members.len();
    join_all(members.map(|index| shared.confirm_member(index))).await;
}
