//! The entries of one section at one revision.

use std::collections::BTreeMap;
use std::rc::Rc;

use burdockslip_store::{Event, Page};
use burdockslip_types::Revision;

use crate::patch::MIN_PATCHED_BYTES;
use crate::{Change, Cursor, Entry, Patch, Section};

/// The maximum size of the keys and values in one message, unless a single entry
/// is larger: a value of 1 MB is sent alone, below the message limit of 1 MiB.
const CHUNK_BYTES: usize = 256 << 10;

/// The maximum number of deletions that are kept. A host that is too far behind
/// for them gets the whole section.
const MAX_DELETES: usize = 4096;

/// The entries of one section as they were in the store at `revision`, so that
/// equal revisions mean equal contents.
pub(crate) struct Content {
    section: Section,
    revision: Revision,
    /// The oldest revision since which all changes are known.
    history_start: Revision,
    entries: BTreeMap<Rc<str>, Entry>,
    /// The previous values of large entries, as the base of patches.
    previous: BTreeMap<Rc<str>, Entry>,
    deletes: BTreeMap<Rc<str>, Revision>,
}

impl Content {
    pub(crate) fn new(section: Section) -> Self {
        Self {
            section,
            revision: Revision(0),
            history_start: Revision(0),
            entries: BTreeMap::new(),
            previous: BTreeMap::new(),
            deletes: BTreeMap::new(),
        }
    }

    pub(crate) fn revision(&self) -> Revision {
        self.revision
    }

