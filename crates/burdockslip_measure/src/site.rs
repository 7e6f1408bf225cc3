//! Starts a database group and its hosts in separate threads.

use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::mpsc as std_mpsc;
use std::thread::JoinHandle;
use std::time::Duration;

use burdockslip_catalogue::Catalogue;
use burdockslip_keys::{Key, KeyPath, KeyRecord, KeyRing};
use burdockslip_membership::Peer;
use burdockslip_proxy::{ActiveConfig, Options, Proxy};
use burdockslip_runtime::block_on;
use burdockslip_testkit::database::{DatabaseGroup, MemberOptions};
use burdockslip_types::{ErrorKind, Result};
use error_stack::{Report, ResultExt};
use futures::channel::oneshot;

use crate::load::Target;
use crate::process::ThreadClock;

/// The zones; each has one host and one member.
const ZONES: [&str; 3] = ["a", "b", "c"];
/// The organisation whose key the clients present.
const ORGANISATION: &str = "airline";
/// The secret that signs session tokens. The hosts of a site only have to share it.
const SECRET: [u8; 32] = [7; 32];

/// The options of a site: three zones with a host and a member each.
#[derive(Debug, Clone)]
pub struct SiteOptions {
    /// The maximum number of statements that run at a member at the same time.
    pub slots: usize,
    /// The maximum number of connections to a member.
    pub connections: usize,
    /// How long a statement takes at a member.
    pub statement_delay: Duration,
    /// The maximum number of clients of a host.
    pub client_limit: usize,
    /// Whether each host connects to all members itself, instead of through the
    /// hosts that hold the connections to them.
    pub is_direct: bool,
}

impl Default for SiteOptions {
    /// Returns limits with which the hosts are the only bottleneck.
    fn default() -> Self {
        Self {
            slots: 64,
            connections: 200,
            statement_delay: Duration::ZERO,
            client_limit: 10_000,
            is_direct: false,
        }
    }
}

/// A running deployment of hosts and members. Dropping it stops its threads.
#[derive(Debug)]
pub struct Site {
    hosts: Vec<Running>,
    _databases: Running,
    addresses: Addresses,
    key: String,
}

/// A thread that runs a server. Dropping this stops the server and joins the thread.
#[derive(Debug)]
struct Running {
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
    clock: ThreadClock,
}

/// The loopback addresses of one site.
#[derive(Debug, Clone, Copy)]
struct Addresses {
    high: u8,
    low: u8,
}

impl Addresses {
    /// Returns addresses that no other site of this process uses.
    fn next() -> Self {
        static NEXT: AtomicU8 = AtomicU8::new(1);
        Self {
            high: u8::try_from(std::process::id() % 100).unwrap_or_default() + 130,
            low: NEXT.fetch_add(1, Ordering::Relaxed),
        }
    }

    fn get(self, zone: usize, port: u16) -> SocketAddr {
        let last = u8::try_from(zone).unwrap_or_default() + 1;
        SocketAddr::new(IpAddr::from([127, self.high, self.low, last]), port)
    }

    fn client(self, zone: usize) -> SocketAddr {
        self.get(zone, 6432)
    }

    fn peer(self, zone: usize) -> SocketAddr {
        self.get(zone, 7432)
    }

    fn member(self, zone: usize) -> SocketAddr {
        self.get(zone, 5432)
    }
}

impl Site {
    /// Starts the site.
    ///
    /// # Errors
    ///
    /// Returns `InvalidInput` if an address cannot be bound.
    pub fn start(options: &SiteOptions) -> Result<Self> {
        let addresses = Addresses::next();
        let key = Key::generate();
        let text = catalogue_text(options, addresses);
        let given = options.clone();
        let databases = Running::start(move || bind_group(&given, addresses))?;
        let mut hosts = Vec::new();
        for zone in 0..ZONES.len() {
            let (text, given, revealed) = (text.clone(), options.clone(), key.reveal());
            hosts.push(Running::start(move || {
                let key = Key::parse(revealed.as_bytes())?;
                let active_config = active_config(&text, &key)?;
                let options = host_options(&given, addresses, zone);
                Proxy::bind_fixed(options, active_config, &peers(addresses))
            })?);
        }
        Ok(Self {
            hosts,
            _databases: databases,
            addresses,
            key: key.reveal().to_string(),
        })
    }

    /// Returns the target of clients of the host in a zone.
    pub fn host(&self, zone: usize) -> Target {
        Target {
            address: self.addresses.client(zone),
            user: ORGANISATION.to_owned(),
            database: "records".to_owned(),
            password: self.key.clone(),
            class: "browse",
        }
    }

