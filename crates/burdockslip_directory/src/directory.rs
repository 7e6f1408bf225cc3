//! Holds what is known from the store.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use burdockslip_runtime::{Instant, Signal, Task, now, spawn};
use burdockslip_store::{Entry, Event, Store};
use burdockslip_types::{GroupName, MemberName, Result, Revision, domain};
use futures::future::LocalBoxFuture;
use tracing::{info, warn};

use crate::follow;
use crate::{Configuration, Member};

/// How long a confirmed configuration may authorise requests.
///
/// The operators' bound for a withdrawn key is 5 s from its acknowledgement;
/// 300 ms are kept back for clock rates and the way to the upstream.
pub const KEY_VALIDITY: Duration = Duration::from_millis(4_700);

/// How long a member whose record vanished stays usable. Records that lapse
/// during a store outage return within about 2 s.
const MISSING_GRACE: Duration = Duration::from_millis(2_500);

/// Says where things stand in the store and how an adapter reads them.
#[derive(Debug, Clone, Copy)]
pub struct Schema {
    /// The key of the configuration.
    pub configuration: &'static str,
    /// The prefix of the members' records.
    pub members: &'static str,
    /// Reads a configuration.
    pub read_configuration: fn(&[u8]) -> Result<Configuration>,
    /// Reads a member's record; the name is the key without its prefix.
    pub read_member: fn(&str, &[u8]) -> Result<Member>,
}

/// Bounds the changes that are kept for other hosts; each takes some 60 bytes.
const MAX_CHANGES: usize = 256;

domain! {
    /// Holds changes that a peer passes on.
    pub struct Changes {
        /// The changes.
        pub events: Vec<Event>,
        /// The revision up to which changes are included.
        pub revision: Revision,
    }
}

/// Asks a peer for the changes after a revision; waits until there are some.
pub type Relay = Rc<dyn Fn(Revision) -> LocalBoxFuture<'static, Result<Changes>>>;

struct Known {
    member: Rc<Member>,
    missing: Option<Instant>,
}

