//! The changes of the store that hosts forward to each other.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use burdockslip_runtime::now;
use burdockslip_store::Event;
use burdockslip_types::{Result, Revision, domain};
use futures::future::LocalBoxFuture;

use crate::Directory;
use crate::directory::Shared;
use crate::history::last_due;

domain! {
    /// Changes of the store that a peer forwards: with the state at the revision for which
    /// they were requested, they make up the state at `revision`.
    pub struct Changes {
        /// The last change of each key up to `revision`, by revision.
        pub events: Vec<Event>,
        /// All keys that existed at `revision`, if the peer does not know which ones were
        /// deleted.
        pub keys: Option<Vec<String>>,
        /// The revision up to which all changes are included.
        pub revision: Revision,
        /// How long ago, at most, this was the newest state of the store.
        pub age: Duration,
    }
}

/// Requests the changes after a revision from a peer, which waits for some time until
/// there are any.
pub type Relay = Rc<dyn Fn(Revision) -> LocalBoxFuture<'static, Result<Changes>>>;

impl Directory {
    /// Returns the changes after `revision`, or `None` if the store has never been read, or
    /// only in part up to now.
    pub fn changes_since(&self, revision: Revision) -> Option<Changes> {
        let shared = &self.shared;
        let is_complete = self.is_loaded() && self.applied() >= shared.history_from.get();
        let age = shared.recency.age().filter(|_| is_complete)?;
        Some(shared.changes_since(revision, age))
    }
}

impl Shared {
    /// Keeps a change that is ahead of the applied revision, or older than one that is, for
    /// peers to which the later one is not forwarded yet.
    pub(crate) fn record_ahead(
        &self,
        key: &str,
        revision: Revision,
        change: impl FnOnce() -> Event,
    ) {
        let is_tracked = self.history.contains(key);
        if !is_tracked && revision <= self.applied.get() {
            return;
        }
        let known = self.entries.borrow().get(key).cloned();
        let replaced = known.filter(|_| !is_tracked);
        self.history.record(key, change(), replaced);
    }

    /// Applies the changes that a peer has forwarded.
    ///
    /// Returns whether they are from the current era. Those of an earlier one are ignored,
    /// and those of a newer one have to include all keys.
    pub(crate) fn apply_changes(&self, changes: Changes) -> bool {
        if !self.enter_era(changes.revision) || !self.is_loaded() && changes.keys.is_none() {
            return false;
        }
        self.set_applied(changes.revision);
        if let Some(keys) = &changes.keys {
            self.retain(keys, changes.revision);
        }
        for event in changes.events {
            self.apply_event(event);
        }
        if changes.keys.is_some() {
            self.record_loaded(changes.revision);
        }
        self.recency.record_received(changes.revision);
        self.recency.record_newest(now() - changes.age);
        true
    }

    /// Returns the changes between `revision` and the applied revision.
    ///
    /// Changes ahead of it are left out, because the peer continues from the applied revision
    /// and would receive them again with each request. The versions that they have replaced
    /// are included: a peer that missed one would take the records that it knows for those
    /// of a revision at which they were outdated.
    fn changes_since(&self, revision: Revision, age: Duration) -> Changes {
        let entries = self.entries.borrow();
        let history = self.history.changes();
        let applied = self.applied.get();
        let is_due = |changed: Revision| changed > revision && changed <= applied;
        // The newest version is that of the applied revision, or there is an earlier one.
        let current = entries.values().filter(|entry| entry.revision <= applied);
        let earlier: BTreeMap<&String, &Event> = history
            .iter()
            .filter_map(|(key, known)| Some((key, last_due(known, applied)?)))
            .collect();

        let puts = current.clone().filter(|entry| is_due(entry.revision));
        let mut events: Vec<_> = puts.cloned().map(Event::Put).collect();
        let others = earlier.values().filter(|event| is_due(event.revision()));
        events.extend(others.map(|event| Event::clone(event)));
        let is_complete = revision >= self.deletions_from.get();
        if is_complete {
            let is_current = |key: &String| {
                let entry = entries.get(key);
                entry.is_some_and(|entry| entry.revision <= applied)
            };
            let deletions = self.deletions.borrow();
            let deleted = deletions.iter().filter(|(changed, key)| {
                is_due(*changed) && !is_current(key) && !earlier.contains_key(key)
            });
            events.extend(deleted.map(|(changed, key)| Event::Delete(key.clone(), *changed)));
        }
        let is_put = |event: &Event| matches!(event, Event::Put(_));
        let existing = earlier.iter().filter(|(_, event)| is_put(event));
        let keys = current.map(|entry| &entry.key);
        let keys = keys.chain(existing.map(|(key, _)| *key)).cloned();
        let keys = (!is_complete).then(|| keys.collect());
        events.sort_by_key(Event::revision);
        Changes {
            events,
            keys,
            revision: applied,
            age,
        }
    }
}