    /// Returns the target of clients that connect to the member in a zone directly.
    pub fn member(&self, zone: usize) -> Target {
        Target {
            address: self.addresses.member(zone),
            user: "burdockslip".to_owned(),
            database: "records".to_owned(),
            password: String::new(),
            class: "browse",
        }
    }

    /// Returns the processor time that the host in a zone has used.
    ///
    /// # Errors
    ///
    /// Returns `Internal` if the host has stopped.
    pub fn host_time(&self, zone: usize) -> Result<Duration> {
        self.hosts[zone].clock.used()
    }
}

impl Running {
    /// Runs `start` in a new thread with a runtime of its own and keeps the
    /// returned value until the thread is stopped.
    fn start<T: 'static>(start: impl FnOnce() -> Result<T> + Send + 'static) -> Result<Self> {
        let (stop, stopped) = oneshot::channel();
        let (ready, is_ready) = std_mpsc::channel();
        let thread = std::thread::spawn(move || {
            block_on(async move {
                let running = ThreadClock::current().and_then(|clock| Ok((clock, start()?)));
                let (_held, clock) = match running {
                    Ok((clock, held)) => (held, clock),
                    Err(report) => {
                        // The starting thread waits for one message, a clock or an error.
                        let _ = ready.send(Err(report));
                        return;
                    }
                };
                let _ = ready.send(Ok(clock));
                let _ = stopped.await;
            });
        });
        let clock = is_ready.recv().change_context(ErrorKind::Internal)??;
        Ok(Self {
            stop: Some(stop),
            thread: Some(thread),
            clock,
        })
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            // A panic of the thread has been printed already.
            let _ = thread.join();
        }
    }
}

/// Runs `work` in a thread of its own and returns its result.
///
/// # Errors
///
/// Returns `Internal` if the thread panics.
pub fn in_thread<T, W, F>(work: W) -> Result<T>
where
    T: Send + 'static,
    W: FnOnce() -> F + Send + 'static,
    F: Future<Output = Result<T>>,
{
    std::thread::spawn(move || block_on(work()))
        .join()
        .map_err(|_| Report::new(ErrorKind::Internal).attach("the thread panicked"))?
}

fn bind_group(options: &SiteOptions, addresses: Addresses) -> Result<DatabaseGroup> {
    let members = ZONES.iter().enumerate().map(|(index, zone)| {
        let address = addresses.member(index);
        MemberOptions {
            connection_limit: options.connections,
            slots: options.slots,
            statement_delay: options.statement_delay,
            ..MemberOptions::new(&format!("db-{zone}"), zone, address)
        }
    });
    DatabaseGroup::bind(members.collect())
}

fn host_options(options: &SiteOptions, addresses: Addresses, zone: usize) -> Options {
    let name = ZONES[zone];
    Options {
        token_secret: SECRET.to_vec(),
        client_limit: options.client_limit,
        is_direct: options.is_direct,
        ..Options::new(
            &format!("host-{name}"),
            name,
            addresses.client(zone),
            addresses.peer(zone),
        )
    }
}

fn active_config(text: &str, key: &Key) -> Result<ActiveConfig> {
    let catalogue = Catalogue::parse(text)
        .map_err(|faults| Report::new(ErrorKind::InvalidInput).attach(faults.to_string()))?;
    let path = KeyPath {
        organisation: ORGANISATION.into(),
        id: key.id(),
    };
    let mut keys = KeyRing::default();
    keys.put(&path.render(), &KeyRecord::live(key).render())?;
    Ok(ActiveConfig {
        catalogue: Rc::new(catalogue),
        keys: Rc::new(keys),
    })
}

fn peers(addresses: Addresses) -> Vec<Peer> {
    let peer = |(index, zone): (usize, &&str)| Peer {
        host: format!("host-{zone}").into(),
        zone: (*zone).into(),
        address: addresses.peer(index),
    };
    ZONES.iter().enumerate().map(peer).collect()
}

fn catalogue_text(options: &SiteOptions, addresses: Addresses) -> String {
    let members: Vec<String> = ZONES
        .iter()
        .enumerate()
        .map(|(index, zone)| {
            format!(
                r#""db-{zone}": {{ "zone": "{zone}", "address": "{}", "connections": {}, "slots": {} }}"#,
                addresses.member(index),
                options.connections,
                options.slots
            )
        })
        .collect();
    include_str!("catalogue.jsonc").replace("\"MEMBERS\"", &members.join(","))
}
