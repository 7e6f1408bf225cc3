//! The versions of records that are newer than what is forwarded to peers.

use std::cell::{Ref, RefCell};
use std::collections::BTreeMap;

use burdockslip_store::{Entry, Event};
use burdockslip_types::Revision;

/// The changes of records that are known ahead of the revision up to which all changes have
/// been applied, each with the version that it has replaced.
///
/// A host knows its own writes and the results of single reads before its watch has reached
/// them. What it forwards to peers is the state at the applied revision; without the versions
/// replaced since, a peer would miss changes before the revision that it is told. See
/// `docs/platform.md`, "State".
#[derive(Debug, Default)]
pub(crate) struct History {
    /// The changes of each key, by revision.
    changes: RefCell<BTreeMap<String, Vec<Event>>>,
}

impl History {
    /// Returns whether a change of a key has to be recorded: it is newer than `applied`, or the
    /// key has changes that are.
    pub(crate) fn needs(&self, key: &str, changed: Revision, applied: Revision) -> bool {
        changed > applied || self.changes.borrow().contains_key(key)
    }

    /// Records a change. `replaced` is the version of the record that was known before, if
    /// the change is the newest one.
    pub(crate) fn record(&self, key: &str, change: Event, replaced: Option<Entry>) {
        let mut changes = self.changes.borrow_mut();
        let known = changes.entry(key.to_owned()).or_default();
        if known.is_empty() {
            known.extend(replaced.map(Event::Put));
        }
        let index = known.partition_point(|other| other.revision() < change.revision());
        let is_known = known.get(index).map(Event::revision) == Some(change.revision());
        if !is_known {
            known.insert(index, change);
        }
    }

    /// Forgets what is not needed once all changes up to `applied` have been applied.
    pub(crate) fn advance(&self, applied: Revision) {
        self.changes.borrow_mut().retain(|_, known| {
            let due = known.partition_point(|change| change.revision() <= applied);
            let is_ahead = due < known.len();
            known.drain(..due.saturating_sub(1));
            is_ahead
        });
    }

    /// Returns the changes by key.
    pub(crate) fn changes(&self) -> Ref<'_, BTreeMap<String, Vec<Event>>> {
        self.changes.borrow()
    }
}

/// Returns the last of the changes of a key up to `applied`.
pub(crate) fn last_due(changes: &[Event], applied: Revision) -> Option<&Event> {
    let mut due = changes.iter().rev();
    due.find(|change| change.revision() <= applied)
}