    pub(crate) fn entries<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = &'a Entry> {
        self.entries
            .range(Rc::from(prefix)..)
            .map(|(_, entry)| entry)
            .take_while(move |entry| entry.key.starts_with(prefix))
    }

    /// Applies a full read of the store and returns whether anything changed.
    ///
    /// Returns `None` if the store is behind this content, which happens when it
    /// has lost data.
    pub(crate) fn load(&mut self, page: Page) -> Option<bool> {
        if page.revision < self.revision {
            return None;
        }
        let entries = page.entries.into_iter();
        let fresh: BTreeMap<Rc<str>, Entry> = entries
            .filter(|entry| self.section.contains(&entry.key))
            .map(|entry| {
                let key: Rc<str> = Rc::from(entry.key);
                let entry = Entry {
                    key: Rc::clone(&key),
                    value: Rc::from(entry.value),
                    revision: entry.revision,
                };
                (key, entry)
            })
            .collect();
        if self.revision == Revision(0) {
            self.replace(fresh, page.revision);
            return Some(self.revision > Revision(0));
        }
        if fresh == self.entries {
            return Some(false);
        }
        let removed = self.entries.keys().filter(|key| !fresh.contains_key(*key));
        let removed: Vec<_> = removed.cloned().collect();
        for key in removed {
            self.deletes.insert(key, page.revision);
        }
        let old = std::mem::replace(&mut self.entries, fresh);
        let is_changed = |entry: &&Entry| self.entries.get(&entry.key) != Some(*entry);
        let changed: Vec<_> = old.values().filter(is_changed).cloned().collect();
        for entry in changed {
            self.keep_previous(entry);
        }
        self.revision = page.revision;
        self.trim_deletes();
        Some(true)
    }

    fn replace(&mut self, entries: BTreeMap<Rc<str>, Entry>, revision: Revision) {
        self.entries = entries;
        self.previous.clear();
        self.deletes.clear();
        self.revision = revision;
        self.history_start = revision;
    }

    /// Applies the events of a watch; `events` must contain all events of each
    /// transaction.
    pub(crate) fn apply_events(&mut self, events: Vec<Event>) -> bool {
        let mut change = Change {
            section: self.section,
            revision: self.revision,
            is_full: false,
            puts: Vec::new(),
            patches: Vec::new(),
            deletes: Vec::new(),
            continue_after: None,
        };
        for event in events {
            match event {
                Event::Put(entry) if self.section.contains(&entry.key) => {
                    change.revision = change.revision.max(entry.revision);
                    change.puts.push(Entry {
                        key: Rc::from(entry.key),
                        value: Rc::from(entry.value),
                        revision: entry.revision,
                    });
                }
                Event::Delete(key, revision) if self.section.contains(&key) => {
                    change.revision = change.revision.max(revision);
                    change.deletes.push((Rc::from(key), revision));
                }
                _ => {}
            }
        }
        self.apply(change)
    }

    /// Applies a change if it leads to a higher revision and its patches fit;
    /// returns whether it did.
    pub(crate) fn apply(&mut self, change: Change) -> bool {
        if change.revision <= self.revision {
            return false;
        }
        if change.is_full {
            let puts = change.puts.into_iter();
            let entries = puts.map(|entry| (Rc::clone(&entry.key), entry)).collect();
            self.replace(entries, change.revision);
            return true;
        }
        let Some(patched) = self.apply_patches(&change.patches) else {
            return false;
        };
        for entry in change.puts.into_iter().chain(patched) {
            self.put(entry);
        }
        for (key, revision) in change.deletes {
            self.delete(&key, revision);
        }
        self.revision = change.revision;
        self.trim_deletes();
        true
    }

    fn put(&mut self, entry: Entry) {
        let is_newer = |old: Option<&Revision>| old.is_none_or(|old| *old < entry.revision);
        let old = self.entries.get(&entry.key).map(|old| &old.revision);
        if is_newer(old) && is_newer(self.deletes.get(&entry.key)) {
            self.deletes.remove(&entry.key);
            if let Some(old) = self.entries.insert(Rc::clone(&entry.key), entry) {
                self.keep_previous(old);
            }
        }
    }

    /// Keeps a replaced value as the base of patches, if it is large.
    fn keep_previous(&mut self, old: Entry) {
        if old.value.len() >= MIN_PATCHED_BYTES {
            self.previous.insert(Rc::clone(&old.key), old);
        }
    }

    /// Returns the entries that result from `patches`, or `None` if one of them
    /// does not apply; the caller then requests the change again.
    fn apply_patches(&self, patches: &[Patch]) -> Option<Vec<Entry>> {
        let entry = |patch: &Patch| patch.apply(self.entries.get(&patch.key)?);
        patches.iter().map(entry).collect()
    }

    /// Returns `entry` as a patch, if a host at revision `have` has the previous
    /// value.
    fn patch_for(&self, entry: &Entry, have: Revision) -> Option<Patch> {
        let old = self.previous.get(&entry.key)?;
        let is_held = old.revision <= have && have < entry.revision;
        is_held.then(|| Patch::between(old, entry))
    }

    fn delete(&mut self, key: &Rc<str>, revision: Revision) {
        let entry = self.entries.get(key);
        if entry.is_none_or(|entry| entry.revision < revision) {
            self.entries.remove(key);
            self.deletes.insert(Rc::clone(key), revision);
        }
    }

    fn trim_deletes(&mut self) {
        while self.deletes.len() > MAX_DELETES {
            let oldest = self.deletes.iter().min_by_key(|(_, revision)| **revision);
            let Some((key, revision)) = oldest.map(|(key, revision)| (key.clone(), *revision))
            else {
                return;
            };
            self.deletes.remove(&key);
            self.history_start = self.history_start.max(revision);
        }
    }

    /// Returns the next part of the change from `have` to the current revision,
    /// or `None` if a host at `have` is not behind.
    ///
    /// A cursor of another section or target revision is ignored.
    pub(crate) fn change(&self, have: Revision, cursor: Option<&Cursor>) -> Option<Change> {
        if have >= self.revision {
            return None;
        }
        let is_resumed =
            |cursor: &&Cursor| cursor.section == self.section && cursor.target == self.revision;
        let after = cursor.filter(is_resumed).map(|cursor| &cursor.after);
        let is_due = |key: &Rc<str>| after.is_none_or(|after| key > after);
        let is_full = have < self.history_start;
        let mut change = Change {
            section: self.section,
            revision: self.revision,
            is_full,
            puts: Vec::new(),
            patches: Vec::new(),
            deletes: Vec::new(),
            continue_after: None,
        };
        let mut size = 0;
        let mut last = None;
        let entries = self.entries.values();
        for entry in entries.filter(|e| (is_full || e.revision > have) && is_due(&e.key)) {
            let patch = self.patch_for(entry, have).filter(|_| !is_full);
            let length = patch.as_ref().map_or(entry.value.len(), |p| p.middle.len());
            if size > 0 && size + length > CHUNK_BYTES {
                change.continue_after = last;
                return Some(change);
            }
            size += entry.key.len() + length;
            last = Some(Rc::clone(&entry.key));
            match patch {
                Some(patch) => change.patches.push(patch),
                None => change.puts.push(entry.clone()),
            }
        }
        if !is_full {
            let deletes = self
                .deletes
                .iter()
                .filter(|(_, revision)| **revision > have);
            change.deletes = deletes
                .map(|(k, revision)| (k.clone(), *revision))
                .collect();
        }
        Some(change)
    }
}
