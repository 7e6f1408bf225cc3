//! Starts watchers on several hosts around one fake database group.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use burdockslip_runtime::{random_range, sleep, spawn};
use burdockslip_types::{ErrorKind, HostId, MemberName, PeerClient, Zone};
use error_stack::bail;
use futures::FutureExt;

use super::database::{Database, DatabaseSettings};
use super::network::Network;
use crate::{Group, ReadPolicy, Settings, Timing, Watch, Watcher};

/// Holds the size and the delays of a cluster.
#[derive(Debug, Clone)]
pub struct ClusterSettings {
    /// The number of zones; each has one host and one member.
    pub zones: usize,
    /// The latency one way.
    pub latency: Duration,
    /// The time by which entries reach the replicas late.
    pub lag: Duration,
    /// How members are chosen for reads.
    pub policy: ReadPolicy,
    /// The intervals and limits of the watchers.
    pub timing: Timing,
}

impl Default for ClusterSettings {
    fn default() -> Self {
        Self {
            zones: 3,
            latency: Duration::from_millis(1),
            lag: Duration::from_millis(5),
            policy: ReadPolicy::default(),
            timing: Timing::default(),
        }
    }
}

type Groups = Rc<RefCell<BTreeMap<HostId, Group>>>;

/// Runs one watcher per zone; host `host-N` and member `member-N` are in `zone-N`.
#[derive(Debug, Clone)]
pub struct Cluster {
    /// The paths between hosts and members.
    pub network: Network,
    /// The database group; `member-0` is its first primary.
    pub database: Database,
    groups: Groups,
}

impl Cluster {
    /// Starts the members and, within one poll interval, the watchers.
    pub async fn spawn(settings: ClusterSettings) -> Self {
        let network = Network::new(settings.latency);
        let members = (0..settings.zones).map(|n| (member_name(n), zone_name(n)));
        let database = DatabaseSettings {
            members: members.collect(),
            lag: settings.lag,
        };
        let cluster = Self {
            database: Database::open(database, &network),
            network,
            groups: Groups::default(),
        };
        for index in 0..settings.zones {
            // Hosts start at different times, so their polls are not in step.
            let interval = settings.timing.poll_interval.as_micros();
            let share = u64::try_from(interval).unwrap_or(u64::MAX) / settings.zones as u64;
            sleep(Duration::from_micros(random_range(0..share))).await;
            cluster.start_host(index, &settings);
        }
        cluster
    }

    fn start_host(&self, index: usize, settings: &ClusterSettings) {
        let host = host_name(index);
        let watcher = |n| Watcher {
            host: host_name(n),
            zone: zone_name(n),
        };
        let group = Group::spawn(
            Settings {
                group: "group".into(),
                host: host.clone(),
                zone: zone_name(index),
                watchers: (0..settings.zones).map(watcher).collect(),
                policy: settings.policy,
                timing: settings.timing,
            },
            self.database.members(&host),
            self.link(&host),
        );
        self.groups.borrow_mut().insert(host, group);
    }

    /// Builds the link from one host to the others.
    fn link(&self, from: &HostId) -> PeerClient<Watch> {
        let (network, groups) = (self.network.clone(), Rc::downgrade(&self.groups));
        let from = from.clone();
        PeerClient::new(move |to: HostId, request| {
            let (network, groups, from) = (network.clone(), groups.clone(), from.clone());
            async move {
                network.deliver(from.as_str(), to.as_str()).await?;
                let groups = groups.upgrade();
                let group = groups.and_then(|g| g.borrow().get(&to).cloned());
                let Some(group) = group else {
                    bail!(ErrorKind::ConnectionLost);
                };
                let reply = group.handle(request);
                drop(group);
                network.deliver(to.as_str(), from.as_str()).await?;
                Ok(reply)
            }
            .boxed_local()
        })
    }

    /// Returns the watcher of a host, if the host runs.
    pub fn group(&self, index: usize) -> Option<Group> {
        self.groups.borrow().get(&host_name(index)).cloned()
    }

    /// Stops a host.
    pub fn kill_host(&self, index: usize) {
        let group = self.groups.borrow_mut().remove(&host_name(index));
        // The group is dropped outside of its own tasks.
        spawn(async move { drop(group) }).detach();
    }

    /// Cuts one zone off from all others; its host still reaches its member.
    pub fn isolate_zone(&self, index: usize) {
        let zones = self.database.names().len();
        for other in (0..zones).filter(|&other| other != index) {
            let (host, member) = (host_name(index), member_name(index));
            let (other_host, other_member) = (host_name(other), member_name(other));
            let theirs = [other_host.as_str(), other_member.as_str()];
            self.network
                .split(&[host.as_str(), member.as_str()], &theirs);
        }
    }
}

/// Returns the name of the host in a zone.
pub(crate) fn host_name(index: usize) -> HostId {
    format!("host-{index}").into()
}

fn member_name(index: usize) -> MemberName {
    format!("member-{index}").into()
}

fn zone_name(index: usize) -> Zone {
    format!("zone-{index}").into()
}
