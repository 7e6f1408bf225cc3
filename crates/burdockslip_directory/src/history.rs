//! The changes of records that are not forwarded to peers yet, and the versions before them.

use std::cell::{Ref, RefCell};
use std::collections::BTreeMap;

use burdockslip_store::{Entry, Event};
use burdockslip_types::Revision;

/// The changes of records that are ahead of the applied revision, each with the version that
/// it has replaced.
///
/// A host knows its own writes and the results of single reads before its watch has reached
/// them. It forwards the state at the applied revision, which has the replaced versions. See
/// `docs/platform.md`, "State".
#[derive(Debug, Default)]
pub(crate) struct History {
    /// The changes of each key, by revision.
    changes: RefCell<BTreeMap<String, Vec<Event>>>,
}

impl History {
    /// Returns whether a key has changes that are ahead.
    pub(crate) fn contains(&self, key: &str) -> bool {
        self.changes.borrow().contains_key(key)
    }

    /// Records a change of a key. `replaced` is the version of the record that was known
    /// before; it is kept if the key had no changes that are ahead.
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

    /// Forgets the changes that have been followed by another one up to `applied`, and the
    /// keys without changes after it.
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
