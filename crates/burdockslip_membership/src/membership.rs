//! The gossip task: pings hosts, propagates changes and provides the view.

use std::cell::{Cell, RefCell};
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use burdockslip_runtime::{Instant, Task, now, random_range, random_u64, sleep, spawn, timeout};
use burdockslip_types::{HostId, PeerClient};
use futures::channel::mpsc;
use futures::future::join_all;
use serde::Serialize;
use tracing::debug;

use crate::table::Table;
use crate::{Gossip, ListedHost, Peer, Ping, Reply, Request, State, View};

/// The interval between pings, three a second.
const PING_PERIOD: Duration = Duration::from_millis(333);

/// How long to wait for a reply; longer than a round trip between regions.
const PING_TIMEOUT: Duration = Duration::from_secs(1);

/// How late a ping round may start before this process counts as paused.
const PAUSE_LIMIT: Duration = Duration::from_secs(1);

/// The minimum interval between table synchronisations, each of up to 4 KB.
const SYNC_PERIOD: Duration = Duration::from_secs(2);

/// The maximum number of consecutive `Sync` requests to one host; a host that
/// starts with an empty table needs several.
const SYNC_ROUNDS: usize = 32;

/// One ping in this many, on average, goes to a host that may exist although it
/// is not live.
const MISSING_PING_ODDS: u64 = 9;

/// Counters of gossip messages and their encoded size.
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

/// A handle to the gossip task, which runs until the last clone is dropped.
#[derive(Clone)]
pub struct Membership {
    shared: Rc<Shared>,
    _task: Rc<Option<Task<()>>>,
}

struct Shared {
    local: Peer,
    seeds: Vec<SocketAddr>,
    client: Option<PeerClient<Gossip>>,
    table: RefCell<Table>,
    view: RefCell<(u64, Rc<View>)>,
    traffic: Cell<Traffic>,
    listeners: RefCell<Vec<mpsc::Sender<()>>>,
    ping_order: RefCell<Vec<HostId>>,
    last_sync: Cell<Option<Instant>>,
}

impl Membership {
    /// Joins the gossip as `local` through hosts at the addresses `seeds` or in
    /// the platform's list.
    pub fn spawn(local: Peer, seeds: Vec<SocketAddr>, client: PeerClient<Gossip>) -> Self {
        let shared = Rc::new(Shared::new(local, seeds, Some(client)));
        let task = spawn(run(Rc::clone(&shared)));
        Self {
            shared,
            _task: Rc::new(Some(task)),
        }
    }

    /// Creates a host list that only [`set_peers`](Self::set_peers) changes, for
    /// tests of code that depends on membership.
    pub fn fixed(local: Peer, peers: &[Peer]) -> Self {
        let membership = Self {
            shared: Rc::new(Shared::new(local, Vec::new(), None)),
            _task: Rc::new(None),
        };
        membership.set_peers(peers);
        membership
    }

    /// Replaces the hosts of a list made with [`fixed`](Self::fixed).
    pub fn set_peers(&self, peers: &[Peer]) {
        let mut zones = self.view().known_zones().clone();
        zones.extend(peers.iter().map(|peer| peer.zone.clone()));
        let view = View::build(peers.iter().map(|peer| (peer, State::Live)), zones);
        let version = self.shared.table.borrow().version();
        self.shared.view.replace((version, Rc::new(view)));
        self.shared.notify();
    }

    /// Returns this host.
    pub fn local_peer(&self) -> &Peer {
        &self.shared.local
    }

    /// Returns a snapshot of the current host list.
    pub fn view(&self) -> Rc<View> {
        self.shared.view()
    }

    /// Returns a channel that receives an item after the view has changed;
    /// several changes may share one item.
    pub fn changes(&self) -> mpsc::Receiver<()> {
        let (sender, receiver) = mpsc::channel(0);
        self.shared.listeners.borrow_mut().push(sender);
        receiver
    }

    /// Returns the gossip counters since the start.
    pub fn traffic(&self) -> Traffic {
        self.shared.traffic.get()
    }

    /// Returns the address at which to connect to a host.
    ///
    /// The names of seeds are unknown, so they are pinged with their address as
    /// the name; such a name resolves to that address.
    pub fn resolve(&self, host: &HostId) -> Option<SocketAddr> {
        let table = self.shared.table.borrow();
        let known = table.peer(host).map(|peer| peer.address);
        known
            .or_else(|| self.view().address(host))
            .or_else(|| host.as_str().parse().ok())
    }

