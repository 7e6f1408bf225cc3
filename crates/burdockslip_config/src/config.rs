//! Offers the configuration in force and answers other hosts.

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
use crate::knowledge::Known;
use crate::{ChangeNotice, Distribution, Entry, Follow, Reply, Request, Section, Update};
use crate::{follow, roles};

/// Bounds how long an answer waits for a change; hosts learn with each answer
/// that they are up to date.
pub(crate) const MAX_WAIT: Duration = Duration::from_secs(2);

/// Counts the messages of the distribution and their encoded size.
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

/// Keeps the configuration up to date until the last clone is dropped.
#[derive(Clone)]
pub struct Config {
    shared: Rc<Shared>,
    _tasks: Rc<[Task<()>; 2]>,
}

pub(crate) struct Shared {
    pub(crate) membership: Membership,
    pub(crate) store: Store,
    pub(crate) client: PeerClient<Distribution>,
    pub(crate) known: RefCell<Known>,
    pub(crate) is_relay: Cell<bool>,
    pub(crate) fetching: Cell<bool>,
    pub(crate) bridge: RefCell<Option<Bridge>>,
    contents: RefCell<[Content; 2]>,
    traffic: Cell<Traffic>,
    listeners: RefCell<Vec<mpsc::Sender<()>>>,
    waiters: RefCell<Vec<oneshot::Sender<()>>>,
}

impl Config {
    /// Starts without a configuration and takes the newest it can reach.
    ///
    /// Relays reach the store; all hosts reach each other through `client`, and the
    /// requests that arrive over it go to [`handle`](Self::handle).
    pub fn spawn(membership: Membership, store: Store, client: PeerClient<Distribution>) -> Self {
        let shared = Rc::new(Shared {
            membership,
            store,
            client,
            known: RefCell::default(),
            is_relay: Cell::default(),
            fetching: Cell::default(),
            bridge: RefCell::default(),
            contents: RefCell::new(Section::ALL.map(Content::new)),
            traffic: Cell::default(),
            listeners: RefCell::default(),
            waiters: RefCell::default(),
        });
        let tasks = [
            spawn(roles::run(Rc::clone(&shared))),
            spawn(follow::compare(Rc::clone(&shared))),
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

    /// Returns the revision of the catalogue and the keys; it never falls.
    pub fn revision(&self) -> Revision {
        self.shared.revision(Section::Catalogue)
    }

    /// Returns the revision of the platform's host list.
    pub fn hosts_revision(&self) -> Revision {
        self.shared.revision(Section::Hosts)
    }

    /// Returns how old the catalogue and the keys may be, or nothing if that
    /// is not known.
    ///
    /// It is the time since the store confirmed them or, if that is shorter,
    /// since they agreed with the relays of a majority of zones, so a store
    /// that is down does not age them while zones reach each other.
    pub fn age(&self) -> Option<Duration> {
        self.shared.refresh();
        self.shared.known.borrow().age()
    }

    /// Returns whether the host has a configuration whose age it knows.
    pub fn is_ready(&self) -> bool {
        self.revision() > Revision(0) && self.age().is_some()
    }

    /// Returns whether this host watches the store for its zone.
    pub fn is_relay(&self) -> bool {
        self.shared.is_relay.get()
    }

    /// Returns a channel that gets an item after changes of any entry.
    pub fn changes(&self) -> mpsc::Receiver<()> {
        let (sender, receiver) = mpsc::channel(0);
        self.shared.listeners.borrow_mut().push(sender);
        receiver
    }

    /// Returns the counters of the distribution.
    pub fn traffic(&self) -> Traffic {
        self.shared.traffic.get()
    }

    /// Answers a request from another host; the answer may wait for a change.
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

    /// Notes the zones that exist, and that a relay stands for its own zone.
    pub(crate) fn refresh(&self) {
        let mut known = self.known.borrow_mut();
        for zone in self.membership.view().known_zones() {
            known.hear(zone, None);
        }
        if self.is_relay.get() {
            known.hear(&self.membership.local_peer().zone, Some(now()));
        }
    }

    /// Changes a section and, if that raised its revision, tells listeners,
    /// followers and some other hosts.
    pub(crate) fn update<T>(
        self: &Rc<Self>,
        section: Section,
        change: impl FnOnce(&mut Content) -> T,
    ) -> T {
        let before = self.revision(section);
        let output = change(&mut self.contents.borrow_mut()[section as usize]);
        if self.revision(section) > before {
            self.notify();
            follow::push(self);
        }
        output
    }

    fn notify(&self) {
        self.listeners.borrow_mut().retain_mut(|listener| {
            // A full channel already holds the notice of an earlier change.
            !matches!(listener.try_send(()), Err(error) if error.is_disconnected())
        });
        for waiter in self.waiters.take() {
            // The host that asked may have gone.
            let _ = waiter.send(());
        }
    }

    fn changed(&self) -> oneshot::Receiver<()> {
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
                return self.reply(change, start);
            }
            select(self.changed(), sleep_until(deadline)).await;
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

    fn reply(&self, change: Option<crate::Change>, start: Instant) -> Update {
        self.refresh();
        let freshness = self.known.borrow().message(start.elapsed());
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
