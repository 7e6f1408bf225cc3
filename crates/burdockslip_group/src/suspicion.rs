//! Detects a failed, leaving or superseded primary and starts its replacement.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use burdockslip_runtime::{Instant, now, random_range, sleep};
use burdockslip_types::{HostId, Zone};
use futures::future::join_all;

use crate::shared::Shared;
use crate::view::View;

/// The random wait after a failed promotion, in milliseconds. It spans several
/// promotions of about 10 ms, so that two promoters rarely collide twice.
const RETRY_JITTER: std::ops::Range<u64> = 20..200;

/// Measures how long a condition has held without interruption.
#[derive(Debug, Default)]
struct ConditionTimer(Option<Instant>);

impl ConditionTimer {
    /// Updates the condition and returns how long it has held, or `None` if it
    /// does not hold.
    fn update(&mut self, is_true: bool) -> Option<Duration> {
        self.0 = is_true.then(|| self.0.unwrap_or_else(now));
        self.0.map(Instant::elapsed)
    }
}

/// Checks the primary at `check_interval` and replaces it when a majority of
/// watchers agrees that it does not answer.
///
/// Each rank waits longer than the one before it, so that normally only one
/// watcher promotes.
pub(crate) async fn run(shared: Rc<Shared>) {
    let timing = shared.settings.timing;
    let (mut suspected, mut higher_promise, mut leaving) = (
        ConditionTimer::default(),
        ConditionTimer::default(),
        ConditionTimer::default(),
    );
    loop {
        sleep(timing.check_interval).await;
        let backoff = timing.rank_backoff;
        if let Some(span) = suspected.update(shared.is_suspicious()) {
            match shared.supported_rank().await {
                Some(rank) if span >= backoff * rank => shared.replace().await,
                Some(_) => {}
                // The other watchers' views do not change before their next poll.
                None => sleep(timing.poll_interval).await,
            }
            continue;
        }
        let Some(rank) = shared.rank() else {
            continue;
        };
        let has_higher_promise = higher_promise.update(shared.has_higher_promise());
        if has_higher_promise.is_some_and(|span| span >= timing.repair_after + backoff * rank) {
            shared.repair().await;
        }
        // The first watcher drains before it promotes; the next rank waits for that.
        let step = backoff + timing.drain_wait;
        let is_leaving = leaving.update(shared.is_primary_leaving());
        if is_leaving.is_some_and(|span| span >= step * rank) {
            let deadline = now() + timing.drain_wait + timing.entry_timeout;
            // After a failure the primary is still leaving, and the next round retries.
            let _ = shared
                .switch_over(None, sleep(timing.drain_wait), deadline)
                .await;
        }
    }
}

impl Shared {
    /// Returns whether this watcher suspects the primary and could replace it.
    ///
    /// A promotion without a majority of members would only raise terms, so the
    /// watcher must reach a majority itself.
    fn is_suspicious(&self) -> bool {
        let view = self.view.borrow();
        view.primary_silence() >= self.settings.timing.suspect_after && self.reaches_majority(&view)
    }

    /// Returns whether a majority of members answered this watcher within
    /// `suspect_after`.
    pub(crate) fn reaches_majority(&self, view: &View) -> bool {
        let limit = self.settings.timing.suspect_after;
        let heard = (0..self.members.len()).filter(|&index| view.silence(index) < limit);
        heard.count() >= view.majority()
    }

    /// Returns whether a member has promised a higher term than the primary's
    /// and therefore rejects its entries.
    fn has_higher_promise(&self) -> bool {
        let view = self.view.borrow();
        view.primary()
            .is_some_and(|(_, term)| view.highest_term() > term)
    }

    fn is_primary_leaving(&self) -> bool {
        let view = self.view.borrow();
        let primary = view.primary().and_then(|(index, _)| view.report(index));
        primary.is_some_and(|report| report.status.is_leaving)
    }

    /// Returns this host's rank among all watchers, or `None` if it is not one
    /// of them and therefore starts no promotion by itself.
    fn rank(&self) -> Option<u32> {
        let watchers = self.watchers.borrow();
        rank_of(&self.settings.host, watchers.iter().map(|w| &w.host))
    }

    /// Asks the other watchers whether the primary is unreachable for them too.
    ///
    /// Returns this host's rank among the watchers that agree if these are a
    /// majority of the watchers and come from a majority of the zones. This
    /// host counts as agreeing.
    async fn supported_rank(&self) -> Option<u32> {
        let limit = self.settings.timing.agree_after;
        let others = self.others();
        let silences = join_all(others.iter().map(|w| self.ask_view(&w.host))).await;
        let agreeing: Vec<_> = others
            .iter()
            .zip(silences)
            .filter(|(_, silence)| silence.is_some_and(|s| s >= limit))
            .map(|(watcher, _)| watcher.host.clone())
            .collect();
        let watchers = self.watchers.borrow();
        let is_agreeing = |host: &HostId| *host == self.settings.host || agreeing.contains(host);
        let zones = |is_counted: &dyn Fn(&HostId) -> bool| {
            let counted = watchers.iter().filter(|w| is_counted(&w.host));
            counted
                .map(|w| w.zone.clone())
                .collect::<BTreeSet<Zone>>()
                .len()
        };
        let count = watchers.iter().filter(|w| is_agreeing(&w.host)).count();
        let is_enough = 2 * count > watchers.len() && 2 * zones(&is_agreeing) > zones(&|_| true);
        let hosts = watchers.iter().map(|w| &w.host).filter(|h| is_agreeing(h));
        is_enough.then(|| rank_of(&self.settings.host, hosts))?
    }

    /// Replaces the primary unless a query of all members finds an active one.
    async fn replace(&self) {
        self.poll_all().await;
        if self.is_suspicious() {
            self.try_promotion(None).await;
        }
    }

    /// Promotes the same primary in a higher term, so that members that promised
    /// a term above its own accept its entries again.
    ///
    /// A primary that has not answered recently is skipped: it might miss the
    /// new term, and another member would become primary.
    async fn repair(&self) {
        self.poll_all().await;
        let primary = self.view.borrow().primary();
        if let Some((index, _)) = primary
            && self.has_higher_promise()
            && self.view.borrow().silence(index) <= self.settings.timing.poll_interval
        {
            self.try_promotion(Some(index)).await;
        }
    }

    /// Runs a promotion. After a failure, waits a random time, so that concurrent
    /// promoters do not collide again.
    async fn try_promotion(&self, preferred: Option<usize>) {
        if let Err(report) = self.promote(preferred).await {
            tracing::info!(group = %self.settings.group, error = %report, "promotion failed");
            self.poll_requested.notify();
            sleep(Duration::from_millis(random_range(RETRY_JITTER))).await;
        }
    }
}

fn rank_of<'a>(host: &HostId, mut hosts: impl Iterator<Item = &'a HostId>) -> Option<u32> {
    u32::try_from(hosts.position(|h| h == host)?).ok()
}
