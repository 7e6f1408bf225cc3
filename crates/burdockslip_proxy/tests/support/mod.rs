//! A site of hosts and test databases in a thread of its own, for tests that use
//! standard PostgreSQL clients.

// Each test program uses only a part of this module.
#![allow(dead_code)]

pub(crate) mod raw;

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::mpsc as std_mpsc;
use std::thread::JoinHandle;

use burdockslip_catalogue::Catalogue;
use burdockslip_keys::{Key, KeyPath, KeyRecord, KeyRing};
use burdockslip_membership::Peer;
use burdockslip_proxy::{ActiveConfig, Options, Proxy};
use burdockslip_runtime::{block_on, spawn};
use burdockslip_testkit::database::{DatabaseGroup, MemberOptions};
use futures::StreamExt;
use futures::channel::mpsc;
use postgres::{Client, Config, NoTls};

/// The zones of the three hosts and of the three members.
pub(crate) const ZONES: [&str; 3] = ["a", "b", "c"];

/// The databases and hosts, owned by the thread of the runtime.
pub(crate) struct Site {
    pub(crate) group: DatabaseGroup,
    pub(crate) hosts: Vec<Option<Proxy>>,
    pub(crate) config: ActiveConfig,
    /// The text of the catalogue.
    catalogue: String,
    pub(crate) records: Vec<(String, KeyRecord)>,
}

type Command = Box<dyn FnOnce(&mut Site) + Send>;

/// A handle to a running site; dropping it stops the thread.
pub(crate) struct Running {
    commands: Option<mpsc::UnboundedSender<Command>>,
    thread: Option<JoinHandle<()>>,
    addresses: Vec<SocketAddr>,
    /// The key of the organisation `airline`.
    pub(crate) airline: String,
    /// The key of the organisation `club`.
    pub(crate) club: String,
}

/// Returns the middle bytes of the loopback addresses of a new site, so that
/// sites of this and of other test processes do not share addresses.
fn site_prefix() -> (u8, u8) {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let process = std::process::id();
    let low = u8::try_from(process % 200).unwrap_or_default();
    (low + 20, NEXT.fetch_add(1, Ordering::Relaxed))
}

fn address((high, low): (u8, u8), host: usize, port: u16) -> SocketAddr {
    let last = u8::try_from(host).expect("few hosts") + 1;
    SocketAddr::from(([127, high, low, last], port))
}

fn catalogue(members: &[MemberOptions]) -> String {
    let members: Vec<String> = members
        .iter()
        .map(|member| {
            format!(
                r#""{}": {{ "zone": "{}", "address": "{}", "connections": 20, "slots": 3 }}"#,
                member.name, member.zone, member.address
            )
        })
        .collect();
    include_str!("catalogue.jsonc").replace("\"MEMBERS\"", &members.join(","))
}

fn parse(text: &str) -> Rc<Catalogue> {
    let parsed = Catalogue::parse(text);
    Rc::new(parsed.unwrap_or_else(|faults| panic!("catalogue: {faults}")))
}

/// Starts three hosts and a group of three members, with one of each per zone.
pub(crate) fn start() -> Running {
    start_with(|_| {})
}

/// Starts a site with adjusted member options.
pub(crate) fn start_with(adjust: impl Fn(&mut MemberOptions) + Send + 'static) -> Running {
    start_site(adjust, |_| {})
}

/// Starts a site with adjusted host options.
pub(crate) fn start_hosts(adjust: impl Fn(&mut Options) + Send + 'static) -> Running {
    start_site(|_| {}, adjust)
}

fn start_site(
    adjust_member: impl Fn(&mut MemberOptions) + Send + 'static,
    adjust_host: impl Fn(&mut Options) + Send + 'static,
) -> Running {
    let prefix = site_prefix();
    let airline = Key::generate();
    let club = Key::generate();
    let keys = [
        ("airline", airline.reveal().to_string()),
        ("club", club.reveal().to_string()),
    ];
    let records: Vec<(String, KeyRecord)> = [("airline", &airline), ("club", &club)]
        .into_iter()
        .map(|(organisation, key)| {
            let path = KeyPath {
                organisation: organisation.into(),
                id: key.id(),
            };
            (path.render(), KeyRecord::live(key))
        })
        .collect();
    let (commands, receiver) = mpsc::unbounded::<Command>();
    let (ready, is_ready) = std_mpsc::channel();
    let thread = std::thread::spawn(move || {
        block_on(async move {
            let mut site = build(prefix, &records, &adjust_member, &adjust_host);
            ready.send(()).expect("the test waits");
            let mut receiver = receiver;
            while let Some(command) = receiver.next().await {
                command(&mut site);
            }
        });
    });
    is_ready.recv().expect("the site starts");
    let [(_, airline), (_, club)] = keys;
    Running {
        commands: Some(commands),
        thread: Some(thread),
        addresses: (0..ZONES.len())
            .map(|host| address(prefix, host, 6432))
            .collect(),
        airline,
        club,
    }
}

