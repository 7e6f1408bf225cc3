//! A local copy of the store's content.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use burdockslip_runtime::{Instant, Signal, Task, spawn};
use burdockslip_store::{Entry, Event, Store};
use burdockslip_types::{GroupName, MemberName, Result, Revision, Zone};
use tracing::{info, warn};

use crate::changes::Relay;
use crate::era::Eras;
use crate::evacuation::Evacuations;
use crate::follow;
use crate::history::History;
use crate::known_member::KnownMember;
use crate::recency::Recency;
use crate::{Configuration, Member, MemberRecord};

/// How long after its last confirmation a configuration may authorise requests.
///
/// Operators require that a withdrawn key stops working within 5 s of the
/// acknowledgement. 300 ms of this are reserved for differing clock rates and for
/// the way of a request to the upstream.
pub const KEY_VALIDITY: Duration = Duration::from_millis(4_700);

/// The keys under which the operator's records are stored, and the functions of an
/// adapter that decode them.
#[derive(Debug, Clone, Copy)]
pub struct Schema {
    /// The key of the configuration.
    pub configuration: &'static str,
    /// The prefix of the members' records.
    pub members: &'static str,
    /// The prefix of the records of availability zones that are to be evacuated; the rest
    /// of a key is the zone.
    pub evacuations: &'static str,
    /// Decodes a configuration.
    pub read_configuration: fn(&[u8]) -> Result<Configuration>,
    /// Decodes a member's record; the first argument is its key without the prefix.
    pub read_member: fn(&str, &[u8]) -> Result<MemberRecord>,
    /// Checks the value of the record of an evacuation.
    pub read_evacuation: fn(&[u8]) -> Result<()>,
}

/// The maximum number of deletions kept for other hosts; each takes about 60 bytes.
const MAX_DELETIONS: usize = 256;

pub(crate) struct Shared {
    pub(crate) schema: Schema,
    pub(crate) store: Store,
    pub(crate) configuration: RefCell<Option<Rc<Configuration>>>,
    pub(crate) configuration_revision: Cell<Revision>,
    /// The latest moment at which the configuration was the newest one.
    confirmed_at: Cell<Option<Instant>>,
    /// The latest of these moments of which the store or the coordinator told this host.
    contact_at: Cell<Option<Instant>>,
    pub(crate) members: RefCell<HashMap<MemberName, KnownMember>>,
    pub(crate) evacuations: Evacuations,
    /// The start of the last known run of each member, also of those without a record.
    pub(crate) runs: RefCell<HashMap<MemberName, u64>>,
    pub(crate) entries: RefCell<BTreeMap<String, Entry>>,
    /// The revisions and keys of the latest deletions, for other hosts.
    pub(crate) deletions: RefCell<VecDeque<(Revision, String)>>,
    /// The revision after which `deletions` is complete.
    pub(crate) deletions_from: Cell<Revision>,
    /// The revision up to which all changes have been applied.
    pub(crate) applied: Cell<Revision>,
    /// The changes ahead of `applied`.
    pub(crate) history: History,
    /// The applied revision from which `history` has all versions that peers need.
    pub(crate) history_from: Cell<Revision>,
    pub(crate) recency: Recency,
    pub(crate) relay: RefCell<Option<(Relay, &'static str)>>,
    pub(crate) eras: Eras,
    /// The newest version of the configuration that is known to exist.
    pub(crate) newest_version: Cell<u64>,
    pub(crate) is_coordinator: Cell<bool>,
    pub(crate) changed: Signal,
}

/// Keeps a local copy of the store up to date until the last clone is dropped.
#[derive(Clone)]
pub struct Directory {
    pub(crate) shared: Rc<Shared>,
    _following: Rc<(Task<()>, Task<()>)>,
}

impl Directory {
    /// Starts the tasks that follow the store.
    pub fn spawn(store: Store, schema: Schema) -> Self {
        let shared = Rc::new(Shared {
            schema,
            store,
            configuration: RefCell::default(),
            configuration_revision: Cell::default(),
            confirmed_at: Cell::default(),
            contact_at: Cell::default(),
            members: RefCell::default(),
            evacuations: Evacuations::default(),
            runs: RefCell::default(),
            entries: RefCell::default(),
            deletions: RefCell::default(),
            deletions_from: Cell::default(),
            applied: Cell::default(),
            history: History::default(),
            history_from: Cell::default(),
            recency: Recency::default(),
            relay: RefCell::default(),
            eras: Eras::default(),
            newest_version: Cell::default(),
            is_coordinator: Cell::new(false),
            changed: Signal::default(),
        });
        let watching = spawn(follow::watch(Rc::clone(&shared)));
        let confirming = spawn(follow::confirm(Rc::clone(&shared)));
        Self {
            shared,
            _following: Rc::new((watching, confirming)),
        }
    }

