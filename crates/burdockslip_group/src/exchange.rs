//! Asks other watchers for what this one cannot see itself.

use std::rc::Rc;
use std::time::Duration;

use burdockslip_runtime::{now, sleep};
use burdockslip_types::HostId;
use futures::future::join_all;

use crate::samples::Sample;
use crate::shared::Shared;
use crate::{WatchReply, WatchRequest, Watcher};

/// Asks the other watchers while this one cannot ask a majority of members or
/// its primary.
pub(crate) async fn run(shared: Rc<Shared>) {
    loop {
        sleep(shared.settings.timing.poll_interval).await;
        if shared.is_stale() {
            let others = shared.others();
            join_all(others.iter().map(|w| shared.ask_freshness(&w.host))).await;
            join_all(others.iter().map(|w| shared.ask_view(&w.host))).await;
            shared.changed.notify();
        }
    }
}

impl Shared {
    /// Lists the watchers other than this host.
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

    /// Asks a watcher for the position that bounds the age of replicas.
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
            // The other host read its clock after `sent`, so the difference is
            // a moment at or before the one at which the majority was asked.
            let at = sent - age;
            let mut view = self.view.borrow_mut();
            view.confirm(confirmed);
            view.record(Sample { at, term, position });
        }
    }

    /// Asks a watcher for its view, merges it, and returns how long a working
    /// primary has been silent there.
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
