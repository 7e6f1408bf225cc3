//! Requests state from other watchers that this one cannot get from the members.

use std::rc::Rc;
use std::time::Duration;

use burdockslip_runtime::{now, sleep};
use burdockslip_types::HostId;
use futures::future::join_all;

use crate::samples::Sample;
use crate::shared::Shared;
use crate::{WatchReply, WatchRequest, Watcher};

/// Queries the other watchers while this one gets no recent answer from a
/// majority of members or from an active primary.
pub(crate) async fn run(shared: Rc<Shared>) {
    loop {
        sleep(shared.settings.timing.poll_interval).await;
        if shared.is_stale() {
            let others = shared.others();
            join_all(others.iter().map(|w| shared.ask_freshness(&w.host))).await;
            join_all(others.iter().map(|w| shared.ask_view(&w.host))).await;
            shared.view_changed.notify();
        }
    }
}

impl Shared {
    /// Returns the watchers other than this host.
    pub(crate) fn others(&self) -> Vec<Watcher> {
        let mut watchers = self.watchers.borrow().clone();
        watchers.retain(|w| w.host != self.settings.host);
        watchers
    }

    fn is_stale(&self) -> bool {
        let limit = self.settings.timing.exchange_after;
        let view = self.view.borrow();
        let sample = view.samples().newest();
        sample.is_none_or(|s| s.at.elapsed() > limit) || view.primary_silence() > limit
    }

    /// Queries a watcher for its newest sample and confirmed position.
    async fn ask_freshness(&self, host: &HostId) {
        let sent = now();
        let group = self.settings.group.clone();
        let limit = self.settings.timing.exchange_timeout;
        let reply = self
            .send(host, WatchRequest::Freshness { group }, limit)
            .await;
        if let Some(WatchReply::Freshness {
            term,
            position,
            age,
            confirmed,
        }) = reply
        {
            // The other host computed the age after `sent`, so the difference is
            // at or before the time at which it queried the majority.
            let at = sent - age;
            let mut view = self.view.borrow_mut();
            view.record_confirmed(confirmed);
            view.record_sample(Sample { at, term, position });
        }
    }

    /// Queries a watcher for its view, merges it, and returns the time since an
    /// active primary last answered that watcher. Returns `None` if the watcher
    /// did not answer.
    pub(crate) async fn ask_view(&self, host: &HostId) -> Option<Duration> {
        let sent = now();
        let group = self.settings.group.clone();
        let limit = self.settings.timing.exchange_timeout;
        let reply = self.send(host, WatchRequest::View { group }, limit).await;
        let Some(WatchReply::View { members, silence }) = reply else {
            return None;
        };
        self.view.borrow_mut().merge(members, sent);
        Some(silence)
    }
}
