//! Makes a member the primary of a new term.

use burdockslip_runtime::{Instant, now, sleep_until, timeout};
use burdockslip_types::{ErrorKind, LogPosition, Result, Term};
use error_stack::bail;
use futures::StreamExt;
use futures::future::{Either, join_all, select};
use futures::stream::FuturesUnordered;

use crate::shared::Shared;
use crate::{MemberStatus, Primary, WatchRequest};

/// Holds when the steps of a completed promotion ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromotionTimes {
    /// When the promotion started.
    pub started: Instant,
    /// When a majority had granted the term.
    pub fenced: Instant,
    /// When a majority held the first entry of the term.
    pub confirmed: Instant,
}

/// Holds the reports of the members that granted a term.
type Grants = Vec<(usize, MemberStatus)>;

impl Shared {
    /// Fences a majority in a new term, promotes the member with the longest
    /// log, and waits until a majority holds the first entry of the term.
    ///
    /// A crash between two steps leaves members fenced at most; another
    /// promoter then uses a higher term.
    pub(crate) async fn promote(&self, preferred: Option<usize>) -> Result<Primary> {
        self.counters.update(|c| c.attempts += 1);
        let started = now();
        let term = self.view.borrow().highest_term().next();
        let grants = self.fence_majority(term).await?;
        let fenced = now();
        let index = choose_target(&grants, preferred);
        let position = self.promote_member(index, term).await?;
        self.confirm(position, now() + self.settings.timing.entry_timeout)
            .await?;
        self.view.borrow_mut().confirm(position);
        self.changed.notify();
        self.counters.update(|c| c.promotions += 1);
        self.promotion.set(Some(PromotionTimes {
            started,
            fenced,
            confirmed: now(),
        }));
        let primary = Primary {
            member: self.members[index].name.clone(),
            term,
        };
        tracing::info!(group = %self.settings.group, %term, primary = %primary.member, "promoted");
        self.announce(&primary, position).await;
        Ok(primary)
    }

    /// Asks all members once, so that a primary that another watcher has just
    /// promoted is seen before it is replaced for no reason.
    pub(crate) async fn survey(&self) {
        let ask = async |index| self.ask(index).await.then_some(());
        self.collect((0..self.members.len()).map(ask)).await;
    }

    async fn fence_majority(&self, term: Term) -> Result<Grants> {
        let fence = |index| self.fence_member(index, term);
        let grants = self.collect((0..self.members.len()).map(fence)).await;
        if grants.len() < self.view.borrow().majority() {
            bail!(ErrorKind::NoPrimary);
        }
        Ok(grants)
    }

    /// Collects the answers of all members, or of a majority and those that
    /// come within the grace after it.
    async fn collect<F, T>(&self, calls: impl Iterator<Item = F>) -> Vec<T>
    where
        F: Future<Output = Option<T>>,
    {
        let timing = self.settings.timing;
        let majority = self.view.borrow().majority();
        let mut calls: FuturesUnordered<_> = calls.collect();
        let mut answers = Vec::new();
        let mut until = now() + timing.step_timeout;
        while let Either::Left((Some(answer), _)) = select(calls.next(), sleep_until(until)).await {
            answers.extend(answer);
            if answers.len() >= majority {
                until = until.min(now() + timing.grant_grace);
            }
        }
        answers
    }

    async fn fence_member(&self, index: usize, term: Term) -> Option<(usize, MemberStatus)> {
        let (ticket, asked) = (self.next_ticket(), now());
        let status = (self.members[index].fence)(term).await.ok()?;
        // A report of another term means that the grant has been overtaken.
        if status.term != term {
            return None;
        }
        self.observe(index, ticket, asked, status.clone());
        Some((index, status))
    }

    async fn promote_member(&self, index: usize, term: Term) -> Result<LogPosition> {
        let (ticket, asked) = (self.next_ticket(), now());
        let call = (self.members[index].promote)(term);
        match timeout(self.settings.timing.step_timeout, call).await {
            Ok(Ok(status)) if status.term == term && status.position.term == term => {
                let position = status.position;
                self.observe(index, ticket, asked, status);
                Ok(position)
            }
            _ => bail!(ErrorKind::NoPrimary),
        }
    }

    /// Tells the other watchers, which would otherwise see it at their next poll.
    async fn announce(&self, primary: &Primary, position: LogPosition) {
        let request = WatchRequest::Promoted {
            group: self.settings.group.clone(),
            term: primary.term,
            primary: primary.member.clone(),
            position,
        };
        let limit = self.settings.timing.exchange_timeout;
        let others = self.others();
        join_all(
            others
                .iter()
                .map(|w| self.send(&w.host, request.clone(), limit)),
        )
        .await;
    }
}

/// Picks the member whose log contains every confirmed entry: the one with the
/// highest position, and among equals the preferred one.
fn choose_target(grants: &Grants, preferred: Option<usize>) -> usize {
    let key = |(index, status): &(usize, MemberStatus)| {
        (
            status.position,
            Some(*index) == preferred,
            !status.is_leaving,
        )
    };
    let best = grants.iter().max_by_key(|grant| key(grant));
    best.map_or(0, |(index, _)| *index)
}
