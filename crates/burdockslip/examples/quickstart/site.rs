//! Starts the stand-ins of the platform and of a database group, and two hosts.

use std::net::SocketAddr;
use std::time::Duration;

use burdockslip_host::Host;
use burdockslip_keys::{Key, KeyPath, KeyRecord, KeyState};
use burdockslip_runtime::sleep;
use burdockslip_settings::Settings;
use burdockslip_testkit::StoreServer;
use burdockslip_testkit::database::{DatabaseGroup, MemberOptions};
use burdockslip_types::{ErrorKind, Result};
use error_stack::Report;

/// The zones of the members; the hosts are in the first two.
const ZONES: [&str; 3] = ["a", "b", "c"];
/// The number of hosts.
const HOSTS: usize = 2;

/// A change of the running site.
pub(crate) enum Command {
    /// Withdraws the key of the organisation `airline`.
    RevokeKey,
}

/// What clients need to connect to the site.
pub(crate) struct Access {
    /// The names of the hosts.
    pub(crate) hosts: Vec<String>,
    /// The client addresses of the hosts, in the order of `hosts`.
    pub(crate) addresses: Vec<SocketAddr>,
    /// The key of the organisation `airline`.
    pub(crate) key: String,
}

/// A complete deployment in this process: store, database group and hosts.
pub(crate) struct Site {
    store: StoreServer,
    _group: DatabaseGroup,
    hosts: Vec<Host>,
    key: Key,
}

impl Access {
    /// Returns the `psql` command that opens an interactive session.
    pub(crate) fn psql_line(&self) -> String {
        let address = self.addresses[0];
        format!(
            "PGPASSWORD={} psql 'host={} port={} user=airline dbname=records'",
            self.key,
            address.ip(),
            address.port()
        )
    }
}

impl Site {
    /// Starts everything on loopback addresses.
    pub(crate) fn bind() -> Result<Self> {
        let store = StoreServer::bind(local(0, 0))?;
        let members = members();
        let key = Key::generate();
        let path = key_path(&key);
        let memory = store.memory();
        memory.put("burdockslip/catalogue", catalogue(&members).as_bytes());
        memory.put(&path, &KeyRecord::live(&key).render());
        let group = DatabaseGroup::bind(members)?;
        let hosts = (0..HOSTS)
            .map(|index| Host::bind(&settings(index, store.address())?))
            .collect::<Result<_>>()?;
        Ok(Self {
            store,
            _group: group,
            hosts,
            key,
        })
    }

    /// Waits until both hosts have a configuration in force.
    pub(crate) async fn wait_until_ready(&self) {
        while !self.hosts.iter().all(Host::is_ready) {
            sleep(Duration::from_millis(10)).await;
        }
    }

    /// Returns what clients need to connect.
    pub(crate) fn access(&self) -> Access {
        Access {
            hosts: ZONES[..HOSTS].iter().map(|z| format!("host-{z}")).collect(),
            addresses: self.hosts.iter().map(Host::client_address).collect(),
            key: self.key.reveal().to_string(),
        }
    }

    /// Executes a command.
    pub(crate) fn execute(&self, command: &Command) {
        match command {
            Command::RevokeKey => {
                let mut record = KeyRecord::live(&self.key);
                record.state = KeyState::Revoked;
                let memory = self.store.memory();
                memory.put(&key_path(&self.key), &record.render());
            }
        }
    }
}

fn key_path(key: &Key) -> String {
    let path = KeyPath {
        organisation: "airline".into(),
        id: key.id(),
    };
    path.render()
}

/// Returns a loopback address that differs for each `index`.
fn local(index: usize, port: u16) -> SocketAddr {
    let last = u8::try_from(index).unwrap_or_default();
    SocketAddr::from(([127, 77, 0, last + 1], port))
}

fn members() -> Vec<MemberOptions> {
    let member = |(index, zone): (usize, &&str)| {
        MemberOptions::new(&format!("records-{zone}"), zone, local(index, 15432))
    };
    ZONES.iter().enumerate().map(member).collect()
}

fn catalogue(members: &[MemberOptions]) -> String {
    let members: Vec<String> = members
        .iter()
        .map(|member| {
            format!(
                r#""{}": {{ "zone": "{}", "address": "{}", "connections": 40, "slots": 3 }}"#,
                member.name, member.zone, member.address
            )
        })
        .collect();
    include_str!("catalogue.jsonc").replace("\"MEMBERS\"", &members.join(","))
}

fn settings(index: usize, store: SocketAddr) -> Result<Settings> {
    let zone = ZONES[index];
    let text = include_str!("host.jsonc")
        .replace("ZONE", zone)
        .replace("CLIENT", &local(index, 16432).to_string())
        .replace("PEER", &local(index, 17432).to_string())
        .replace("ADMIN", &local(index, 18432).to_string())
        .replace("SEED", &local(1 - index, 17432).to_string())
        .replace("STORE", &store.to_string());
    Settings::parse(&text)
        .map_err(|faults| Report::new(ErrorKind::InvalidInput).attach(faults.to_string()))
}