    /// Replaces the platform's list.
    pub fn set_listed_hosts(&self, listed: Vec<ListedHost>) {
        self.shared.table.borrow_mut().set_listed_hosts(listed);
        self.shared.notify();
    }

    /// Processes a request from another host and returns the reply.
    pub fn handle(&self, request: Request) -> Reply {
        self.shared.count_received(&request);
        let reply = self.shared.answer(request);
        self.shared.count_sent(&reply);
        reply
    }

    /// Removes this host from the rankings and notifies all hosts immediately.
    pub async fn leave(&self) {
        let record = self.shared.table.borrow_mut().leave();
        self.shared.notify();
        let Some(client) = &self.shared.client else {
            return;
        };
        let hosts = self.shared.table.borrow().ping_targets();
        let calls = hosts.iter().map(|host| async {
            let request = Request::Leaving(record.clone());
            self.shared.count_sent(&request);
            // A host that does not answer learns of it by gossip.
            let _ = timeout(PING_TIMEOUT, client.call(host, request)).await;
        });
        join_all(calls).await;
    }
}

impl Shared {
    fn new(local: Peer, seeds: Vec<SocketAddr>, client: Option<PeerClient<Gossip>>) -> Self {
        let table = Table::new(local.clone());
        let view = build_view(&table);
        Self {
            local,
            seeds,
            client,
            view: RefCell::new((table.version(), Rc::new(view))),
            table: RefCell::new(table),
            traffic: Cell::default(),
            listeners: RefCell::default(),
            ping_order: RefCell::default(),
            last_sync: Cell::default(),
        }
    }

    fn view(&self) -> Rc<View> {
        let table = self.table.borrow();
        let mut view = self.view.borrow_mut();
        if view.0 != table.version() {
            *view = (table.version(), Rc::new(build_view(&table)));
        }
        Rc::clone(&view.1)
    }

    fn notify(&self) {
        let mut listeners = self.listeners.borrow_mut();
        listeners.retain_mut(|listener| {
            // A full channel already holds a notification that was not consumed.
            !matches!(listener.try_send(()), Err(error) if error.is_disconnected())
        });
    }

    /// Runs `change` on the table and notifies listeners if the view changed.
    fn update<T>(&self, change: impl FnOnce(&mut Table) -> T) -> T {
        let mut table = self.table.borrow_mut();
        let before = table.version();
        let output = change(&mut table);
        let has_changed = table.version() != before;
        drop(table);
        if has_changed {
            self.notify();
        }
        output
    }

    fn ping(&self, to: Option<&HostId>) -> Ping {
        let mut table = self.table.borrow_mut();
        Ping {
            rumors: table.take_rumors(to),
            from: table.local_record().clone(),
            checksum: table.checksum(),
        }
    }

    fn receive(&self, ping: Ping) {
        self.update(|table| {
            table.record_contact(ping.from);
            for rumor in ping.rumors {
                table.merge(rumor);
            }
        });
    }

    fn answer(&self, request: Request) -> Reply {
        match request {
            Request::Ping(ping) => {
                let host = ping.from.peer.host.clone();
                self.receive(ping);
                Reply::Pong(self.ping(Some(&host)))
            }
            Request::Sync(sync) => {
                let (rumors, has_more) = self.table.borrow().differences(&sync);
                Reply::Records(rumors, has_more)
            }
            Request::Leaving(record) => {
                self.update(|table| table.record_contact(record));
                Reply::Done
            }
        }
    }

    /// Returns the next host to ping.
    ///
    /// All hosts are pinged in rotation, in an order that is shuffled for each
    /// rotation, so that no host waits much longer than the others. Some pings go
    /// to missing hosts instead; see [`MISSING_PING_ODDS`].
    fn next_target(&self) -> Option<HostId> {
        let table = self.table.borrow();
        let mut ping_order = self.ping_order.borrow_mut();
        if random_range(0..MISSING_PING_ODDS) == 0 || !table.has_targets() {
            let mut missing = table.missing_hosts();
            missing.extend(self.unknown_seeds(&table));
            if let Some(host) = pick(&missing) {
                return Some(host);
            }
        }
        loop {
            match ping_order.pop() {
                Some(host) if table.record(&host).is_some_and(|r| r.state != State::Gone) => {
                    return Some(host);
                }
                Some(_) => {}
                None => break,
            }
        }
        *ping_order = table.ping_targets();
        shuffle(&mut ping_order);
        ping_order.pop()
    }

