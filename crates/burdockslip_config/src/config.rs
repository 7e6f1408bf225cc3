//! The configuration in force, and the replies to other hosts.

use std::cell::{Cell, RefCell};
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use burdockslip_membership::Membership;
use burdockslip_runtime::{Instant, Task, now, sleep_until, spawn};
use burdockslip_store::Store;
use burdockslip_types::{PeerClient, Revision};
use futures::channel::{mpsc, oneshot};
use futures::future::select;
use serde::Serialize;

use crate::content::Content;
use crate::follow::Bridge;
use crate::knowledge::FreshnessTracker;
use crate::{ChangeNotice, Distribution, Entry, Follow, Reply, Request, Section, Update};
use crate::{follow, roles};

/// The maximum time for which a reply is delayed to wait for a change. Each reply
/// also confirms to the follower that it is up to date.
pub(crate) const MAX_WAIT: Duration = Duration::from_secs(2);

/// Counters of configuration messages and their encoded size.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Messages sent, requests and replies.
    pub sent: u64,
    /// Bytes sent.
    pub bytes_sent: u64,
    /// Messages received, requests and replies.
    pub received: u64,
    /// Bytes received.
    pub bytes_received: u64,
}

/// A handle to the configuration, which is kept up to date until the last clone
/// is dropped.
#[derive(Clone)]
pub struct Config {
    shared: Rc<Shared>,
    _tasks: Rc<[Task<()>; 2]>,
}

pub(crate) struct Shared {
    pub(crate) membership: Membership,
    pub(crate) store: Store,
    pub(crate) client: PeerClient<Distribution>,
    pub(crate) freshness: RefCell<FreshnessTracker>,
    pub(crate) is_relay: Cell<bool>,
    pub(crate) is_fetching: Cell<bool>,
    pub(crate) bridge: RefCell<Option<Bridge>>,
    contents: RefCell<[Content; 2]>,
    traffic: Cell<Traffic>,
    listeners: RefCell<Vec<mpsc::Sender<()>>>,
    waiters: RefCell<Vec<oneshot::Sender<()>>>,
}

impl Config {
    /// Starts without a configuration and fetches the newest that is reachable.
    ///
    /// Only relays use `store`. All hosts call each other through `client`; the
    /// caller must pass requests from other hosts to [`handle`](Self::handle).
    pub fn spawn(membership: Membership, store: Store, client: PeerClient<Distribution>) -> Self {
        let shared = Rc::new(Shared {
            membership,
            store,
            client,
            freshness: RefCell::default(),
            is_relay: Cell::default(),
            is_fetching: Cell::default(),
            bridge: RefCell::default(),
            contents: RefCell::new(Section::ALL.map(Content::new)),
            traffic: Cell::default(),
            listeners: RefCell::default(),
            waiters: RefCell::default(),
        });
        let tasks = [
            spawn(roles::run(Rc::clone(&shared))),
            spawn(follow::anti_entropy(Rc::clone(&shared))),
        ];
        Self {
            shared,
            _tasks: Rc::new(tasks),
        }
    }

    /// Returns the entries whose key starts with `prefix`, ordered by key.
    pub fn entries(&self, prefix: &str) -> Vec<Entry> {
        let contents = self.shared.contents.borrow();
        let entries = contents.iter().flat_map(|c| c.entries(prefix));
        entries.cloned().collect()
    }

    /// Returns the revision of the catalogue and the keys, zero before the first
    /// was received; it never decreases.
    pub fn revision(&self) -> Revision {
        self.shared.revision(Section::Catalogue)
    }

    /// Returns the revision of the platform's host list.
    pub fn hosts_revision(&self) -> Revision {
        self.shared.revision(Section::Hosts)
    }

    /// Returns the maximum age of the catalogue and the keys, or `None` if it is
    /// unknown.
    ///
    /// It is the time since the store confirmed them or, if that is shorter,
    /// since they agreed with the relays of a majority of zones. The age
    /// therefore stays low while the store is down but zones reach each other.
    pub fn age(&self) -> Option<Duration> {
        self.shared.refresh();
        self.shared.freshness.borrow().age()
    }

    /// Returns whether the host has a configuration of known age.
    pub fn is_ready(&self) -> bool {
        self.revision() > Revision(0) && self.age().is_some()
    }

    /// Returns whether this host watches the store for its zone.
    pub fn is_relay(&self) -> bool {
        self.shared.is_relay.get()
    }

    /// Returns a channel that receives an item after any entry has changed;
    /// several changes may share one item.
    pub fn changes(&self) -> mpsc::Receiver<()> {
        let (sender, receiver) = mpsc::channel(0);
        self.shared.listeners.borrow_mut().push(sender);
        receiver
    }