    /// Returns the newest valid configuration, or `None` before the first was read.
    pub fn configuration(&self) -> Option<Rc<Configuration>> {
        self.shared.configuration.borrow().clone()
    }

    /// Returns whether the whole store has been read in its current era.
    ///
    /// The configuration may be available before. Until then, a record that is missing
    /// here may exist in the store.
    pub fn is_loaded(&self) -> bool {
        self.shared.eras.is_loaded()
    }

    /// Returns the time since the configuration was last confirmed to be the newest
    /// one, or `None` if it never was.
    pub fn configuration_age(&self) -> Option<Duration> {
        self.shared.confirmed_at.get().map(Instant::elapsed)
    }

    /// Returns the revision of the configuration, or zero if there is none.
    pub fn configuration_revision(&self) -> Revision {
        self.shared.configuration_revision.get()
    }

    /// Returns the time since the store or the coordinator last told this host, by itself,
    /// which configuration was the newest one, or `None` if they never did.
    ///
    /// Other hosts that confirm the configuration say nothing about the tokens and the
    /// fractions of rates that the coordinator counts on this host to use.
    pub fn contact_age(&self) -> Option<Duration> {
        self.shared.contact_at.get().map(Instant::elapsed)
    }

    /// Records the confirmation of the coordinator that `revision` was the newest
    /// configuration at `moment`. It is ignored if this host has another revision.
    pub fn confirm(&self, revision: Revision, moment: Instant) {
        if revision == self.shared.configuration_revision.get() {
            self.shared.confirm(moment);
        }
    }

    /// Records the confirmation of any other host; see [`Directory::confirm`].
    pub fn confirm_relayed(&self, revision: Revision, moment: Instant) {
        if revision == self.shared.configuration_revision.get() {
            self.shared.confirm_configuration(moment);
        }
    }

    /// Sets whether this host is the coordinator, which confirms the configuration
    /// more often because the other hosts rely on it.
    pub fn set_coordinator(&self, is_coordinator: bool) {
        self.shared.is_coordinator.set(is_coordinator);
    }

    /// Returns whether the configuration was confirmed recently enough to authorise
    /// requests.
    pub fn is_configuration_current(&self) -> bool {
        self.configuration_age()
            .is_some_and(|age| age < KEY_VALIDITY)
    }

    /// Returns the usable members of a group, sorted by name: those with a record, and
    /// those whose record has been missing for a short time only.
    pub fn members(&self, group: &GroupName) -> Vec<Rc<Member>> {
        let mut members: Vec<_> = self
            .shared
            .members
            .borrow()
            .values()
            .filter(|known| known.member.group == *group && known.is_usable())
            .map(|known| Rc::clone(&known.member))
            .collect();
        members.sort_by(|left, right| left.name.cmp(&right.name));
        members
    }

    /// Returns the usable members of all groups; see [`Directory::members`].
    pub fn all_members(&self) -> Vec<Rc<Member>> {
        let members = self.shared.members.borrow();
        let usable = members.values().filter(|known| known.is_usable());
        usable.map(|known| Rc::clone(&known.member)).collect()
    }

    /// Returns a member if it is usable; see [`Directory::members`].
    pub fn member(&self, name: &MemberName) -> Option<Rc<Member>> {
        let members = self.shared.members.borrow();
        let known = members.get(name).filter(|known| known.is_usable())?;
        Some(Rc::clone(&known.member))
    }

    /// Returns how long a member has been known to be about to leave, or `None` if it
    /// stays.
    pub fn draining_for(&self, name: &MemberName) -> Option<Duration> {
        let members = self.shared.members.borrow();
        let since = members.get(name)?.draining_since?;
        Some(since.elapsed())
    }

    /// Returns how long ago, at most, the evacuation of an availability zone was requested,
    /// or `None` if it is not evacuated. It is `Duration::MAX` if the request is older than
    /// what this host knows.
    pub fn evacuated_for(&self, zone: &Zone) -> Option<Duration> {
        self.shared.evacuations.age(zone)
    }

    /// Returns the revision up to which the local copy includes all changes.
    pub fn applied(&self) -> Revision {
        self.shared.applied.get()
    }

    /// Returns whether any availability zone is evacuated.
    pub fn is_evacuating(&self) -> bool {
        !self.shared.evacuations.is_empty()
    }

    /// Returns the availability zones that are evacuated, sorted.
    pub fn evacuated_zones(&self) -> Vec<Zone> {
        self.shared.evacuations.zones()
    }

    /// Returns until when a member is cold according to its newest record, or `None` if it
    /// is not. See `docs/design/member-pace.md`.
    pub fn cold_until(&self, name: &MemberName) -> Option<Instant> {
        let members = self.shared.members.borrow();
        members.get(name)?.cold.until()
    }