fn build(
    prefix: (u8, u8),
    records: &[(String, KeyRecord)],
    adjust_member: &dyn Fn(&mut MemberOptions),
    adjust_host: &dyn Fn(&mut Options),
) -> Site {
    let members: Vec<MemberOptions> = ZONES
        .iter()
        .enumerate()
        .map(|(index, zone)| {
            let name = format!("db-{zone}");
            let mut options = MemberOptions::new(&name, zone, address(prefix, index, 5432));
            adjust_member(&mut options);
            options
        })
        .collect();
    let mut ring = KeyRing::default();
    for (path, record) in records {
        ring.put(path, &record.render()).expect("record is valid");
    }
    let peers: Vec<Peer> = ZONES
        .iter()
        .enumerate()
        .map(|(index, zone)| Peer {
            host: format!("host-{zone}").into(),
            zone: (*zone).into(),
            address: address(prefix, index, 7432),
        })
        .collect();
    let catalogue = catalogue(&members);
    let config = ActiveConfig {
        catalogue: parse(&catalogue),
        keys: Rc::new(ring),
    };
    let group = DatabaseGroup::bind(members).expect("members start");
    let proxies = ZONES
        .iter()
        .enumerate()
        .map(|(index, zone)| {
            let mut options = Options::new(
                &format!("host-{zone}"),
                zone,
                address(prefix, index, 6432),
                address(prefix, index, 7432),
            );
            options.token_secret = vec![7; 32];
            adjust_host(&mut options);
            Some(Proxy::bind_fixed(options, config.clone(), &peers).expect("host starts"))
        })
        .collect();
    Site {
        group,
        hosts: proxies,
        config,
        catalogue,
        records: records.to_vec(),
    }
}

impl Site {
    /// Puts a catalogue in force in which a text is replaced.
    pub(crate) fn edit_catalogue(&mut self, old: &str, new: &str) {
        assert!(self.catalogue.contains(old), "{old} is in the catalogue");
        self.catalogue = self.catalogue.replacen(old, new, 1);
        self.config.catalogue = parse(&self.catalogue);
        for host in self.hosts.iter().flatten() {
            host.set_active_config(self.config.clone());
        }
    }
}

impl Running {
    /// Runs a command in the thread of the site and returns its result.
    pub(crate) fn with<T: Send + 'static>(
        &self,
        command: impl FnOnce(&mut Site) -> T + Send + 'static,
    ) -> T {
        let (sender, receiver) = std_mpsc::channel();
        let command: Command = Box::new(move |site| {
            sender.send(command(site)).expect("the test waits");
        });
        self.commands
            .as_ref()
            .expect("the site runs")
            .unbounded_send(command)
            .expect("the site runs");
        receiver.recv().expect("the site answers")
    }

    /// Starts to drain a host, without waiting for the end.
    pub(crate) fn drain(&self, host: usize) {
        self.with(move |site| {
            let proxy = site.hosts[host].take().expect("the host runs");
            spawn(async move { proxy.drain().await }).detach();
        });
    }

    /// Returns the address of a host for clients.
    pub(crate) fn client_address(&self, host: usize) -> SocketAddr {
        self.addresses[host]
    }

    /// Returns the address of a host for other hosts.
    pub(crate) fn peer_address(&self, host: usize) -> SocketAddr {
        SocketAddr::new(self.addresses[host].ip(), 7432)
    }

    /// Returns the client settings for the organisation `airline` at a host.
    pub(crate) fn config(&self, host: usize) -> Config {
        let mut config = Config::new();
        config
            .host(&self.addresses[host].ip().to_string())
            .port(self.addresses[host].port())
            .user("airline")
            .password(&self.airline)
            .dbname("records");
        config
    }

    /// Connects to a host as the organisation `airline`.
    pub(crate) fn connect(&self, host: usize) -> Client {
        self.config(host).connect(NoTls).expect("client connects")
    }

    /// Connects to a host as the organisation `airline`, with a session token.
    pub(crate) fn connect_with_token(&self, host: usize, token: &str) -> Client {
        self.config(host)
            .options(&format!("-c burdockslip.token={token}"))
            .connect(NoTls)
            .expect("client connects")
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.commands = None;
        if let Some(thread) = self.thread.take() {
            // If the thread has panicked, the test has already failed.
            let _ = thread.join();
        }
    }
}

/// Returns the first value of the first row of a simple query.
pub(crate) fn value(client: &mut Client, sql: &str) -> Option<String> {
    let messages = client.simple_query(sql).expect("query runs");
    messages.iter().find_map(|message| match message {
        postgres::SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
        _ => None,
    })
}

/// Returns the SQLSTATE of an error; empty if the server has not sent one.
pub(crate) fn sqlstate(error: &postgres::Error) -> String {
    error
        .code()
        .map(|code| code.code().to_owned())
        .unwrap_or_default()
}
