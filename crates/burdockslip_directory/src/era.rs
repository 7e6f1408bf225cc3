//! What is kept when the store comes back from an older copy.
//!
//! See `docs/design/store-era.md`.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::time::Duration;

use burdockslip_runtime::{Instant, now};
use burdockslip_store::Entry;
use burdockslip_types::Revision;
use tracing::{info, warn};

use crate::Directory;
use crate::directory::Shared;

/// How long after it learned of an era a host confirms no configuration. The operator
/// writes again what is lost, which may be a version that no host has seen.
const REWRITE_SPAN: Duration = Duration::from_secs(1);

/// The era of the store that a host knows, and the records that it knew before.
#[derive(Debug, Default)]
pub(crate) struct Eras {
    current: Cell<u64>,
    /// When the current era became known; `None` in the first one.
    since: Cell<Option<Instant>>,
    /// The latest era in which the whole store was read.
    loaded: Cell<Option<u64>>,
    /// The latest era in which the whole store was read before the current one.
    loaded_before: Cell<Option<u64>>,
    /// The different values of each record in earlier eras.
    earlier: RefCell<BTreeMap<String, Vec<Entry>>>,
}

impl Eras {
    pub(crate) fn current(&self) -> u64 {
        self.current.get()
    }

    pub(crate) fn since(&self) -> Option<Instant> {
        self.since.get()
    }

    pub(crate) fn loaded_before(&self) -> Option<u64> {
        self.loaded_before.get()
    }

    /// Returns whether the operator may not have written again by `moment` what the store
    /// lost.
    fn is_rewriting(&self, moment: Instant) -> bool {
        let since = self
            .since
            .get()
            .filter(|_| self.loaded_before.get().is_some());
        since.is_some_and(|since| moment < since + REWRITE_SPAN)
    }

    /// Returns whether the whole store has been read in the current era.
    pub(crate) fn is_loaded(&self) -> bool {
        self.loaded.get() == Some(self.current.get())
    }

    /// Returns whether the whole store has been read in any era.
    pub(crate) fn was_loaded(&self) -> bool {
        self.loaded.get().is_some()
    }

    pub(crate) fn record_loaded(&self) {
        self.loaded.set(Some(self.current.get()));
    }

    /// Starts a newer era; `records` are those that are known from the current one.
    pub(crate) fn enter(&self, era: u64, records: impl Iterator<Item = Entry>) {
        let known = self.current.get();
        if self.was_loaded() {
            warn!(
                known,
                era, "store came back from an older copy, reloading it"
            );
        } else {
            info!(era, "store has come back from older copies before");
        }
        self.current.set(era);
        self.since.set(Some(now()));
        self.loaded_before.set(self.loaded.get());
        let mut earlier = self.earlier.borrow_mut();
        for record in records {
            let values = earlier.entry(record.key.clone()).or_default();
            if values.iter().all(|known| known.value != record.value) {
                values.push(record);
            }
        }
    }

    pub(crate) fn earlier(&self, key: &str) -> Vec<Entry> {
        self.earlier.borrow().get(key).cloned().unwrap_or_default()
    }

    pub(crate) fn forget(&self, key: &str) {
        self.earlier.borrow_mut().remove(key);
    }
}

impl Directory {
    /// Returns the era of the store: the number of times that it has come back from an
    /// older copy.
    pub fn era(&self) -> u64 {
        self.shared.eras.current()
    }

    /// Returns when the era became known, or `None` in the first one.
    pub fn era_since(&self) -> Option<Instant> {
        self.shared.eras.since()
    }

    /// Returns the latest era before the current one in which the whole store was read.
    pub fn loaded_before(&self) -> Option<u64> {
        self.shared.eras.loaded_before()
    }

    /// Returns the different values that the record under `key` had in earlier eras.
    pub fn earlier_records(&self, key: &str) -> Vec<Entry> {
        self.shared.eras.earlier(key)
    }

    /// Forgets the values that the record under `key` had in earlier eras.
    pub fn forget_earlier(&self, key: &str) {
        self.shared.eras.forget(key);
    }

    /// Records that a peer has a version of the configuration in force. Until this host
    /// has it, too, nothing confirms its own.
    pub fn expect_version(&self, version: u64) {
        let newest = self.shared.newest_version.get().max(version);
        self.shared.newest_version.set(newest);
    }
}

impl Shared {
    /// Enters the era of a revision if it is newer than the known one. Returns whether the
    /// revision is of the current era.
    pub(crate) fn enter_era(&self, revision: Revision) -> bool {
        let era = revision.era();
        if era > self.eras.current() {
            let entries = self.entries.borrow();
            let is_own = |entry: &&Entry| {
                entry.key != self.schema.configuration
                    && !entry.key.starts_with(self.schema.members)
            };
            self.eras
                .enter(era, entries.values().filter(is_own).cloned());
            drop(entries);
            self.recency.reset();
            self.changed.notify();
        }
        era == self.eras.current()
    }

    /// Records that the whole store has been read at `revision`; returns whether it is the
    /// first time in this era.
    pub(crate) fn record_loaded(&self, revision: Revision) -> bool {
        let is_first = !self.eras.is_loaded();
        if is_first {
            self.eras.record_loaded();
            // What was deleted before is unknown, and other hosts may still have it.
            self.deletions_from.set(revision);
            self.changed.notify();
        }
        is_first
    }

    /// Returns whether a read sent at `moment` confirms the version in force: it is the
    /// newest known one and in the store in its current era.
    pub(crate) fn is_configuration_stored(&self, moment: Instant) -> bool {
        if self.eras.is_rewriting(moment) {
            return false;
        }
        let known = self.configuration.borrow();
        let era = self.eras.current();
        known.as_ref().is_none_or(|configuration| {
            era == 0
                || configuration.version >= self.newest_version.get()
                    && self.configuration_revision.get().era() == era
        })
    }
}