    /// Returns the message counters since the start.
    pub fn traffic(&self) -> Traffic {
        self.shared.traffic.get()
    }

    /// Processes a request from another host and returns the reply; the reply to
    /// [`Follow`] may wait for a change.
    pub async fn handle(&self, request: Request) -> Reply {
        self.shared.count_received(&request);
        let reply = match request {
            Request::Follow(follow) => Reply::Update(self.shared.answer(follow).await),
            Request::ChangeNotice(notice) => {
                follow::catch_up(&self.shared, notice);
                Reply::Done
            }
        };
        self.shared.count_sent(&reply);
        reply
    }
}

impl Shared {
    pub(crate) fn revision(&self, section: Section) -> Revision {
        self.contents.borrow()[section as usize].revision()
    }

    pub(crate) fn revisions(&self) -> Vec<(Section, Revision)> {
        let sections = Section::ALL.into_iter();
        sections.map(|s| (s, self.revision(s))).collect()
    }

    /// Returns whether another host has a higher revision of any section.
    pub(crate) fn is_behind(&self, revisions: &[(Section, Revision)]) -> bool {
        let mut revisions = revisions.iter();
        revisions.any(|(section, revision)| *revision > self.revision(*section))
    }

    /// Adds the zones that exist to the freshness and, on a relay, records that
    /// it is up to date with its own zone.
    pub(crate) fn refresh(&self) {
        let mut freshness = self.freshness.borrow_mut();
        for zone in self.membership.view().known_zones() {
            freshness.record_zone(zone, None);
        }
        if self.is_relay.get() {
            freshness.record_zone(&self.membership.local_peer().zone, Some(now()));
        }
    }

    /// Changes a section and, if that raised its revision, notifies listeners,
    /// waiting followers and some other hosts.
    pub(crate) fn update<T>(
        self: &Rc<Self>,
        section: Section,
        change: impl FnOnce(&mut Content) -> T,
    ) -> T {
        let before = self.revision(section);
        let output = change(&mut self.contents.borrow_mut()[section as usize]);
        if self.revision(section) > before {
            self.notify();
            follow::push_notices(self);
        }
        output
    }

    fn notify(&self) {
        self.listeners.borrow_mut().retain_mut(|listener| {
            // A full channel already holds a notification that was not consumed.
            !matches!(listener.try_send(()), Err(error) if error.is_disconnected())
        });
        for waiter in self.waiters.take() {
            // The request may have been cancelled in the meantime.
            let _ = waiter.send(());
        }
    }

    fn next_change(&self) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        let mut waiters = self.waiters.borrow_mut();
        waiters.retain(|waiter| !waiter.is_canceled());
        waiters.push(sender);
        receiver
    }

    async fn answer(&self, follow: Follow) -> Update {
        let start = now();
        let deadline = start + follow.max_wait.min(MAX_WAIT);
        loop {
            let change = self.change(&follow);
            if change.is_some() || deadline.is_past() {
                return self.build_update(change, start);
            }
            select(self.next_change(), sleep_until(deadline)).await;
        }
    }

    fn change(&self, follow: &Follow) -> Option<crate::Change> {
        let contents = self.contents.borrow();
        let revisions = follow.revisions.iter();
        let mut changes = revisions.filter_map(|(section, have)| {
            contents[*section as usize].change(*have, follow.cursor.as_ref())
        });
        changes.next()
    }

    fn build_update(&self, change: Option<crate::Change>, start: Instant) -> Update {
        self.refresh();
        let freshness = self.freshness.borrow().to_message(start.elapsed());
        Update { change, freshness }
    }

    pub(crate) fn changed_message(&self) -> Request {
        Request::ChangeNotice(ChangeNotice {
            from: self.membership.local_peer().host.clone(),
            revisions: self.revisions(),
        })
    }

    pub(crate) fn count_sent(&self, message: &impl Serialize) {
        let mut traffic = self.traffic.get();
        traffic.sent += 1;
        traffic.bytes_sent += size_of(message);
        self.traffic.set(traffic);
    }

    pub(crate) fn count_received(&self, message: &impl Serialize) {
        let mut traffic = self.traffic.get();
        traffic.received += 1;
        traffic.bytes_received += size_of(message);
        self.traffic.set(traffic);
    }
}

fn size_of(message: &impl Serialize) -> u64 {
    let config = bincode::config::standard();
    let size = bincode::serde::encode_into_std_write(message, &mut std::io::sink(), config);
    size.map_or(0, |size| size as u64)
}

impl fmt::Debug for Config {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Config")
            .field("revision", &self.revision())
            .finish_non_exhaustive()
    }
}
