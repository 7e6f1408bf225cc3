//! How recent the local copy of the store is.

use std::cell::Cell;
use std::time::Duration;

use burdockslip_runtime::Instant;
use burdockslip_types::Revision;

/// How long changes may be missing of which a read has shown that they exist. A watch
/// delivers them within 0.7 s, also from a slow store.
const LAG_LIMIT: Duration = Duration::from_millis(1_500);

/// Compares the changes that were received with the revisions that reads return.
///
/// A watch on a dead connection reports no error, and one without events may have
/// nothing to report. A read that returns a revision which the watch does not deliver
/// tells the two apart; see `docs/platform.md`, "State".
#[derive(Debug, Default)]
pub(crate) struct Recency {
    /// The revision up to which all changes were received.
    received: Cell<Revision>,
    /// The oldest read that returned a later revision, and when it was sent.
    missing: Cell<Option<(Revision, Instant)>>,
    /// The latest moment at which the local copy had the newest state of the store.
    newest_at: Cell<Option<Instant>>,
}

impl Recency {
    /// Forgets what was received in an earlier era of the store.
    pub(crate) fn reset(&self) {
        self.received.take();
        self.missing.take();
        self.newest_at.take();
    }

    /// Returns how long ago, at most, the local copy had the newest state of the store,
    /// or `None` if it never had.
    pub(crate) fn age(&self) -> Option<Duration> {
        self.newest_at.get().map(Instant::elapsed)
    }

    /// Records that the local copy had the newest state of the store at `moment`.
    pub(crate) fn record_newest(&self, moment: Instant) {
        let latest = self
            .newest_at
            .get()
            .map_or(moment, |known| known.max(moment));
        self.newest_at.set(Some(latest));
    }

    /// Records that all changes up to `revision` were received.
    pub(crate) fn record_received(&self, revision: Revision) {
        self.received.set(self.received.get().max(revision));
        if let Some((missing, sent)) = self.missing.get()
            && missing <= self.received.get()
        {
            self.missing.set(None);
            self.record_newest(sent);
        }
    }

    /// Records a read, sent at `sent`, that returned the store's revision.
    pub(crate) fn record_read(&self, revision: Revision, sent: Instant) {
        if revision <= self.received.get() {
            self.record_newest(sent);
        } else if self.missing.get().is_none() {
            self.missing.set(Some((revision, sent)));
        }
    }

    /// Returns whether changes have been missing for too long.
    pub(crate) fn is_behind(&self) -> bool {
        let missing = self.missing.get();
        missing.is_some_and(|(_, sent)| sent.elapsed() > LAG_LIMIT)
    }
}