    /// Returns when the current run of a member was first seen, or `None` if it was there
    /// when the store was first read.
    pub fn seen_at(&self, name: &MemberName) -> Option<Instant> {
        self.shared.members.borrow().get(name)?.seen
    }

    /// Returns whether a member has a record according to the local copy. A member
    /// without one stays usable for some time.
    pub fn is_listed(&self, name: &MemberName) -> bool {
        let members = self.shared.members.borrow();
        members
            .get(name)
            .is_some_and(|known| known.missing_since.is_none())
    }

    /// Reloads the records under `prefix` from the store, in case the watch has missed
    /// changes. Deleted records are not detected.
    ///
    /// # Errors
    ///
    /// Returns `StoreUnavailable` if the store does not answer.
    pub async fn refresh(&self, prefix: &str) -> Result<()> {
        let page = self.shared.store.range(prefix).await?;
        page.entries.into_iter().for_each(|entry| self.apply(entry));
        Ok(())
    }

    /// Returns the prefix of the members' records.
    pub fn members_prefix(&self) -> &'static str {
        self.shared.schema.members
    }

    /// Returns the record under `key`, if it is in the local copy.
    pub fn record(&self, key: &str) -> Option<Entry> {
        self.shared.entries.borrow().get(key).cloned()
    }

    /// Returns the revision of the record under `key`, if it is in the local copy.
    pub fn revision(&self, key: &str) -> Option<Revision> {
        self.shared.revision(key)
    }

    /// Returns the records whose keys start with `prefix`, sorted by key.
    pub fn records(&self, prefix: &str) -> Vec<Entry> {
        let entries = self.shared.entries.borrow();
        entries
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(_, entry)| entry.clone())
            .collect()
    }

    /// Returns the number of records whose keys start with `prefix`.
    pub fn count(&self, prefix: &str) -> usize {
        let entries = self.shared.entries.borrow();
        entries
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .count()
    }

    /// Applies a record that was obtained outside of the watch, such as one just
    /// written by this host, unless a newer one is known.
    pub fn apply(&self, entry: Entry) {
        self.shared.put(entry);
    }

    /// Sets the relay from which changes are received instead of the store, as long as
    /// it supplies them.
    ///
    /// While `relay` fails with `NoPrimary`, only the record under `leader_key` is
    /// watched at the store.
    pub fn set_relay(&self, relay: Relay, leader_key: &'static str) {
        *self.shared.relay.borrow_mut() = Some((relay, leader_key));
    }

    /// Returns the signal that is notified of every change of the local copy.
    pub fn changed(&self) -> &Signal {
        &self.shared.changed
    }

    /// Returns the client of the store.
    pub fn store(&self) -> &Store {
        &self.shared.store
    }
}

impl fmt::Debug for Directory {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Directory")
    }
}

impl Shared {
    fn revision(&self, key: &str) -> Option<Revision> {
        let entries = self.entries.borrow();
        Some(entries.get(key)?.revision)
    }

    /// Applies an entry unless a newer one is known.
    pub(crate) fn put(&self, entry: Entry) {
        if !self.enter_era(entry.revision) {
            return;
        }
        self.record_ahead(&entry.key, entry.revision, || Event::Put(entry.clone()));
        let is_known = |known: &Entry| known.revision >= entry.revision;
        if self.entries.borrow().get(&entry.key).is_some_and(is_known) || self.is_deleted(&entry) {
            return;
        }
        if entry.key == self.schema.configuration {
            self.apply_configuration(&entry);
        } else if let Some(name) = entry.key.strip_prefix(self.schema.members) {
            self.apply_member(name, &entry);
        } else if let Some(zone) = entry.key.strip_prefix(self.schema.evacuations) {
            self.apply_evacuation(zone, &entry.value);
        }
        self.entries.borrow_mut().insert(entry.key.clone(), entry);
        self.changed.notify();
    }

    /// Removes a key that was deleted at `revision`.
    pub(crate) fn delete(&self, key: &str, revision: Revision) {
        if !self.enter_era(revision) {
            return;
        }
        let Some(known) = self.revision(key) else {
            return;
        };
        self.record_ahead(key, revision, || Event::Delete(key.to_owned(), revision));
        if known >= revision {
            return;
        }
        self.entries.borrow_mut().remove(key);
        if let Some(name) = key.strip_prefix(self.schema.members) {
            self.mark_missing(name);
        } else if let Some(zone) = key.strip_prefix(self.schema.evacuations) {
            if self.is_loaded() || self.eras.since().is_none() {
                self.evacuations.end(zone);
            } else {
                self.evacuations.end_unless_renewed(zone);
            }
        }
        self.record_deletion(revision, key);
        self.changed.notify();
    }