    /// Returns the seeds whose address belongs to no known host.
    fn unknown_seeds(&self, table: &Table) -> Vec<HostId> {
        let is_known = |seed: &SocketAddr| table.records().any(|r| r.peer.address == *seed);
        let seeds = self.seeds.iter().filter(|seed| !is_known(seed));
        seeds.map(|seed| HostId::from(seed.to_string())).collect()
    }

    fn count_sent(&self, message: &impl Serialize) {
        let mut traffic = self.traffic.get();
        traffic.sent += 1;
        traffic.bytes_sent += size_of(message);
        self.traffic.set(traffic);
    }

    fn count_received(&self, message: &impl Serialize) {
        let mut traffic = self.traffic.get();
        traffic.received += 1;
        traffic.bytes_received += size_of(message);
        self.traffic.set(traffic);
    }

    async fn call(&self, host: &HostId, request: Request) -> Option<Reply> {
        let client = self.client.as_ref()?;
        self.count_sent(&request);
        let reply = timeout(PING_TIMEOUT, client.call(host, request)).await;
        let reply = reply.ok()?.ok()?;
        self.count_received(&reply);
        Some(reply)
    }
}

fn build_view(table: &Table) -> View {
    View::build(table.states(), table.zones().clone())
}

fn size_of(message: &impl Serialize) -> u64 {
    let config = bincode::config::standard();
    let size = bincode::serde::encode_into_std_write(message, &mut std::io::sink(), config);
    size.map_or(0, |size| size as u64)
}

fn pick(hosts: &[HostId]) -> Option<HostId> {
    let index = random_range(0..hosts.len() as u64);
    hosts.get(usize::try_from(index).ok()?).cloned()
}

fn shuffle(hosts: &mut [HostId]) {
    for last in (1..hosts.len()).rev() {
        let other = random_range(0..last as u64 + 1);
        hosts.swap(last, usize::try_from(other).unwrap_or(last));
    }
}

/// Pings one host in each period, and one silent host once more.
async fn run(shared: Rc<Shared>) {
    // Spreads out the pings of hosts that start at the same time.
    let period = u64::try_from(PING_PERIOD.as_millis()).unwrap_or(0);
    sleep(Duration::from_millis(random_range(0..period))).await;
    let mut last = now();
    loop {
        if last.elapsed() > PING_PERIOD + PAUSE_LIMIT {
            shared.table.borrow_mut().reset_silences();
        }
        last = now();
        shared.update(Table::advance_states);
        if let Some(host) = shared.next_target() {
            spawn(ping_host(Rc::clone(&shared), host)).detach();
        }
        let silent = shared.table.borrow().silent_hosts();
        if let Some(host) = pick(&silent) {
            spawn(ping_host(Rc::clone(&shared), host)).detach();
        }
        sleep(PING_PERIOD).await;
    }
}

async fn ping_host(shared: Rc<Shared>, host: HostId) {
    let sent = now();
    let request = Request::Ping(shared.ping(Some(&host)));
    let Some(Reply::Pong(pong)) = shared.call(&host, request).await else {
        shared.table.borrow_mut().record_missed_ping(&host, sent);
        debug!(%host, "ping unanswered");
        return;
    };
    let (checksum, from) = (pong.checksum, pong.from.peer.host.clone());
    shared.receive(pong);
    let is_equal = checksum == shared.table.borrow().checksum();
    let is_recent = shared
        .last_sync
        .get()
        .is_some_and(|at| at.elapsed() < SYNC_PERIOD);
    if !is_equal && !is_recent {
        shared.last_sync.set(Some(now()));
        sync_with(&shared, &from).await;
    }
}

/// Fetches and applies the records that differ at `host`.
///
/// Further records are requested immediately only while replies contain new
/// hosts, as they do after a start.
async fn sync_with(shared: &Rc<Shared>, host: &HostId) {
    for _ in 0..SYNC_ROUNDS {
        let request = shared.table.borrow().sync_request(random_u64());
        let Some(Reply::Records(rumors, has_more)) =
            shared.call(host, Request::Sync(request)).await
        else {
            return;
        };
        let before = shared.table.borrow().records().count();
        shared.update(|table| {
            for rumor in rumors {
                table.apply(rumor);
            }
        });
        let is_growing = shared.table.borrow().records().count() > before;
        if !has_more || !is_growing {
            return;
        }
    }
}

impl fmt::Debug for Membership {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Membership")
            .field(&self.shared.local)
            .finish()
    }
}