pub(crate) struct Shared {
    pub(crate) schema: Schema,
    pub(crate) store: Store,
    configuration: RefCell<Option<Rc<Configuration>>>,
    configured: Cell<Revision>,
    confirmed: Cell<Option<Instant>>,
    members: RefCell<HashMap<MemberName, Known>>,
    entries: RefCell<BTreeMap<String, Entry>>,
    changes: RefCell<VecDeque<(Revision, String)>>,
    /// Changes up to this revision are not kept.
    forgotten: Cell<Revision>,
    pub(crate) applied: Cell<Revision>,
    pub(crate) relay: RefCell<Option<(Relay, &'static str)>>,
    is_loaded: Cell<bool>,
    pub(crate) is_coordinator: Cell<bool>,
    changed: Signal,
}

/// Follows the store until the last clone is dropped.
#[derive(Clone)]
pub struct Directory {
    shared: Rc<Shared>,
    _following: Rc<(Task<()>, Task<()>)>,
}

impl Directory {
    /// Starts to follow the store.
    pub fn spawn(store: Store, schema: Schema) -> Self {
        let shared = Rc::new(Shared {
            schema,
            store,
            configuration: RefCell::default(),
            configured: Cell::default(),
            confirmed: Cell::default(),
            members: RefCell::default(),
            entries: RefCell::default(),
            changes: RefCell::default(),
            forgotten: Cell::default(),
            applied: Cell::default(),
            relay: RefCell::default(),
            is_loaded: Cell::new(false),
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

    /// Returns the configuration in force.
    pub fn configuration(&self) -> Option<Rc<Configuration>> {
        self.shared.configuration.borrow().clone()
    }

    /// Returns whether the whole store has been read once. The configuration
    /// may be known before; until then a record that is not known may exist.
    pub fn is_loaded(&self) -> bool {
        self.shared.is_loaded.get()
    }

    /// Returns the time since the configuration was last confirmed.
    pub fn configuration_age(&self) -> Option<Duration> {
        self.shared.confirmed.get().map(Instant::elapsed)
    }

    /// Returns the revision of the configuration in force.
    pub fn configuration_revision(&self) -> Revision {
        self.shared.configured.get()
    }

    /// Takes over from a peer that `revision` was the newest one at `moment`.
    pub fn confirm(&self, revision: Revision, moment: Instant) {
        if revision == self.shared.configured.get() {
            self.shared.confirm(moment);
        }
    }

    /// Confirms more often, because other hosts rely on this one.
    pub fn set_coordinator(&self, is_coordinator: bool) {
        self.shared.is_coordinator.set(is_coordinator);
    }

    /// Returns whether the configuration is known recently enough to authorise requests.
    pub fn is_configuration_current(&self) -> bool {
        self.configuration_age()
            .is_some_and(|age| age < KEY_VALIDITY)
    }

    /// Returns the members of a group that are not known to be gone.
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

    /// Returns a member unless it is known to be gone.
    pub fn member(&self, name: &MemberName) -> Option<Rc<Member>> {
        let members = self.shared.members.borrow();
        let known = members.get(name).filter(|known| known.is_usable())?;
        Some(Rc::clone(&known.member))
    }

    /// Returns whether the store lists a member as far as is known; a member that
    /// is not listed may stay usable for some time.
    pub fn is_listed(&self, name: &MemberName) -> bool {
        let members = self.shared.members.borrow();
        members
            .get(name)
            .is_some_and(|known| known.missing.is_none())
    }

    /// Reads the records under `prefix` from the store, since changes that a
    /// silent watch has missed are not known.
    ///
    /// # Errors
    ///
    /// Returns `StoreUnavailable` if the store gives no answer.
    pub async fn refresh(&self, prefix: &str) -> Result<()> {
        let page = self.shared.store.range(prefix).await?;
        page.entries.into_iter().for_each(|entry| self.apply(entry));
        Ok(())
    }

    /// Returns the prefix of the members' records.
    pub fn members_prefix(&self) -> &'static str {
        self.shared.schema.members
    }

    /// Returns a record of the system's own.
    pub fn record(&self, key: &str) -> Option<Entry> {
        self.shared.entries.borrow().get(key).cloned()
    }

    /// Returns the records of the system's own whose keys start with `prefix`.
    pub fn records(&self, prefix: &str) -> Vec<Entry> {
        let entries = self.shared.entries.borrow();
        entries
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(_, entry)| entry.clone())
            .collect()
    }

    /// Takes over a record that was just written or read elsewhere.
    pub fn apply(&self, entry: Entry) {
        self.shared.put(entry);
    }

    /// Returns the changes after `revision`, or `None` if some are not kept.
    pub fn changes_since(&self, revision: Revision) -> Option<Changes> {
        self.shared.changes_since(revision)
    }

    /// Gets changes from a peer while `relay` supplies them, and from the store else.
    ///
    /// While `relay` fails with `NoPrimary`, only the record `leader` is watched.
    pub fn set_relay(&self, relay: Relay, leader: &'static str) {
        *self.shared.relay.borrow_mut() = Some((relay, leader));
    }

    /// Tells of every change.
    pub fn changed(&self) -> &Signal {
        &self.shared.changed
    }

    /// Returns the store that is followed.
    pub fn store(&self) -> &Store {
        &self.shared.store
    }
}

impl fmt::Debug for Directory {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Directory")
    }
}

impl Known {
    fn is_usable(&self) -> bool {
        self.missing.is_none_or(|at| at.elapsed() < MISSING_GRACE)
    }
}

impl Shared {
    /// Takes over an entry unless a newer one is known.
    pub(crate) fn put(&self, entry: Entry) {
        let is_known = |known: &Entry| known.revision >= entry.revision;
        if self.entries.borrow().get(&entry.key).is_some_and(is_known) {
            return;
        }
        if entry.key == self.schema.configuration {
            self.configure(&entry);
        } else if let Some(name) = entry.key.strip_prefix(self.schema.members) {
            self.put_member(name, &entry.value);
        }
        self.note_change(entry.revision, &entry.key);
        self.entries.borrow_mut().insert(entry.key.clone(), entry);
        self.changed.notify();
    }

    /// Drops a key that was deleted.
    pub(crate) fn delete(&self, key: &str, revision: Revision) {
        let is_older = |known: &Entry| known.revision < revision;
        if !self.entries.borrow().get(key).is_some_and(is_older) {
            return;
        }
        self.entries.borrow_mut().remove(key);
        if let Some(name) = key.strip_prefix(self.schema.members) {
            self.miss(name);
        }
        self.note_change(revision, key);
        self.changed.notify();
    }