    /// Replaces the local copy with the whole content of the store at `revision`.
    pub(crate) fn replace(&self, entries: Vec<Entry>, revision: Revision) {
        if !self.enter_era(revision) {
            return;
        }
        self.set_applied(revision);
        // The pages of a read are not a snapshot, and the versions at `revision` of records
        // that changed meanwhile are unknown.
        let newest = entries.iter().map(|entry| entry.revision).max();
        self.history_from.set(newest.unwrap_or(revision));
        let keys: Vec<_> = entries.iter().map(|entry| entry.key.clone()).collect();
        self.retain(&keys, revision);
        for entry in entries {
            self.put(entry);
        }
        if self.record_loaded(revision) {
            self.log_evacuations();
        }
        self.advance(revision);
    }

    /// Applies one change.
    pub(crate) fn apply_event(&self, event: Event) {
        match event {
            Event::Put(entry) => self.put(entry),
            Event::Delete(key, revision) => self.delete(&key, revision),
            Event::Progress(revision) => self.advance(revision),
        }
    }

    /// Removes the keys that are not among `keys`, all that existed at `revision`.
    pub(crate) fn retain(&self, keys: &[String], revision: Revision) {
        let existing: HashSet<&str> = keys.iter().map(String::as_str).collect();
        let known: Vec<String> = self.entries.borrow().keys().cloned().collect();
        for key in known.iter().filter(|key| !existing.contains(key.as_str())) {
            self.delete(key, revision);
        }
    }

    /// Sets the revision up to which all changes have been applied, unless it is older than
    /// the known one.
    pub(crate) fn set_applied(&self, revision: Revision) {
        if revision > self.applied.get() {
            self.applied.set(revision);
            self.history.advance(revision);
        }
    }

    /// Records that all changes up to `revision` have been applied.
    pub(crate) fn advance(&self, revision: Revision) {
        self.set_applied(revision);
        self.recency.record_received(revision);
        self.changed.notify();
    }

    /// Returns whether the key was deleted after `entry` was written. A peer that lags
    /// behind may still send it.
    fn is_deleted(&self, entry: &Entry) -> bool {
        let deletions = self.deletions.borrow();
        deletions
            .iter()
            .any(|(revision, key)| *revision > entry.revision && *key == entry.key)
    }

    fn record_deletion(&self, revision: Revision, key: &str) {
        let mut deletions = self.deletions.borrow_mut();
        deletions.push_back((revision, key.to_owned()));
        while deletions.len() > MAX_DELETIONS {
            if let Some((revision, _)) = deletions.pop_front() {
                let from = self.deletions_from.get().max(revision);
                self.deletions_from.set(from);
            }
        }
    }

    /// Records that the configuration was the newest one at `moment`.
    ///
    /// It is ignored while the store's copy of the configuration is older than one that
    /// was in force before. Returns whether it was taken.
    pub(crate) fn confirm(&self, moment: Instant) -> bool {
        if !self.is_configuration_stored(moment) {
            return false;
        }
        set_latest(&self.contact_at, moment);
        self.confirm_configuration(moment);
        true
    }

    fn confirm_configuration(&self, moment: Instant) {
        if self.is_configuration_stored(moment) {
            set_latest(&self.confirmed_at, moment);
        }
    }

    pub(crate) fn is_loaded(&self) -> bool {
        self.eras.is_loaded()
    }

    /// Returns the time since the configuration was last confirmed.
    pub(crate) fn configuration_age(&self) -> Option<Duration> {
        self.confirmed_at.get().map(Instant::elapsed)
    }

    fn apply_configuration(&self, entry: &Entry) {
        if entry.revision <= self.configuration_revision.get() {
            return;
        }
        let is_restored = entry.revision.era() > self.configuration_revision.get().era();
        match (self.schema.read_configuration)(&entry.value) {
            Ok(configuration)
                if is_restored && configuration.version < self.newest_version.get() =>
            {
                warn!(
                    version = configuration.version,
                    newest = self.newest_version.get(),
                    "restored configuration is older than the one in force, not taken"
                );
            }
            Ok(configuration) => {
                info!(
                    version = configuration.version,
                    revision = entry.revision.0,
                    routes = configuration.routes.len(),
                    keys = configuration.keys.len(),
                    "configuration in force"
                );
                let newest = self.newest_version.get().max(configuration.version);
                self.newest_version.set(newest);
                self.configuration_revision.set(entry.revision);
                *self.configuration.borrow_mut() = Some(Rc::new(configuration));
            }
            Err(error) => warn!(
                revision = entry.revision.0,
                ?error,
                "configuration unreadable"
            ),
        }
    }
}

fn set_latest(cell: &Cell<Option<Instant>>, moment: Instant) {
    let latest = cell.get().map_or(moment, |known| known.max(moment));
    cell.set(Some(latest));
}
