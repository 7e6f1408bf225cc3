//! Decides when a primary is replaced.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use burdockslip_runtime::{Instant, now, random_range, sleep};
use burdockslip_types::{HostId, Zone};
use futures::future::join_all;

use crate::shared::Shared;
use crate::view::View;

/// Bounds the random wait after a failed promotion, in milliseconds. It spans
/// several promotions of about 10 ms, so that two promoters rarely collide twice.
const RETRY_JITTER: std::ops::Range<u64> = 20..200;

/// Holds since when a reason to act has existed.
#[derive(Debug, Default)]
struct Since(Option<Instant>);

impl Since {
    /// Returns how long the condition has held without interruption.
    fn update(&mut self, is_true: bool) -> Option<Duration> {
        self.0 = is_true.then(|| self.0.unwrap_or_else(now));
        self.0.map(Instant::elapsed)
    }
}

/// Watches the primary and replaces it when a majority of watchers agrees.
pub(crate) async fn run(shared: Rc<Shared>) {
    let timing = shared.settings.timing;
    let (mut suspected, mut divided, mut leaving) =
        (Since::default(), Since::default(), Since::default());
    loop {
        sleep(timing.check_interval).await;
        let backoff = timing.rank_backoff;
        if let Some(span) = suspected.update(shared.is_suspicious()) {
            match shared.supported_rank().await {
                Some(rank) if span >= backoff * rank => shared.replace().await,
                Some(_) => {}
                // Others learn nothing new before their next poll.
                None => sleep(timing.poll_interval).await,
            }
            continue;
        }
        let Some(rank) = shared.rank() else {
            continue;
        };
        let is_divided = divided.update(shared.is_divided());
        if is_divided.is_some_and(|span| span >= timing.repair_after + backoff * rank) {
            shared.repair().await;
        }
        // The first watcher drains before it acts, so the next one waits for that.
        let step = backoff + timing.drain_wait;
        let is_leaving = leaving.update(shared.is_primary_leaving());
        if is_leaving.is_some_and(|span| span >= step * rank) {
            let deadline = now() + timing.drain_wait + timing.entry_timeout;
            // A failure leaves the primary leaving, so the next round repeats it.
            let _ = shared
                .switch_over(None, sleep(timing.drain_wait), deadline)
                .await;
        }
    }
}

impl Shared {
    /// Returns whether this watcher suspects the primary and could replace it.
    ///
    /// Without a majority of members a promotion only raises terms, so it is
    /// not tried.
    fn is_suspicious(&self) -> bool {
        let view = self.view.borrow();
        view.primary_silence() >= self.settings.timing.suspect_after && self.is_hearing(&view)
    }

    /// Returns whether a majority of members answered recently.
    pub(crate) fn is_hearing(&self, view: &View) -> bool {
        let limit = self.settings.timing.suspect_after;
        let heard = (0..self.members.len()).filter(|&index| view.silence(index) < limit);
        heard.count() >= view.majority()
    }

    /// Returns whether a member has promised a higher term than the primary's
    /// and therefore takes no more entries from it.
    fn is_divided(&self) -> bool {
        let view = self.view.borrow();
        view.primary()
            .is_some_and(|(_, term)| view.highest_term() > term)
    }

    fn is_primary_leaving(&self) -> bool {
        let view = self.view.borrow();
        let primary = view.primary().and_then(|(index, _)| view.report(index));
        primary.is_some_and(|report| report.status.is_leaving)
    }

    /// Returns this host's rank among all watchers, or none if it is not one
    /// of them; it then only watches.
    fn rank(&self) -> Option<u32> {
        let watchers = self.watchers.borrow();
        rank_of(&self.settings.host, watchers.iter().map(|w| &w.host))
    }

    /// Asks the other watchers whether the primary is silent there too, and
    /// returns this host's rank among those that agree if they are enough.
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

    /// Replaces the primary unless a survey of all members finds one that works.
    async fn replace(&self) {
        self.survey().await;
        if self.is_suspicious() {
            self.try_promotion(None).await;
        }
    }

    /// Promotes the same primary in a higher term, so that members left behind
    /// in a term above its own accept its entries again. A primary that answers
    /// late would lose its place by this, so it is left alone.
    async fn repair(&self) {
        self.survey().await;
        let primary = self.view.borrow().primary();
        if let Some((index, _)) = primary
            && self.is_divided()
            && self.view.borrow().silence(index) <= self.settings.timing.poll_interval
        {
            self.try_promotion(Some(index)).await;
        }
    }

    /// Runs a promotion, and after a failure waits a random time, so that
    /// concurrent promoters do not collide again.
    async fn try_promotion(&self, preferred: Option<usize>) {
        if let Err(report) = self.promote(preferred).await {
            tracing::info!(group = %self.settings.group, error = %report, "promotion failed");
            self.wanted.notify();
            sleep(Duration::from_millis(random_range(RETRY_JITTER))).await;
        }
    }
}

fn rank_of<'a>(host: &HostId, mut hosts: impl Iterator<Item = &'a HostId>) -> Option<u32> {
    u32::try_from(hosts.position(|h| h == host)?).ok()
}