    /// Takes over the whole content of the store as of `revision`.
    pub(crate) fn replace(&self, entries: Vec<Entry>, revision: Revision) {
        let listed: HashSet<&str> = entries.iter().map(|entry| entry.key.as_str()).collect();
        let known: Vec<String> = self.entries.borrow().keys().cloned().collect();
        for key in known.iter().filter(|key| !listed.contains(key.as_str())) {
            self.delete(key, revision);
        }
        for entry in entries {
            self.put(entry);
        }
        self.is_loaded.set(true);
        self.advance(revision);
    }

    /// Notes that all changes up to `revision` are known.
    pub(crate) fn advance(&self, revision: Revision) {
        self.applied.set(self.applied.get().max(revision));
        self.changed.notify();
    }

    fn note_change(&self, revision: Revision, key: &str) {
        let mut changes = self.changes.borrow_mut();
        changes.push_back((revision, key.to_owned()));
        while changes.len() > MAX_CHANGES {
            if let Some((revision, _)) = changes.pop_front() {
                self.forgotten.set(self.forgotten.get().max(revision));
            }
        }
    }

    fn changes_since(&self, revision: Revision) -> Option<Changes> {
        if revision < self.forgotten.get() {
            return None;
        }
        let changes = self.changes.borrow();
        let entries = self.entries.borrow();
        let applied = self.applied.get();
        // What was learned ahead of the watch is passed on when the watch is
        // there; a peer would ask for it again and again otherwise.
        let is_due = |changed: Revision| changed > revision && changed <= applied;
        let mut keys = HashSet::new();
        let mut events = Vec::new();
        for (changed, key) in changes.iter().rev().filter(|(changed, _)| is_due(*changed)) {
            if keys.insert(key) {
                let event = entries.get(key).cloned().map(Event::Put);
                events.push(event.unwrap_or_else(|| Event::Delete(key.clone(), *changed)));
            }
        }
        events.reverse();
        Some(Changes {
            events,
            revision: applied,
        })
    }

    /// Notes that the configuration was the newest one at `moment`.
    pub(crate) fn confirm(&self, moment: Instant) {
        let latest = self
            .confirmed
            .get()
            .map_or(moment, |known| known.max(moment));
        self.confirmed.set(Some(latest));
    }

    pub(crate) fn is_loaded(&self) -> bool {
        self.is_loaded.get()
    }

    /// Returns the time since the last confirmation.
    pub(crate) fn age(&self) -> Option<Duration> {
        self.confirmed.get().map(Instant::elapsed)
    }

    fn configure(&self, entry: &Entry) {
        if entry.revision <= self.configured.get() {
            return;
        }
        match (self.schema.read_configuration)(&entry.value) {
            Ok(configuration) => {
                info!(
                    version = configuration.version,
                    revision = entry.revision.0,
                    routes = configuration.routes.len(),
                    keys = configuration.keys.len(),
                    "configuration in force"
                );
                self.configured.set(entry.revision);
                *self.configuration.borrow_mut() = Some(Rc::new(configuration));
            }
            Err(error) => warn!(
                revision = entry.revision.0,
                ?error,
                "configuration unreadable"
            ),
        }
    }

    fn put_member(&self, name: &str, value: &[u8]) {
        match (self.schema.read_member)(name, value) {
            Ok(member) => {
                let mut members = self.members.borrow_mut();
                let known = members.get(&member.name);
                if known.is_some_and(|known| *known.member == member && known.missing.is_none()) {
                    return;
                }
                info!(
                    member = name,
                    group = %member.group,
                    address = %member.address,
                    role = ?member.role,
                    draining = member.is_draining,
                    born = member.born,
                    "member record changed"
                );
                let known = Known {
                    member: Rc::new(member),
                    missing: None,
                };
                members.insert(known.member.name.clone(), known);
            }
            Err(error) => {
                warn!(member = name, ?error, "member record unreadable");
                self.miss(name);
            }
        }
    }

    fn miss(&self, name: &str) {
        let mut members = self.members.borrow_mut();
        members.retain(|_, known| known.is_usable());
        if let Some(known) = members.get_mut(name)
            && known.missing.is_none()
        {
            info!(member = name, "member record gone");
            known.missing = Some(now());
        }
    }
}
